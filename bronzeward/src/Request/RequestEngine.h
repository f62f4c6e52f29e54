#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Routing"
#include "bronzeward/src/Request/Admission.h"
#include "bronzeward/src/Request/LatencyHistogram.h"
#include "bronzeward/src/Request/Messages.h"
#include "bronzeward/src/Request/RequestCounters.h"
#include "bronzeward/src/Request/RequestLifecycle.h"
#include "bronzeward/src/Request/ServiceRequest.h"
#include "bronzeward/src/Request/StreamMeter.h"

#include <map>
#include <memory>
#include <vector>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief Interfaces through which a \ref RequestEngine reaches the outside.
struct RequestSurroundings {
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
  TimerQueue &Timers;
  Random &Source;
};

/// \brief Carries every request of one instance from arrival to its bill.
class RequestEngine : public BudgetListener {
public:
  RequestEngine(Incarnation Life, FailureDomain Home,
                RequestSurroundings Parts);

  /// \brief Joins the engine with the budgets; must come before any request.
  void attach(BudgetAgent &Agent) { Budgets = &Agent; }
  /// \brief Puts a configuration in force. Running requests keep theirs.
  void configure(ConfigurationVersion Version, Configuration Text);

  void onCallerRequest(CallerRequest In, TimePoint Now);
  void onCallerGone(CallerTicket Ticket, TimePoint Now);

  void onUpstreamHead(AttemptId Attempt, std::uint16_t Status,
                      const std::string &ContentType, TimePoint Now);
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now);
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now);
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure How, TimePoint Now);

  void onReserved(const RequestId &Request, ReserveOutcome What,
                  TimePoint Now) override;
  void onClaimed(const RequestId &Request, ClaimOutcome What,
                 const std::optional<RecordedAnswer> &Kept,
                 TimePoint Now) override;
  void onSettled(const RequestId &Request, const Settlement &Done,
                 TimePoint Now) override;

  /// \brief Refuses new requests from now on.
  void drain() { Draining = true; }

  [[nodiscard]] std::int64_t inFlight() const { return Limits.inFlight(); }
  [[nodiscard]] const RequestCounters &counters() const { return Counters; }
  /// \returns times from arrival to the first byte for the caller.
  [[nodiscard]] LatencyCounts firstByteLatency() const {
    return FirstByte.counts();
  }
  /// \returns times from arrival to the end of the whole answer.
  [[nodiscard]] LatencyCounts wholeLatency() const { return Whole.counts(); }
  UpstreamTable &upstreams() { return Table; }
  Quarantine &quarantine() { return Crashes; }
  [[nodiscard]] const ConfigurationIndex *configuration() const {
    return Index.get();
  }

private:
  struct ActiveRequest {
    RequestId Id;
    CallerTicket Ticket;
    std::string Method;
    std::string Target;
    std::string ContentType;
    ServiceRequest Parsed;
    ConfigurationVersion Version;
    RequestLifecycle Lifecycle;
    WallTime Accepted;
    WallTime Dispatched;
    TimePoint AcceptedAt;
    TimePoint DispatchedAt;
    std::optional<TimerQueue::Handle> Deadline;
    AttemptId Attempt;
    /// Attempts of which at least one byte was sent.
    int SentAttempts = 0;
    UpstreamName Upstream;
    std::vector<UpstreamName> Tried;
    DispatchEstimate Expected;
    bool Answered = false;
    bool Suspect = false;
    bool CallerGone = false;
    bool StreamBegun = false;
    std::uint16_t UpstreamStatus = 0;
    std::string UpstreamType;
    std::string Collected;
    StreamMeter Meter;
  };

  [[nodiscard]] RequestId nextId();
  ActiveRequest *find(const RequestId &Request);
  ActiveRequest *find(AttemptId Attempt);
  void refuseEarly(CallerTicket Ticket, const Refusal &Why);
  [[nodiscard]] std::optional<Refusal>
  checkAdmission(const ServiceRequest &Parsed, TimePoint Now) const;
  [[nodiscard]] const ServiceName *missingDependency(const ServiceSpec &Service,
                                                     TimePoint Now) const;
  void admit(CallerRequest In, ServiceRequest Parsed, TimePoint Now);
  void proceed(ActiveRequest &Item, TimePoint Now);
  void dispatch(ActiveRequest &Item, TimePoint Now);
  void noteFirstToken(ActiveRequest &Item, TimePoint Now);
  void failAttempt(ActiveRequest &Item, bool Crash, TimePoint Now);
  [[nodiscard]] bool mayRetry(const ActiveRequest &Item, bool Sent,
                              TimePoint Now);
  void retryOrEnd(ActiveRequest &Item, bool Sent, TimePoint Now);
  void complete(ActiveRequest &Item, TimePoint Now);
  void completeModel(ActiveRequest &Item, Bill &Settled);
  void releaseAttempt(ActiveRequest &Item, TimePoint Now);
  void onDeadline(const RequestId &Request, TimePoint Now);
  void beginStream(ActiveRequest &Item, TimePoint Now);
  void deliver(ActiveRequest &Item, const Settlement &Done, TimePoint Now);
  void replay(ActiveRequest &Item, const std::optional<RecordedAnswer> &Kept);
  void end(ActiveRequest &Item, const Refusal &Why,
           ClaimDisposition Disposition, TimePoint Now);
  void finish(const RequestId &Request, TimePoint Now);
  ChoicePolicy &policyOf(const ServiceSpec &Service);
  RetryBudget &retriesOf(const ServiceSpec &Service);

  Incarnation Self;
  RequestSurroundings Around;
  BudgetAgent *Budgets = nullptr;
  ConfigurationVersion Version;
  std::unique_ptr<ConfigurationIndex> Index;
  UpstreamTable Table;
  Quarantine Crashes;
  Admission Limits;
  std::map<ServiceName, RetryBudget> Retries;
  std::map<std::pair<ServiceName, ChoicePolicyKind>,
           std::unique_ptr<ChoicePolicy>>
      Policies;
  std::map<RequestId, ActiveRequest> Active;
  std::map<CallerTicket, RequestId> ByTicket;
  std::map<AttemptId, RequestId> ByAttempt;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastAttempt = 0;
  RequestCounters Counters;
  LatencyHistogram FirstByte;
  LatencyHistogram Whole;
  bool Draining = false;
};

/// @}

} // namespace bronzeward
