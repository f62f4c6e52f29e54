#pragma once

#include "bronzeward/Store"
#include "bronzeward/src/Net/DutyThread.h"
#include "bronzeward/src/Net/HttpExchange.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <functional>
#include <string>

namespace bronzeward {

/// \ingroup Net
/// \brief Where the platform's store is and how it is spoken to.
struct HttpStorePlace {
  std::string Host;
  std::uint16_t Port = 0;
  /// Silence after which a call's connection is given up, beside the wait that
  /// a watch asks for.
  Duration CallTimeout = 1s;
};

/// \ingroup Net
/// \brief The platform's store over HTTP, in the published form that its codec
/// speaks.
class HttpStore : public StorePort {
public:
  using ReplyHandler = std::function<void(StoreCallId, StoreReply)>;
  using ProgressHandler = std::function<void(StoreCallId)>;

  /// \param Shared loop to run in; null for a thread of its own.
  /// \param OnReply runs in the store's thread.
  /// \param OnProgress a part of a long reply arrived; runs there too.
  HttpStore(boost::asio::io_context *Shared, HttpStorePlace Where,
            const StoreCodec &Form, ReplyHandler OnReply,
            ProgressHandler OnProgress);
  ~HttpStore() override { Thread.stop(); }

  void start() { Thread.start(); }
  void stop() { Thread.stop(); }
  /// \brief Sends a call; one that finds the ring full is lost, as any call
  /// may be.
  void send(StoreCallId Id, const StoreCall &Call) override;

  /// \returns items that the full ring into the thread refused.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  class ReplyCollector;
  struct Outgoing {
    StoreCallId Id;
    StoreCall Call;
    /// Entries of the pages read so far.
    StoreReply SoFar;
  };

  void exchange(Outgoing Item);
  void finish(Outgoing Item, StoreReply Reply);

  HttpStorePlace Place;
  const StoreCodec &Codec;
  ReplyHandler Handler;
  ProgressHandler Progress;
  DutyThread Thread;
  std::shared_ptr<HttpConnections> Connections;
  Mailbox<Outgoing> Ring;
};

} // namespace bronzeward
