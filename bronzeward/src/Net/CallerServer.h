#pragma once

#include "bronzeward/Request"
#include "bronzeward/src/Net/DutyThread.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief Limits on callers' connections and requests.
struct CallerLimits {
  std::size_t MaxConnections = 10000;
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  /// Time for a whole request to arrive once it began.
  Duration ReadTimeout = 10s;
  /// Time that an idle connection is kept.
  Duration IdleTimeout = 60s;
};

/// \brief A caller went away before its answer.
struct CallerGone {
  CallerTicket Ticket;
};
using CallerEvent = std::variant<CallerRequest, CallerGone>;

/// \brief Serves callers over HTTP/1.1, in a thread of its own.
class CallerServer : public CallerPort {
public:
  /// Returns false where the event cannot be taken now.
  using EventHandler = std::function<bool(CallerEvent)>;

  /// \param OnEvent runs in the server's thread.
  /// \param Shared loop to run in; null for a thread of its own.
  CallerServer(CallerLimits Bounds, EventHandler OnEvent,
               boost::asio::io_context *Shared = nullptr);
  ~CallerServer() override;

  /// \brief Binds and starts to accept.
  /// \returns an error naming the address where it cannot be bound.
  [[nodiscard]] Result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  void stop() { Thread.stop(); }
  /// \brief Sets the limits for requests that begin from now on.
  void setLimits(CallerLimits Bounds);
  /// \brief Closes idle connections, and every other after its answer.
  void drain();

  void answer(CallerTicket To, const Answer &Whole) override;
  void beginStream(CallerTicket To, const Answer &Head) override;
  void sendPart(CallerTicket To, const std::string &Part) override;
  void endStream(CallerTicket To, const std::string &LastPart) override;
  void disconnect(CallerTicket To) override;

  /// \returns callers whose answer is not yet written whole.
  [[nodiscard]] std::size_t answering() const { return Answering; }

  /// \returns items that the full ring into the thread refused.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  class Session;
  enum class Step { Whole, Begin, Part, End, Close };
  struct Outgoing {
    CallerTicket To;
    Step Kind = Step::Whole;
    Answer Content;
  };

  void accept();
  void take(Outgoing &Item);
  void push(Outgoing Item);

  CallerLimits Limits;
  EventHandler Handler;
  DutyThread Thread;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::map<CallerTicket, std::weak_ptr<Session>> Waiting;
  /// Sessions that wait for a request.
  std::set<Session *> Idle;
  bool Draining = false;
  std::size_t Connections = 0;
  std::atomic<std::size_t> Answering = 0;
  std::uint64_t LastTicket = 0;
  Mailbox<Outgoing> Ring;
};

/// @}

} // namespace bronzeward
