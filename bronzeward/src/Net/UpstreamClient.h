#pragma once

#include "bronzeward/Request"
#include "bronzeward/src/Net/EventLoopThread.h"
#include "bronzeward/src/Net/HttpExchange.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace bronzeward {

/// \addtogroup Net
/// @{

struct UpstreamHead {
  AttemptId Attempt;
  HttpHead Head;
};
struct UpstreamBytes {
  AttemptId Attempt;
  std::string Bytes;
  /// Counts the bytes until they are processed.
  std::shared_ptr<void> Transit;
};
struct UpstreamEnded {
  AttemptId Attempt;
};
struct UpstreamFailed {
  AttemptId Attempt;
  UpstreamFailure How = UpstreamFailure::Closed;
};
struct UpstreamLoad {
  UpstreamName Name;
  LoadReport Report;
  bool Leaving = false;
};
/// \brief An upstream refused the connection of a probe.
struct UpstreamRefused {
  UpstreamName Name;
};
using UpstreamEvent =
    std::variant<UpstreamHead, UpstreamBytes, UpstreamEnded, UpstreamFailed,
                 UpstreamLoad, UpstreamRefused>;

/// \brief Sends requests to upstreams and polls their load reports, in a
/// separate thread or a shared loop.
class UpstreamClient : public UpstreamPort {
public:
  using EventHandler = std::function<void(UpstreamEvent)>;

  /// \param Shared loop to run in; null to start a thread.
  /// \param OnEvent called in the client's thread.
  UpstreamClient(boost::asio::io_context *Shared, EventHandler OnEvent);
  ~UpstreamClient() override;

  /// \brief Sets what is told about an answer that broke off or is invalid: the
  /// upstream, the request and what was wrong. Called in the client's thread.
  void setBrokenAnswerNotice(std::function<void(const std::string &)> Notice) {
    OnBrokenAnswer = std::move(Notice);
  }
  void start() { Thread.start(); }
  void stop() { Thread.stop(); }
  /// \brief Sends a request. If the ring is full, the attempt fails as not
  /// sent.
  void dispatch(const UpstreamCall &Call) override;
  void cancel(AttemptId Attempt) override;
  /// If the ring is full, nothing is tested.
  void probe(const UpstreamProbe &Probe) override;
  /// \brief Sets the upstreams whose load reports are polled periodically.
  void setPolledUpstreams(std::vector<UpstreamSpec> Upstreams);

  /// \returns the number of calls whose caller had already left when they were
  /// to be sent.
  [[nodiscard]] std::uint64_t leftBeforeSend() const { return LeftBeforeSend; }
  /// \returns the number of calls that were cancelled while their upstream had
  /// not acknowledged all of their bytes.
  [[nodiscard]] std::uint64_t cancelledUnacknowledged() const {
    return CancelledUnacknowledged;
  }

  /// \returns the number of items dropped because the thread's ring was full.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  struct Cancel {
    AttemptId Attempt;
  };
  struct SetPolled {
    std::vector<UpstreamSpec> Upstreams;
  };
  using Command = std::variant<UpstreamCall, Cancel, SetPolled, UpstreamProbe>;
  class AttemptListener;
  class LoadListener;

  void execute(Command &Item);
  void startCall(const UpstreamCall &Call);
  void cancelRunning(AttemptId Attempt);
  void startProbe(const UpstreamProbe &Probe);
  void pollLoads();

  EventHandler Handler;
  std::function<void(const std::string &)> OnBrokenAnswer;
  EventLoopThread Thread;
  std::shared_ptr<HttpConnectionPool> Connections;
  std::shared_ptr<TransitGate> Gate;
  std::map<AttemptId, std::shared_ptr<HttpExchange>> Running;
  std::atomic<std::uint64_t> LeftBeforeSend = 0;
  std::atomic<std::uint64_t> CancelledUnacknowledged = 0;
  std::vector<UpstreamSpec> PolledUpstreams;
  /// Upstreams whose load report is being read.
  std::set<UpstreamName> Polling;
  std::unique_ptr<boost::asio::steady_timer> PollTimer;
  Mailbox<Command> Ring;
};

/// @}

} // namespace bronzeward
