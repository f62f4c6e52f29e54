#pragma once

#include "bronzeward/Request"
#include "bronzeward/src/Net/CallerMemory.h"
#include "bronzeward/src/Net/EventLoopThread.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <variant>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// Bytes of an answer that a caller has to accept within the write timeout. A
/// slow caller gets a long answer in full; one that accepts a few bytes now and
/// then is disconnected.
inline constexpr std::size_t MinProgressBytes = 65536;

/// \brief Limits on callers' connections and requests.
struct CallerLimits {
  std::size_t MaxConnections = 10000;
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  /// Memory for requests that arrive, bodies kept until the answer, and answers
  /// that callers have not accepted, of all connections together.
  std::size_t MaxHeldBytes = std::size_t{256} * 1024 * 1024;
  /// Maximum time between the first byte of a request and its end.
  Duration ReadTimeout = 10s;
  /// Time after which an idle connection is closed.
  Duration IdleTimeout = 60s;
  /// Maximum time in which a caller accepts \ref MinProgressBytes of an answer.
  Duration WriteTimeout = 30s;
};

/// \brief A caller disconnected before its answer was complete.
struct CallerGone {
  CallerTicket Ticket;
};
using CallerEvent = std::variant<CallerRequest, CallerGone>;

/// \brief Serves callers over HTTP/1.1, in a separate thread or a shared loop.
class CallerServer : public CallerPort {
public:
  /// Returns false if the event cannot be accepted now; a request is then
  /// refused.
  using EventHandler = std::function<bool(CallerEvent)>;

  /// \param OnEvent called in the server's thread.
  /// \param Shared loop to run in; null to start a thread.
  CallerServer(CallerLimits InitialLimits, EventHandler OnEvent,
               boost::asio::io_context *Shared = nullptr);
  ~CallerServer() override;

  /// \brief Binds the address and starts to accept connections.
  /// \param Port port to bind; zero for any free one.
  /// \returns the bound port, or an error that names the address if it cannot
  /// be bound.
  [[nodiscard]] Result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  void stop() { Thread.stop(); }
  /// \brief Sets what is called, in the server's thread, each time a caller is
  /// turned away for lack of memory. Must be called before listen().
  void setMemoryNotice(std::function<void(const std::string &)> Notice) {
    OnMemoryShort = std::move(Notice);
  }
  /// \brief Sets the limits for requests that begin from now on.
  void setLimits(CallerLimits NewLimits);
  /// \brief Closes idle connections at once and the others after their answers.
  void drain();

  void answer(CallerTicket To, const Answer &Whole) override;
  void beginStream(CallerTicket To, const Answer &Head) override;
  void sendPart(CallerTicket To, const std::string &Part) override;
  void endStream(CallerTicket To, const std::string &LastPart) override;
  void disconnect(CallerTicket To) override;

  /// \returns the number of callers whose answer is not yet written completely.
  [[nodiscard]] std::size_t answering() const { return Answering; }

  /// \returns the number of requests whose caller had already left when they
  /// were read.
  [[nodiscard]] std::uint64_t leftBeforeRead() const { return LeftBeforeRead; }

  /// \returns the bytes that callers make the instance hold.
  [[nodiscard]] std::size_t heldBytes() const { return Memory->HeldBytes; }
  /// \returns the number of requests refused and answers cut for lack of
  /// memory.
  [[nodiscard]] std::uint64_t memoryRefusals() const { return MemoryRefusals; }

  /// \returns the number of items dropped because the thread's ring was full.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  class Session;
  /// \brief Memory of the sessions, some of which may outlive the server in the
  /// shared loop.
  struct MemoryUse {
    explicit MemoryUse(std::size_t LimitBytes) : Budget(LimitBytes) {}

    CallerMemory Budget;
    std::map<HolderId, Session *> Holders;
    std::atomic<std::size_t> HeldBytes = 0;
  };
  enum class Step { Whole, Begin, Part, End, Close };
  struct Outgoing {
    CallerTicket To;
    Step Action = Step::Whole;
    Answer Content;
  };

  void accept();
  /// Accepts the connections that wait already, up to a limit.
  void acceptWaiting();
  void acceptLater();
  void serve(boost::asio::ip::tcp::socket Socket);
  void perform(Outgoing &Item);
  void push(Outgoing Item);
  /// \returns false if there is no memory. Closes connections to make room.
  bool holdMemory(HolderId Holder, HoldKind Kind, std::size_t Bytes);
  void noteMemoryShort(const char *What);
  /// Closes the connection of a caller to which an item could not be sent.
  void abandon(CallerTicket To);

  CallerLimits Limits;
  EventHandler Handler;
  EventLoopThread Thread;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  /// Sessions whose request is being answered.
  std::map<CallerTicket, std::weak_ptr<Session>> AwaitingAnswer;
  /// Sessions without a request in progress.
  std::set<Session *> IdleSessions;
  bool Draining = false;
  std::size_t Connections = 0;
  std::atomic<std::size_t> Answering = 0;
  std::atomic<std::uint64_t> LeftBeforeRead = 0;
  std::uint64_t LastTicket = 0;
  std::shared_ptr<MemoryUse> Memory;
  std::uint64_t LastHolder = 0;
  std::atomic<std::uint64_t> MemoryRefusals = 0;
  std::function<void(const std::string &)> OnMemoryShort;
  Mailbox<Outgoing> Ring;
  std::mutex LostLock;
  /// Callers that lost an item because the ring was full and whose connections
  /// are not closed yet. Nothing more is sent to them.
  std::set<CallerTicket> Lost;
};

/// @}

} // namespace bronzeward
