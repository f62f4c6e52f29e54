#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Routing"
#include "bronzeward/src/Relay/CrashTracker.h"
#include "bronzeward/src/Relay/EventStream.h"
#include "bronzeward/src/Relay/LocalCongestion.h"
#include "bronzeward/src/Relay/RateLimitAgent.h"
#include "bronzeward/src/Relay/RefusalCounts.h"
#include "bronzeward/src/Relay/RelayAdmission.h"
#include "bronzeward/src/Relay/SharedRetryBudget.h"
#include "bronzeward/src/Relay/StreamOriginAgent.h"
#include "bronzeward/src/Relay/UpstreamPool.h"
#include "bronzeward/src/Request/LatencyHistogram.h"
#include "bronzeward/src/Request/RequestCounters.h"
#include "bronzeward/src/Request/RequestLifecycle.h"
#include "bronzeward/src/Store/UnreadableReplies.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Interfaces through which a \ref RelayEngine reaches the outside.
struct RelayDependencies {
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
  TimerQueue &Timers;
  Random &Source;
  const CallCodec &Codec;
  const Membership &Members;
  RateLimitAgent &Limits;
};

/// \brief Forwards routed calls to upstreams unchanged and tells each caller
/// whether its call may have run.
///
/// A call runs at most once unless its route allows repetition. A refusal
/// states that the call has not run only if no upstream can have begun it.
/// docs/RELAY.md describes the decisions and the load patterns behind them.
class RelayEngine : public BudgetListener,
                    public PermitListener,
                    public StreamOriginListener {
public:
  /// \param FleetRetries limit of the retries of all instances together.
  RelayEngine(FailureDomain OwnDomain, RetryAllowance FleetRetries,
              RelayDependencies Dependencies);

  /// \brief Connects the engine to the budgets, once this instance has
  /// registered and has an incarnation.
  void attach(BudgetAgent &Agent, const Incarnation &OwnId, TimePoint Now);
  /// \brief Activates a configuration for new calls. Calls in flight keep the
  /// one they were admitted with.
  void configure(FleetConfiguration Accepted, TimePoint Now);
  /// \brief Replaces the set of upstreams that may receive new calls.
  void setUsable(const std::vector<UpstreamEntry> &Usable, TimePoint Now);

  /// \brief Sets the state of the list of upstreams, for the decision log.
  void setRegistryState(const RegistryState &Known) { Registry = Known; }

  /// \brief Limits the memory of the bodies of unfinished answers. Where it is
  /// exceeded, the longest one is ended as invalid.
  void limitBufferedBytes(std::size_t Bytes) { MaxBufferedBytes = Bytes; }
  /// \brief Limits resumable streams to the versions of upstreams that the
  /// agent knows; without one, only the attempts of one call are limited.
  void limitVersions(StreamOriginAgent &Agent) {
    Origins = &Agent;
    Agent.notify(*this);
  }
  /// \brief Sets who is told about news for the peers.
  void notify(PartNewsListener &Listener) { Crashes.notify(Listener); }

  /// \brief Admits a call and dispatches it, or refuses it.
  void onCallerRequest(CallerRequest In, TimePoint Now);
  /// \brief Cancels a call whose caller disconnected.
  void onCallerGone(CallerTicket Ticket, TimePoint Now);

  /// \brief Handles the status line and headers of an answer.
  void onUpstreamHead(AttemptId Attempt, const HttpHead &Head, TimePoint Now);
  /// \brief Handles bytes of an answer's body.
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now);
  /// \brief Handles the complete end of an answer.
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now);
  /// \brief Handles an attempt that failed before the end of its answer.
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure Failure,
                         TimePoint Now);

  /// \brief Handles a probe's result: the upstream refuses connections.
  void onUpstreamRefused(const UpstreamName &Upstream, TimePoint Now);
  /// \returns the crash tracker, which is told about vanished upstreams.
  CrashTracker &crashTracker() { return Crashes; }
  /// \brief Applies what a peer learned about crash suspects.
  void onPartNews(const PartNews &News, const InstanceId &From, TimePoint Now) {
    Crashes.onNews(News, From, Now);
  }
  /// \brief Quarantines suspects; called periodically.
  void reviewParts(TimePoint Now);

  void onReserved(const RequestId &Request, ReserveOutcome Reserved,
                  TimePoint Now) override;
  void onClaimed(const RequestId &, ClaimOutcome,
                 const std::optional<RecordedAnswer> &, TimePoint) override {}
  void onSettled(const RequestId &, const Settlement &, TimePoint) override {}
  void onPermitsChanged(TimePoint Now) override;
  void onOriginLookedUp(const RequestId &Request,
                        std::optional<VersionId> Version,
                        TimePoint Now) override;

  /// \brief Refuses new calls that may last beyond a time from now on. Calls in
  /// flight are completed.
  void admitOnlyUntil(TimePoint End) { AdmittedUntil = End; }
  /// \brief Ends every call in flight, with an answer unless its stream has
  /// begun.
  void endAll(TimePoint Now);

  /// \returns whether connections wait for this instance's own link or
  /// processor.
  [[nodiscard]] bool congested(TimePoint Now) const {
    return Congestion.congested(Now);
  }
  /// \returns the number of calls that are admitted and not finished.
  [[nodiscard]] std::size_t inFlight() const { return Active.size(); }
  [[nodiscard]] const RequestCounters &counters() const { return Counters; }
  /// \returns the refusals since the last call, by reason.
  [[nodiscard]] std::string takeRefusals() { return Refusals.take(); }
  [[nodiscard]] LatencyCounts firstByteLatency() const {
    return FirstByte.counts();
  }
  [[nodiscard]] LatencyCounts wholeLatency() const {
    return WholeAnswer.counts();
  }
  /// \returns the active routes; null before the first configuration.
  [[nodiscard]] const RouteTable *routes() const { return Routes.get(); }
  [[nodiscard]] const UpstreamPool &upstreams() const { return Pool; }
  UpstreamPool &upstreams() { return Pool; }
  PartQuarantine &partQuarantine() { return Crashes.parts(); }
  [[nodiscard]] const PartQuarantine &partQuarantine() const {
    return Crashes.parts();
  }

