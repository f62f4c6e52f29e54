#pragma once

#include "bronzeward/Store"
#include "bronzeward/src/Net/EventLoopThread.h"
#include "bronzeward/src/Net/HttpExchange.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <functional>
#include <string>

namespace bronzeward {

/// \ingroup Net
/// \brief Address of the platform's store and timeout of its calls.
struct HttpStoreEndpoint {
  std::string Host;
  std::uint16_t Port = 0;
  /// Time without a received byte after which a call fails; the wait that a
  /// watch asks for is added.
  Duration CallTimeout = 1s;
};

/// \ingroup Net
/// \brief Client of the platform's store over HTTP. A codec defines the format
/// of the calls.
class HttpStore : public StorePort {
public:
  using ReplyHandler = std::function<void(StoreCallId, StoreReply)>;
  using ProgressHandler = std::function<void(StoreCallId, StoreProgress)>;

  /// \param Shared loop to run in; null to start a thread.
  /// \param OnReply called in the store's thread when a call has ended.
  /// \param OnProgress called in the store's thread when a part of a long
  /// reply, or a page of a list before the last one, has arrived.
  HttpStore(boost::asio::io_context *Shared, HttpStoreEndpoint Address,
            const StoreCodec &Format, ReplyHandler OnReply,
            ProgressHandler OnProgress);
  ~HttpStore() override { Thread.stop(); }

  void start() { Thread.start(); }
  void stop() { Thread.stop(); }
  /// \brief Sends a call. If the ring is full, the call is lost without a
  /// reply, as it may be on the network.
  void send(StoreCallId Id, const StoreCall &Call) override;

  /// \returns the number of items dropped because the thread's ring was full.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  class ReplyCollector;
  struct Outgoing {
    StoreCallId Id;
    StoreCall Call;
    /// Pages of a list that were read so far.
    PagedList Pages;
  };

  void exchange(Outgoing Item);
  void finish(Outgoing Item, StoreReply Reply);

  HttpStoreEndpoint Endpoint;
  const StoreCodec &Codec;
  ReplyHandler Handler;
  ProgressHandler Progress;
  EventLoopThread Thread;
  std::shared_ptr<HttpConnectionPool> Connections;
  Mailbox<Outgoing> Ring;
};

} // namespace bronzeward
