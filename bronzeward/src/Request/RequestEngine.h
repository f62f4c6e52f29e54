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

/// \brief Interfaces that a \ref RequestEngine depends on.
struct RequestDependencies {
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
  TimerQueue &Timers;
  Random &Source;
};

/// \brief Processes all requests of one instance from arrival to their bill.
class RequestEngine : public BudgetListener {
public:
  /// \param OwnIncarnation incarnation of this instance, part of request ids.
  /// \param OwnDomain failure domain of this instance.
  RequestEngine(Incarnation OwnIncarnation, FailureDomain OwnDomain,
                RequestDependencies Dependencies);

  /// \brief Sets the agent that reserves budget and stores bills. Must be
  /// called before the first request.
  void attach(BudgetAgent &Agent) { Budgets = &Agent; }
  /// \brief Applies a configuration to new requests. Running requests keep the
  /// one under which they were accepted.
  void configure(ConfigurationVersion Accepted, Configuration NewConfiguration);

  void onCallerRequest(CallerRequest In, TimePoint Now);
  void onCallerGone(CallerTicket Ticket, TimePoint Now);

  void onUpstreamHead(AttemptId Attempt, std::uint16_t Status,
                      const std::string &ContentType, TimePoint Now);
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now);
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now);
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure Failure,
                         TimePoint Now);

  void onReserved(const RequestId &Request, ReserveOutcome Result,
                  TimePoint Now) override;
  void onClaimed(const RequestId &Request, ClaimOutcome Result,
                 const std::optional<RecordedAnswer> &Recorded,
                 TimePoint Now) override;
  void onSettled(const RequestId &Request, const Settlement &Result,
                 TimePoint Now) override;

  /// \brief Refuses all new requests from now on.
  void drain() { Draining = true; }

  [[nodiscard]] std::int64_t inFlight() const { return Limits.inFlight(); }
  [[nodiscard]] const RequestCounters &counters() const { return Counters; }
  /// \returns the latencies from arrival to the first byte sent to the caller.
  [[nodiscard]] LatencyCounts firstByteLatency() const {
    return FirstByteLatencies.counts();
  }
  /// \returns the latencies from arrival to the end of the answer.
  [[nodiscard]] LatencyCounts wholeLatency() const {
    return AnswerLatencies.counts();
  }
  UpstreamTable &upstreams() { return Table; }
  Quarantine &quarantine() { return ContentQuarantine; }
  /// \returns null before the first configuration.
  [[nodiscard]] const ConfigurationIndex *configuration() const {
    return CurrentIndex.get();
  }

private:
  struct ActiveRequest {
    RequestId Id;
    CallerTicket Ticket;
    std::string Method;
    std::string Target;
    std::string ContentType;
    std::shared_ptr<const CallerPresence> Presence;
    ServiceRequest Parsed;
    /// Configuration under which it was accepted.
    ConfigurationVersion Version;
    RequestLifecycle Lifecycle;
    /// Wall-clock times for the bill.
    WallTime AcceptedWall;
    WallTime DispatchedWall;
    /// Monotonic times for latencies.
    TimePoint AcceptedAt;
    TimePoint DispatchedAt;
    std::optional<TimerQueue::Handle> Deadline;
    /// The latest attempt.
    AttemptId Attempt;
    /// Attempts of which at least one byte was sent.
    int SentAttempts = 0;
    /// Upstream of the latest attempt.
    UpstreamName Upstream;
    /// Upstreams of all attempts.
    std::vector<UpstreamName> Tried;
    DispatchEstimate Estimate;
    /// Whether the answer of the latest attempt has begun.
    bool AnswerBegun = false;
    /// Whether the content was in flight when an upstream crashed.
    bool Suspect = false;
    bool CallerGone = false;
    /// Whether the head of a streamed answer was sent to the caller.
    bool StreamBegun = false;
    std::uint16_t UpstreamStatus = 0;
    std::string UpstreamContentType;
    /// Body of an answer that is not streamed, as received so far.
    std::string AnswerBody;
    StreamMeter Meter;
  };

  [[nodiscard]] RequestId nextId();
  ActiveRequest *find(const RequestId &Request);
  ActiveRequest *find(AttemptId Attempt);
  /// Refuses a request before it is admitted.
  void refuseEarly(CallerTicket Ticket, const Refusal &Cause);
  /// \returns why a valid request is refused regardless of limits and budgets.
  [[nodiscard]] std::optional<Refusal>
  checkAdmission(const ServiceRequest &Parsed, TimePoint Now) const;
  /// \returns the first direct or indirect dependency without an available
  /// upstream, or null.
  [[nodiscard]] const ServiceName *missingDependency(const ServiceSpec &Service,
                                                     TimePoint Now) const;
  /// Starts an admitted request and reserves its budget.
  void admit(CallerRequest In, ServiceRequest Parsed, TimePoint Now);
  /// Continues after the reservation with the claim, if one is needed, or the
  /// first attempt.
  void proceed(ActiveRequest &Item, TimePoint Now);
  /// Sends the request to an upstream not tried yet, or ends it.
  void dispatch(ActiveRequest &Item, TimePoint Now);
  void recordFirstToken(ActiveRequest &Item, TimePoint Now);
  /// Records the failure of the latest attempt.
  /// \param Crash whether the upstream may have crashed on the content.
  void failAttempt(ActiveRequest &Item, bool Crash, TimePoint Now);
  /// \param Sent whether any byte of the failed attempt was sent.
  [[nodiscard]] bool mayRetry(const ActiveRequest &Item, bool Sent,
                              TimePoint Now);
  void retryOrEnd(ActiveRequest &Item, bool Sent, TimePoint Now);
  /// Computes the bill of an answered request and hands it to the budgets.
  void complete(ActiveRequest &Item, TimePoint Now);
  /// Sets the tokens and the cost of a model request's bill.
  void completeModel(ActiveRequest &Item, Bill &NewBill);
  /// Ends the latest attempt in the upstream table, unless it has ended.
  void releaseAttempt(ActiveRequest &Item, TimePoint Now);
  /// Ends a request whose caller left before the latest attempt was sent.
  void onLeftBeforeSend(ActiveRequest &Item, TimePoint Now);
  void onDeadline(const RequestId &Request, TimePoint Now);
  void beginStream(ActiveRequest &Item, TimePoint Now);
  /// Sends the answer, or its held back end, after the bill is durable.
  void deliver(ActiveRequest &Item, const Settlement &Result, TimePoint Now);
  /// Sends the recorded answer of an earlier request with the same key.
  void replay(ActiveRequest &Item,
              const std::optional<RecordedAnswer> &Recorded);
  /// Ends a request with a refusal and releases its budget.
  /// \param Disposition what becomes of its claim.
  void end(ActiveRequest &Item, const Refusal &Cause,
           ClaimDisposition Disposition, TimePoint Now);
  /// Removes an ended request from all tables.
  void finish(const RequestId &Request, TimePoint Now);
  ChoicePolicy &policyOf(const ServiceSpec &Service);
  RetryBudget &retryBudgetOf(const ServiceSpec &Service);

  Incarnation Self;
  RequestDependencies Deps;
  BudgetAgent *Budgets = nullptr;
  ConfigurationVersion Version;
  /// Null before the first configuration.
  std::unique_ptr<ConfigurationIndex> CurrentIndex;
  UpstreamTable Table;
  Quarantine ContentQuarantine;
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
  LatencyHistogram FirstByteLatencies;
  LatencyHistogram AnswerLatencies;
  bool Draining = false;
};

/// @}

} // namespace bronzeward