private:
  /// \brief An admitted call until its caller has an answer or is gone.
  struct ActiveCall {
    RequestId Id;
    RelayCall Call;
    AdmittedCall Admitted;
    ContentFingerprint Content;
    /// What may crash an upstream: the content, then the parts of the prompt
    /// that other calls may share.
    std::vector<PartId> Suspects;
    RequestLifecycle Lifecycle;
    WallTime Accepted;
    WallTime Dispatched;
    TimePoint AcceptedAt;
    TimePoint ExpiresAt;
    TimerQueue::Handle Expiry;
    /// Set while the call would be retried if the upstream stays silent.
    std::optional<TimerQueue::Handle> SilenceTimer;
    /// Set while the call waits for an upstream that limits its rate.
    std::optional<TimerQueue::Handle> PermitTimer;
    /// Upstream for which a permit was requested for this call.
    std::optional<UpstreamRun> PermitRequested;
    PlacementQuery Query;
    AttemptId Attempt;
    UpstreamName Upstream;
    /// Start time of the upstream when the attempt was sent to it.
    WallTime UpstreamStarted;
    VersionId UpstreamVersion;
    TimePoint SentAt;
    /// Attempts that may have run at an upstream.
    int PossibleRuns = 0;
    /// Attempts that upstreams rejected for lack of capacity.
    int Rejections = 0;
    /// Minimum time after which the call may be served if it is refused.
    Duration MinRetryAfter{};
    std::optional<RelayAnswerHead> Head;
    std::string Body;
    /// Memory that the body took while it was read, in bytes.
    std::size_t BufferedBytes = 0;
    /// Bytes read of the body of an upstream's rejection.
    std::size_t RejectionBytes = 0;
    EventStream Events;
    /// Whether the head of a stream was sent to the caller.
    bool StreamBegun = false;
    /// The head that was sent; set if StreamBegun is.
    RelayAnswerHead StreamHead;
  };

  void raisePrepaidBudgets(TimePoint Now);

  // Arrival.
  void refuse(CallerTicket Ticket, const RelayCall *Call, Reason Why);
  void admit(RelayCall Call, AdmittedCall Admitted, TimePoint Now);
  /// \returns whether the caller goes on with a stream that an earlier attempt
  /// of it began.
  [[nodiscard]] static bool resumesStream(const ActiveCall &Item);
  /// Limits a call to the version at which its stream began, then reserves its
  /// budget.
  void findOrigin(ActiveCall &Item, TimePoint Now);
  void reserveBudget(ActiveCall &Item, TimePoint Now);

  // Dispatch.
  void dispatch(ActiveCall &Item, TimePoint Now);
  /// Sets the limits of connections to one upstream from the call's service.
  void limitConnections(ActiveCall &Item) const;
  /// Limits a new resumable stream to the versions at which it may begin.
  void limitNewStream(ActiveCall &Item, TimePoint Now) const;
  /// Chooses an upstream to which a call may be sent now.
  /// \param Candidates upstreams without a permit are removed.
  [[nodiscard]] std::optional<Choice>
  choose(ActiveCall &Item, std::vector<Candidate> &Candidates, TimePoint Now);
  /// Requests a permit for a call, unless one is already expected for it.
  void requestPermit(ActiveCall &Item, const UpstreamRun &Run, TimePoint Now);
  /// Refuses a call for which no upstream is left.
  void onNoCandidate(ActiveCall &Item, TimePoint Now);
  /// Holds a call until a rate-limited upstream accepts it, or refuses it if
  /// that is too late.
  void awaitPermit(ActiveCall &Item, TimePoint Now);
  void stopAwaiting(ActiveCall &Item);
  /// Tries again to send a call that waits for a permit.
  void onPermitTimer(const RequestId &Id, TimePoint Now);
  /// \returns when the first upstream of a service accepts calls.
  [[nodiscard]] TimePoint acceptsFrom(const ServiceName &Service,
                                      TimePoint Now) const;
  [[nodiscard]] UpstreamRun runOf(const UpstreamName &Upstream) const;
  void send(ActiveCall &Item, const UpstreamName &Upstream, TimePoint Now);
  [[nodiscard]] UpstreamCall upstreamCall(const ActiveCall &Item,
                                          TimePoint Now) const;
  /// Starts the timer that retries a repeatable call at another upstream.
  void armSilenceTimer(ActiveCall &Item, Duration Expected, TimePoint Now);
  void onSilenceTimeout(const RequestId &Id, TimePoint Now);

  // Answers.
  /// Records a shutdown or back-off that the upstream announced.
  void recordUpstreamRequests(const ActiveCall &Item, TimePoint Now);
  /// Records the rate limit that the upstream states, or that it states none.
  void recordRateLimit(const ActiveCall &Item, TimePoint Now);
  void forwardEvents(ActiveCall &Item, std::string_view Bytes, TimePoint Now);
  /// Sends events to the caller, after the stream's head if they are the first.
  void sendEvents(ActiveCall &Item, const std::string &Events, TimePoint Now);
  /// Binds a stream to its upstream's version when its first event is sent.
  void bindVersion(ActiveCall &Item, TimePoint Now);
  /// \returns whether an answer is the begun stream or can go on in it.
  [[nodiscard]] static bool belongsToStream(const ActiveCall &Item);
  /// \returns whether a whole answer must not reach the caller, because it does
  /// not complete the begun stream, or because its status would promise that a
  /// call that may not be repeated has not run.
  [[nodiscard]] static bool mustBeWithheld(const ActiveCall &Item);
  /// Discards the body of an answer that reports that the call did not run.
  void skipRejection(ActiveCall &Item, std::size_t Length, TimePoint Now);
  /// Ends an attempt whose answer is invalid, and logs why.
  void rejectAnswer(ActiveCall &Item, const std::string &Problem,
                    TimePoint Now);
  /// Aborts the largest unfinished answer to free its memory.
  void abortLongestAnswer(TimePoint Now);
  void endAttempt(ActiveCall &Item, AttemptEnd End, TimePoint Now);
  /// Retries or refuses a call that an upstream reported as not run.
  void onRejected(ActiveCall &Item, TimePoint Now);
  /// Records that the connection to the call's upstream timed out.
  void recordConnectTimeout(const ActiveCall &Item, TimePoint Now);
  /// Records that a call's attempt ends, if its upstream has sent nothing.
  void recordSilence(const ActiveCall &Item, TimePoint Now);
  /// Retries or ends a call whose answer was interrupted.
  void onBrokenAnswer(ActiveCall &Item, UpstreamFailure Failure, TimePoint Now);
  /// Clears the call's suspects of which its complete answer is a proof.
  void clearSuspects(const ActiveCall &Item, TimePoint Now);
  /// \returns whether a call that may have run can be retried; if so, a retry
  /// is taken from the service's budget.
  [[nodiscard]] bool acquireRetry(ActiveCall &Item, TimePoint Now);
  void retry(ActiveCall &Item, TimePoint Now);
  /// Completes a call with the upstream's answer.
  void deliver(ActiveCall &Item, TimePoint Now);
  /// Ends a call without a complete answer, with a refusal or, in a stream, by
  /// closing the caller's connection.
  void refuseOrAbort(ActiveCall &Item, Reason Why, TimePoint Now);
  void onExpired(const RequestId &Id, TimePoint Now);
  /// Ends a call whose caller was found to have left, and closes its
  /// connection. Its attempt has ended.
  void disconnect(ActiveCall &Item, TimePoint Now);
  /// Ends a call whose caller has left. Its attempt has ended.
  void abandon(ActiveCall &Item, TimePoint Now);
  /// Settles or releases the call's reservation.
  void settleBudget(ActiveCall &Item, TimePoint Now);
  void finish(const RequestId &Id);

  /// Tests whether an upstream that interrupted a call has ended.
  void probe(const UpstreamName &Upstream, TimePoint Now);
  ActiveCall *find(const RequestId &Id);
  ActiveCall *find(AttemptId Attempt);
  SharedRetryBudget &retryBudgetOf(const ServiceName &Service);

  RetryAllowance Allowance;
  RelayDependencies Deps;
  BudgetAgent *Budgets = nullptr;
  StreamOriginAgent *Origins = nullptr;
  Incarnation OwnIncarnation;
  std::shared_ptr<const RouteTable> Routes;
  UpstreamPool Pool;
  RegistryState Registry;
  LocalCongestion Congestion;
  CrashTracker Crashes;
  std::map<ServiceName, SharedRetryBudget> RetryBudgets;
  std::map<RequestId, ActiveCall> Active;
  std::map<CallerTicket, RequestId> ByTicket;
  std::map<AttemptId, RequestId> ByAttempt;
  /// Calls that wait for a permit.
  std::set<RequestId> AwaitingPermit;
  /// Memory of all unfinished answers that are buffered, which are those of all
  /// calls but successful streams, in bytes.
  std::size_t BufferedBytes = 0;
  std::size_t MaxBufferedBytes = std::size_t{32} * 1024 * 1024;
  /// Limits the rate of the lines about invalid answers.
  UnreadableReplies InvalidAnswers;
  /// Set while only calls that end by then are admitted.
  std::optional<TimePoint> AdmittedUntil;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastAttempt = 0;
  RequestCounters Counters;
  RefusalCounts Refusals;
  LatencyHistogram FirstByte;
  LatencyHistogram WholeAnswer;
};

/// @}

} // namespace bronzeward
