#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Routing"
#include "bronzeward/src/Relay/CrashEvidence.h"
#include "bronzeward/src/Relay/EventStream.h"
#include "bronzeward/src/Relay/LocalCongestion.h"
#include "bronzeward/src/Relay/RelayAdmission.h"
#include "bronzeward/src/Relay/SharedRetryBudget.h"
#include "bronzeward/src/Relay/UpstreamPool.h"
#include "bronzeward/src/Request/LatencyHistogram.h"
#include "bronzeward/src/Request/RequestCounters.h"
#include "bronzeward/src/Request/RequestLifecycle.h"

#include <map>
#include <memory>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Interfaces through which a \ref RelayEngine reaches the outside.
struct RelaySurroundings {
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
  TimerQueue &Timers;
  Random &Source;
  const CallCodec &Codec;
  const Membership &Members;
};

/// \brief Passes routed calls on, unchanged, and gives a true account of each.
///
/// A call may run once unless its route says otherwise; a refusal that says it
/// has not run is given only where no upstream can have begun it. docs/RELAY.md
/// tells the decisions and the load patterns they answer.
class RelayEngine : public BudgetListener {
public:
  RelayEngine(FailureDomain Home, RetryAllowance FleetRetries,
              RelaySurroundings Parts);

  /// \brief Joins the engine with the budgets, once this instance has a number.
  void attach(BudgetAgent &Agent, const Incarnation &Life, TimePoint Now);
  /// \brief Puts a configuration in force. Running calls keep theirs.
  void configure(FleetConfiguration Accepted, TimePoint Now);
  /// \brief Takes over which upstreams may get new calls.
  void setUsable(const std::vector<UpstreamEntry> &Usable, TimePoint Now);

  void onCallerRequest(CallerRequest In, TimePoint Now);
  void onCallerGone(CallerTicket Ticket, TimePoint Now);

  void onUpstreamHead(AttemptId Attempt, const HttpHead &Head, TimePoint Now);
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now);
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now);
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure How, TimePoint Now);

  void onReserved(const RequestId &Request, ReserveOutcome What,
                  TimePoint Now) override;
  void onClaimed(const RequestId &, ClaimOutcome,
                 const std::optional<RecordedAnswer> &, TimePoint) override {}
  void onSettled(const RequestId &, const Settlement &, TimePoint) override {}

  /// \brief Refuses calls from now on; those under way go on.
  void stopAdmitting() { Admitting = false; }

  [[nodiscard]] std::size_t inFlight() const { return Active.size(); }
  [[nodiscard]] const RequestCounters &counters() const { return Counters; }
  [[nodiscard]] LatencyCounts firstByteLatency() const {
    return FirstByte.counts();
  }
  [[nodiscard]] LatencyCounts wholeLatency() const { return Whole.counts(); }
  [[nodiscard]] const RouteTable *routes() const { return Routes.get(); }
  [[nodiscard]] const UpstreamPool &upstreams() const { return Pool; }
  UpstreamPool &upstreams() { return Pool; }
  Quarantine &quarantine() { return Crashes; }

private:
  struct ActiveCall {
    RequestId Id;
    RelayCall Call;
    AdmittedCall Terms;
    ContentFingerprint Content;
    RequestLifecycle Lifecycle;
    WallTime Accepted;
    WallTime Dispatched;
    TimePoint AcceptedAt;
    TimePoint ExpiresAt;
    TimerQueue::Handle Expiry;
    /// Set while a silent upstream would be given up for another.
    std::optional<TimerQueue::Handle> Patience;
    PlacementQuery Query;
    AttemptId Attempt;
    UpstreamName Upstream;
    /// Tries that may have run, and tries that upstreams turned away.
    int Runs = 0;
    int TurnedAway = 0;
    /// Least time after which a refused caller may be served.
    Duration ComeBack{};
    std::optional<RelayAnswerHead> Head;
    std::string Body;
    /// Bytes of a rejection's body.
    std::size_t Rejection = 0;
    EventStream Events;
    /// Whether the caller has the head of a stream.
    bool Begun = false;
  };

  void statePrepaid(TimePoint Now);

  // Arrival.
  void refuse(CallerTicket Ticket, const RelayCall *Call, Reason Why);
  void admit(RelayCall Call, AdmittedCall Terms, TimePoint Now);

  // Dispatch.
  void dispatch(ActiveCall &Item, TimePoint Now);
  /// Sets how many connections to one upstream the call's service allows.
  void boundConnections(ActiveCall &Item) const;
  void onNoCandidate(ActiveCall &Item, TimePoint Now);
  void send(ActiveCall &Item, const UpstreamName &Upstream, TimePoint Now);
  [[nodiscard]] UpstreamCall upstreamCall(const ActiveCall &Item,
                                          TimePoint Now) const;
  void armPatience(ActiveCall &Item, Duration Expected, TimePoint Now);
  void onPatienceOver(const RequestId &Id, TimePoint Now);

  // Answers.
  /// Takes over what the upstream asks of this instance.
  void noteWishes(const ActiveCall &Item, TimePoint Now);
  void forwardEvents(ActiveCall &Item, std::string_view Bytes, TimePoint Now);
  /// Reads over the body of an answer that says the call did not run.
  void skipRejection(ActiveCall &Item, std::size_t Length, TimePoint Now);
  /// Frees memory that an answer without end would take.
  void cutLongestAnswer(TimePoint Now);
  void endTry(ActiveCall &Item, TryEnd How, TimePoint Now);
  void onTurnedAway(ActiveCall &Item, TimePoint Now);
  /// A connection did not open in time.
  void noteConnectTimeout(const ActiveCall &Item, TimePoint Now);
  void onBroken(ActiveCall &Item, TimePoint Now);
  [[nodiscard]] bool mayRunAgain(ActiveCall &Item, TimePoint Now);
  void tryAgain(ActiveCall &Item, TimePoint Now);
  void deliver(ActiveCall &Item, TimePoint Now);
  void endWithout(ActiveCall &Item, Reason Why, TimePoint Now);
  void onExpired(const RequestId &Id, TimePoint Now);
  void account(ActiveCall &Item, TimePoint Now);
  void finish(const RequestId &Id);

  void noteDown(const UpstreamName &Upstream, TimePoint Now);
  void noteCrashes(const std::vector<ContentFingerprint> &Contents,
                   TimePoint Now);
  ActiveCall *find(const RequestId &Id);
  ActiveCall *find(AttemptId Attempt);
  SharedRetryBudget &retriesOf(const ServiceName &Service);

  RetryAllowance Allowance;
  RelaySurroundings Around;
  BudgetAgent *Budgets = nullptr;
  Incarnation Self;
  std::shared_ptr<const RouteTable> Routes;
  UpstreamPool Pool;
  LocalCongestion Congestion;
  Quarantine Crashes;
  CrashEvidence Evidence;
  std::map<ServiceName, SharedRetryBudget> Retries;
  std::map<RequestId, ActiveCall> Active;
  std::map<CallerTicket, RequestId> ByTicket;
  std::map<AttemptId, RequestId> ByAttempt;
  /// Bytes of all unfinished answers that are not passed on as they come.
  std::size_t HeldBytes = 0;
  bool Admitting = true;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastAttempt = 0;
  RequestCounters Counters;
  LatencyHistogram FirstByte;
  LatencyHistogram Whole;
};

/// @}

} // namespace bronzeward
