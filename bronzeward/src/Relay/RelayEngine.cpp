#include "bronzeward/src/Relay/RelayEngine.h"

#include "bronzeward/src/Relay/RelayAnswers.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bronzeward {

/// Upstreams to which one call may be dispatched, including unreachable ones.
constexpr std::size_t MaxDispatches = 4;
/// Rejections for lack of capacity after which a call is still retried.
constexpr int MaxRejections = 2;
/// Minimum time before the call's deadline that allows another attempt.
constexpr Duration MinTimeLeft = 20ms;
/// A repeatable call waits for a silent upstream for this fraction of its
/// latency objective, but at least for this multiple of the expected delay.
constexpr double SilenceFraction = 0.6;
constexpr int SilenceMultiple = 3;
/// Timeout for opening a connection, which takes about 10 ms across failure
/// domains.
constexpr Duration ConnectTimeout = 300ms;
/// Connect timeout while this instance's own link is congested: the time to
/// send the bytes queued in the callers' TCP windows over 10 Mbit/s.
constexpr Duration CongestedConnectTimeout = 2s;
/// A call waits for a permit of a rate-limited upstream for at most this
/// fraction of its latency objective, and at least this time between two tries.
constexpr double PermitWaitFraction = 0.25;
constexpr Duration MinPermitWait = 5ms;
/// Time for which sent bytes of a repeatable call may stay unacknowledged
/// before the call is retried at another upstream.
constexpr std::chrono::milliseconds UnackedTimeout{500};
/// A call that may not be repeated reuses an idle connection only if the
/// upstream sent bytes within this time. Otherwise it opens a new one, which
/// shows that the machine is reachable before the call is sent.
constexpr Duration RecentlyHeard = 500ms;
/// Maximum idle time of a connection that is reused. A lower limit that the
/// peer announced takes precedence.
constexpr Duration MaxIdleConnection = 60s;
/// Maximum size of a buffered answer body. Larger answers are invalid.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
/// Maximum size of an event in a stream. An event with a few tokens has
/// hundreds of bytes.
constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;
/// Maximum size of a rejection's body that is read to the end, so that its
/// connection can be reused.
constexpr std::size_t MaxRejectionBytes = 65536;

/// Maximum number of parts of one call that are checked and recorded.
constexpr std::size_t MaxSharedParts = 64;

/// \returns the content, then the parts that other calls may share: all but
/// the last, which belongs to the call or its session.
static std::vector<PartId> suspectsOf(const ContentFingerprint &Content,
                                      const std::vector<PromptPart> &Parts) {
  std::vector<PartId> Suspects{suspectOfContent(Content)};
  for (std::size_t Index = 0;
       Index + 1 < Parts.size() && Index < MaxSharedParts; ++Index)
    Suspects.push_back(suspectOfPart(Parts[Index].Id));
  return Suspects;
}

/// \returns whether a caller takes an answer with a status as a promise that
/// its call has not run. An upstream promises it by other means.
static bool promisesNotRun(std::uint16_t Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

RelayEngine::RelayEngine(FailureDomain OwnDomain, RetryAllowance FleetRetries,
                         RelayDependencies Dependencies)
    : Allowance(FleetRetries), Deps(Dependencies), Pool(std::move(OwnDomain)),
      Crashes(Deps.Log, Deps.Members) {
  Deps.Limits.notify(*this);
}

void RelayEngine::attach(BudgetAgent &Agent, const Incarnation &OwnId,
                         TimePoint Now) {
  Budgets = &Agent;
  OwnIncarnation = OwnId;
  Crashes.setInstance(OwnId.Instance);
  raisePrepaidBudgets(Now);
}

void RelayEngine::configure(FleetConfiguration Accepted, TimePoint Now) {
  Routes = std::make_shared<RouteTable>(std::move(Accepted));
  raisePrepaidBudgets(Now);
}

void RelayEngine::raisePrepaidBudgets(TimePoint Now) {
  if (Budgets == nullptr || !Routes)
    return;
  for (const WorkspaceAccess &Workspace : Routes->configuration().Workspaces)
    if (Workspace.Metered)
      Budgets->raisePrepaid(Workspace.Name, Workspace.Prepaid, Now);
}

void RelayEngine::setUsable(const std::vector<UpstreamEntry> &Usable,
                            TimePoint Now) {
  for (const UpstreamName &Restarted : Pool.setUsable(Usable, Now))
    Crashes.onDown(Restarted, "restarted", Now);
}

RelayEngine::ActiveCall *RelayEngine::find(const RequestId &Id) {
  const auto Found = Active.find(Id);
  return Found == Active.end() ? nullptr : &Found->second;
}

RelayEngine::ActiveCall *RelayEngine::find(AttemptId Attempt) {
  const auto Found = ByAttempt.find(Attempt);
  return Found == ByAttempt.end() ? nullptr : find(Found->second);
}

SharedRetryBudget &RelayEngine::retryBudgetOf(const ServiceName &Service) {
  return RetryBudgets.try_emplace(Service, SharedRetryBudget(Allowance))
      .first->second;
}

// Arrival.

void RelayEngine::refuse(CallerTicket Ticket, const RelayCall *Call,
                         Reason Why) {
  ++Counters.RefusedNotRun;
  Refusals.add(Why);
  const RequestId CallerAttemptId{Call == nullptr ? "" : Call->CallerAttemptId};
  const Answer Response = relayRefusal(
      CallerAttemptId, {Outcome::NotRun, Why, ""}, {}, Deps.Source);
  Deps.Log.onEnd(CallerAttemptId, {}, Response.Status, nameOf(Outcome::NotRun),
                 descriptionOf(Why).Code);
  Deps.Callers.answer(Ticket, Response);
}

void RelayEngine::onCallerRequest(CallerRequest In, TimePoint Now) {
  ++Counters.Accepted;
  const CallerTicket Ticket = In.Ticket;
  std::shared_ptr<const CallerPresence> Presence = In.Presence;
  if (!Routes) {
    refuse(Ticket, nullptr, Reason::NotReady);
    return;
  }
  Result<RelayCall> Parsed = Deps.Codec.parseCall(std::move(In));
  if (!Parsed) {
    refuse(Ticket, nullptr, Reason::InvalidRequest);
    return;
  }
  RelayCall Call = std::move(Parsed).value();
  Call.Presence = std::move(Presence);
  auto Admitted = admitCall(Routes, Call, Deps.Source);
  if (!Admitted) {
    refuse(Ticket, &Call, Admitted.error());
    return;
  }
  if (AdmittedUntil && Now + Admitted.value().TimeLimit > *AdmittedUntil) {
    refuse(Ticket, &Call, Reason::Draining);
    return;
  }
  if (Admitted.value().Metered && Budgets == nullptr) {
    refuse(Ticket, &Call, Reason::StoreUnavailable);
    return;
  }
  admit(std::move(Call), std::move(Admitted).value(), Now);
}

void RelayEngine::admit(RelayCall Call, AdmittedCall Admitted, TimePoint Now) {
  ContentFingerprint Content{sha256Hex(Call.Method + " " + Call.Target + " " +
                                       Admitted.Workspace.Value + "\n" +
                                       Call.Body.text())};
  std::vector<PartId> Suspects = suspectsOf(Content, Call.Parts);
  if (Crashes.holdsBack(Suspects, Now)) {
    refuse(Call.Ticket, &Call, Reason::Quarantined);
    return;
  }
  const RequestId Id{OwnIncarnation.Instance.Value + "-" +
                     std::to_string(OwnIncarnation.Epoch) + "-" +
                     std::to_string(++LastRequest)};
  ActiveCall Item;
  Item.Id = Id;
  Item.Content = std::move(Content);
  Item.Suspects = std::move(Suspects);
  Item.Accepted = Deps.Wall.wallNow();
  Item.AcceptedAt = Now;
  Item.ExpiresAt = Now + Admitted.TimeLimit;
  Item.Query.Service = Admitted.Service;
  Item.Query.Prefixes = prefixesOf(Call.Parts);
  for (const PromptPart &Part : Call.Parts)
    Item.Query.PartTokens.push_back(Part.Tokens);
  Item.Query.PromptTokens = Call.PromptTokens.value_or(0);
  Item.Query.OutputTokens = Call.MaxOutputTokens.value_or(0);
  Item.Call = std::move(Call);
  Item.Admitted = std::move(Admitted);
  if (Item.Admitted.Route->Resumable)
    Item.Events.resumeAfter(Item.Call.LastEventId);
  Item.Expiry = Deps.Timers.schedule(
      Item.ExpiresAt, [this, Id](TimePoint At) { onExpired(Id, At); });
  ByTicket.emplace(Item.Call.Ticket, Id);
  retryBudgetOf(Item.Admitted.Service).onCall(Now);
  ActiveCall &Stored = Active.emplace(Id, std::move(Item)).first->second;
  if (Origins != nullptr && resumesStream(Stored))
    findOrigin(Stored, Now);
  else
    reserveBudget(Stored, Now);
}

bool RelayEngine::resumesStream(const ActiveCall &Item) {
  return Item.Admitted.Route->Resumable &&
         !(Item.Call.LastEventId.empty() && Item.Call.ResumedAttemptId.empty());
}

void RelayEngine::findOrigin(ActiveCall &Item, TimePoint Now) {
  const StreamKey Stream =
      streamKeyOf(Item.Admitted.Workspace, Item.Call.ResumedAttemptId);
  const OriginLookup Found =
      Origins->lookUp(Item.Id, Item.Admitted.Service, Stream, Now);
  if (Found.Result == OriginLookup::Outcome::Found)
    onOriginLookedUp(Item.Id, Found.Version, Now);
  else if (Found.Result == OriginLookup::Outcome::Unknown)
    onOriginLookedUp(Item.Id, std::nullopt, Now);
}

void RelayEngine::onOriginLookedUp(const RequestId &Request,
                                   std::optional<VersionId> Version,
                                   TimePoint Now) {
  ActiveCall *Item = find(Request);
  if (Item == nullptr)
    return;
  if (!Version) {
    refuseOrAbort(*Item, Reason::StreamOriginUnknown, Now);
    return;
  }
  Item->Query.Versions = {*Version};
  reserveBudget(*Item, Now);
}

void RelayEngine::reserveBudget(ActiveCall &Item, TimePoint Now) {
  const RequestId Id = Item.Id;
  const bool Reserves = Budgets != nullptr && !Item.Admitted.Workspace.empty();
  const ReserveOutcome Reserved =
      Reserves ? Budgets->reserve(Id, Item.Admitted.Workspace,
                                  Item.Admitted.Bound, Now)
               : ReserveOutcome::Granted;
  if (Reserved != ReserveOutcome::Waiting)
    onReserved(Id, Reserved, Now);
}

void RelayEngine::onReserved(const RequestId &Request, ReserveOutcome Reserved,
                             TimePoint Now) {
  ActiveCall *Item = find(Request);
  if (Item == nullptr)
    return;
  if (Reserved != ReserveOutcome::Granted)
    Deps.Log.onEvent("budget-short",
                     "request " + Item->Call.CallerAttemptId + " bound " +
                         std::to_string(Item->Admitted.Bound.micros()) + ", " +
                         Budgets->describe(Item->Admitted.Workspace));
  switch (Reserved) {
  case ReserveOutcome::Granted:
    dispatch(*Item, Now);
    return;
  case ReserveOutcome::Exhausted:
    refuseOrAbort(*Item, Reason::BudgetExhausted, Now);
    return;
  case ReserveOutcome::Held:
    refuseOrAbort(*Item, Reason::BudgetHeld, Now);
    return;
  case ReserveOutcome::Unavailable:
    refuseOrAbort(*Item, Reason::StoreUnavailable, Now);
    return;
  case ReserveOutcome::Waiting:
    return;
  }
}

// Dispatch.

void RelayEngine::limitConnections(ActiveCall &Item) const {
  const RoutedService *Service =
      Item.Admitted.Table->service(Item.Admitted.Service);
  if (Service == nullptr)
    return;
  const std::int64_t Instances =
      static_cast<std::int64_t>(Deps.Members.members().size());
  Item.Query.MaxConnections = Service->MaxConnections;
  Item.Query.MemoryTokens = Service->MemoryTokens;
  Item.Query.ConnectionShare = std::max<std::int64_t>(
      1, Service->MaxConnections / std::max<std::int64_t>(1, Instances));
}

void RelayEngine::limitNewStream(ActiveCall &Item, TimePoint Now) const {
  if (Origins != nullptr && Item.Admitted.Route->Resumable &&
      !Item.StreamBegun && !resumesStream(Item))
    Item.Query.Versions = Origins->startable(Item.Admitted.Service, Now);
}

UpstreamRun RelayEngine::runOf(const UpstreamName &Upstream) const {
  return {Upstream, Pool.find(Upstream)->Started};
}

TimePoint RelayEngine::acceptsFrom(const ServiceName &Service,
                                   TimePoint Now) const {
  TimePoint First = TimePoint::max();
  for (const UpstreamName &Name : Pool.upstreamsOf(Service))
    First =
        std::min(First, std::max(Pool.blockedUntil(Name),
                                 Deps.Limits.acceptsFrom(runOf(Name), Now)));
  return First == TimePoint::max() ? Now : std::max(First, Now);
}

void RelayEngine::onNoCandidate(ActiveCall &Item, TimePoint Now) {
  Item.MinRetryAfter = acceptsFrom(Item.Admitted.Service, Now) - Now;
  refuseOrAbort(Item, Reason::NoUpstream, Now);
}

void RelayEngine::requestPermit(ActiveCall &Item, const UpstreamRun &Run,
                                TimePoint Now) {
  if (Item.PermitRequested && Deps.Limits.expectsPermit(*Item.PermitRequested))
    return;
  Item.PermitRequested.reset();
  if (Deps.Limits.onWanted(Run, Now))
    Item.PermitRequested = Run;
}

std::optional<Choice> RelayEngine::choose(ActiveCall &Item,
                                          std::vector<Candidate> &Candidates,
                                          TimePoint Now) {
  const ChoiceInput Input{Item.Query.PromptTokens,
                          sharedPrefixHash(Item.Query.Prefixes)};
  while (!Candidates.empty()) {
    const Choice Best =
        placeCall(Input, Candidates, Item.Admitted.Route->Objective);
    const UpstreamRun Run = runOf(Candidates[Best.Index].Name);
    if (Deps.Limits.acceptsFrom(Run, Now) <= Now)
      return Best;
    requestPermit(Item, Run, Now);
    Candidates.erase(Candidates.begin() +
                     static_cast<std::ptrdiff_t>(Best.Index));
  }
  return std::nullopt;
}

void RelayEngine::dispatch(ActiveCall &Item, TimePoint Now) {
  // Before a permit or a place at an upstream is taken.
  if (Item.Call.Presence && Item.Call.Presence->hasLeft()) {
    disconnect(Item, Now);
    return;
  }
  limitConnections(Item);
  limitNewStream(Item, Now);
  std::vector<Candidate> Candidates =
      Pool.candidates(Item.Query, Deps.Source, Now);
  if (Candidates.empty() || Item.Query.Excluded.size() >= MaxDispatches) {
    onNoCandidate(Item, Now);
    return;
  }
  const std::optional<Choice> Chosen = choose(Item, Candidates, Now);
  if (!Chosen) {
    awaitPermit(Item, Now);
    return;
  }
  stopAwaiting(Item);
  const ChoiceInput Input{Item.Query.PromptTokens,
                          sharedPrefixHash(Item.Query.Prefixes)};
  const Candidate &Best = Candidates[Chosen->Index];
  const Duration Expected = expectedDelay(Input, Best);
  if (Now + Expected >= Item.ExpiresAt) {
    refuseOrAbort(Item, Reason::Overloaded, Now);
    return;
  }
  Deps.Log.onChoice({RequestId{Item.Call.CallerAttemptId},
                     Item.Admitted.Service, Candidates, *Chosen,
                     static_cast<int>(Item.Query.Excluded.size()) + 1,
                     Registry.Revision, Now - Registry.ConfirmedAt});
  send(Item, Best.Name, Now);
  armSilenceTimer(Item, Expected, Now);
}

void RelayEngine::awaitPermit(ActiveCall &Item, TimePoint Now) {
  stopAwaiting(Item);
  const TimePoint Until =
      std::min(Item.ExpiresAt,
               Item.AcceptedAt +
                   std::chrono::duration_cast<Duration>(
                       Item.Admitted.Route->Objective * PermitWaitFraction));
  const TimePoint First = acceptsFrom(Item.Admitted.Service, Now);
  if (Now >= Until || (!Item.PermitRequested && First > Until)) {
    Item.MinRetryAfter = First - Now;
    refuseOrAbort(Item, Reason::Overloaded, Now);
    return;
  }
  AwaitingPermit.insert(Item.Id);
  const TimePoint Again = std::min(std::max(First, Now + MinPermitWait), Until);
  Item.PermitTimer = Deps.Timers.schedule(
      Again, [this, Id = Item.Id](TimePoint At) { onPermitTimer(Id, At); });
}

void RelayEngine::stopAwaiting(ActiveCall &Item) {
  if (!Item.PermitTimer)
    return;
  Deps.Timers.cancel(*Item.PermitTimer);
  Item.PermitTimer.reset();
  AwaitingPermit.erase(Item.Id);
}

void RelayEngine::onPermitTimer(const RequestId &Id, TimePoint Now) {
  if (ActiveCall *Item = find(Id))
    dispatch(*Item, Now);
}

void RelayEngine::onPermitsChanged(TimePoint Now) {
  std::vector<std::tuple<int, TimePoint, RequestId>> Waiting;
  for (const RequestId &Id : AwaitingPermit) {
    const ActiveCall &Item = Active.at(Id);
    Waiting.emplace_back(Item.Admitted.Priority, Item.AcceptedAt, Id);
  }
  std::sort(Waiting.begin(), Waiting.end());
  for (const auto &[Priority, AcceptedAt, Id] : Waiting)
    onPermitTimer(Id, Now);
}

void RelayEngine::send(ActiveCall &Item, const UpstreamName &Upstream,
                       TimePoint Now) {
  Item.Upstream = Upstream;
  Item.Attempt = AttemptId{++LastAttempt};
  Item.UpstreamStarted = Pool.find(Upstream)->Started;
  Item.UpstreamVersion = Pool.find(Upstream)->Version;
  Item.SentAt = Now;
  Item.Dispatched = Deps.Wall.wallNow();
  Item.Head.reset();
  Item.Body = {};
  Item.RejectionBytes = 0;
  Item.Lifecycle.process(RequestEvent::Dispatch);
  ByAttempt.emplace(Item.Attempt, Item.Id);
  Pool.onDispatched(Item.Attempt, Upstream, Item.Query, Now);
  const UpstreamRun Run{Upstream, Item.UpstreamStarted};
  if (Deps.Limits.isLimited(Run))
    ++Counters.SentToRateLimited;
  Deps.Limits.onDispatched(Run, Now);
  Item.Query.Excluded.push_back(Upstream);
  Crashes.onSent(RequestId{Item.Call.CallerAttemptId}, Item.Suspects, Upstream,
                 Now);
  Deps.Upstreams.dispatch(upstreamCall(Item, Now));
}

UpstreamCall RelayEngine::upstreamCall(const ActiveCall &Item,
                                       TimePoint Now) const {
  const UpstreamEntry &Entry = *Pool.find(Item.Upstream);
  const Duration Left = Item.ExpiresAt - Now;
  DispatchContext Dispatch;
  Dispatch.TimeLeft = std::chrono::floor<std::chrono::milliseconds>(Left);
  Dispatch.Upstream = Item.Upstream;
  Dispatch.Workspace = Item.Admitted.Workspace;
  Dispatch.Priority = Item.Admitted.Priority;
  Dispatch.LastEventId = Item.Events.lastId();
  UpstreamCall Call;
  Call.Attempt = Item.Attempt;
  Call.Upstream = Item.Upstream;
  Call.Host = Entry.Host;
  Call.Port = Entry.Port;
  Call.Method = Item.Call.Method;
  Call.Target = Item.Call.Target;
  Call.HostHeader = Item.Call.Host;
  Call.Body = Item.Call.Body;
  Call.Headers = Deps.Codec.dispatchHeaders(Item.Call, Dispatch);
  Call.Match = Deps.Codec.matchingHeader(Item.Call);
  Call.MatchRequired = true;
  Call.Presence = Item.Call.Presence;
  Call.Availability = Pool.availability(Item.Upstream);
  Call.ConnectTimeout = std::min(
      Congestion.congested(Now) ? CongestedConnectTimeout : ConnectTimeout,
      Left);
  const bool MayReuse = Item.Admitted.Repeatable ||
                        Pool.heardWithin(Item.Upstream, RecentlyHeard, Now);
  Call.MaxIdle = MayReuse ? MaxIdleConnection : Duration();
  if (Item.Admitted.Repeatable)
    Call.UnackedTimeout = UnackedTimeout;
  return Call;
}

void RelayEngine::armSilenceTimer(ActiveCall &Item, Duration Expected,
                                  TimePoint Now) {
  const bool MoreAttempts =
      Item.PossibleRuns + 1 < Item.Admitted.Route->Attempts;
  if (!Item.Admitted.Repeatable || !MoreAttempts)
    return;
  const Duration ObjectiveFraction = std::chrono::duration_cast<Duration>(
      Item.Admitted.Route->Objective * SilenceFraction);
  Item.SilenceTimer = Deps.Timers.schedule(
      Now + std::max(ObjectiveFraction, SilenceMultiple * Expected),
      [this, Id = Item.Id](TimePoint At) { onSilenceTimeout(Id, At); });
}

void RelayEngine::onSilenceTimeout(const RequestId &Id, TimePoint Now) {
  ActiveCall *Item = find(Id);
  if (Item == nullptr)
    return;
  Item->SilenceTimer.reset();
  const bool Silent = Item->Lifecycle.state() == RequestState::Dispatched;
  if (!Silent || !acquireRetry(*Item, Now))
    return;
  recordSilence(*Item, Now);
  Deps.Upstreams.cancel(Item->Attempt);
  endAttempt(*Item, AttemptEnd::Cancelled, Now);
  ++Item->PossibleRuns;
  retry(*Item, Now);
}

// Answers.

void RelayEngine::onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                                 TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr)
    return;
  Congestion.onAnswerBegun(Now);
  Item->Head = Deps.Codec.parseAnswerHead(Head);
  // What another upstream at the address says does not concern this one, but
  // shows that its process has ended.
  if (Item->Head->Misdirected) {
    // An upstream that announced its shutdown is no longer usable.
    if (Pool.find(Item->Upstream) != nullptr)
      Crashes.onVanished(Item->Upstream, "another answers at its address", Now);
  } else {
    Crashes.onHeard(Item->Upstream);
    if (Item->Head->Load)
      Pool.onLoad(Item->Upstream, *Item->Head->Load, Now);
    recordUpstreamRequests(*Item, Now);
    recordRateLimit(*Item, Now);
  }
  if (Item->Admitted.Route->Kind != CallKind::Stream || Item->Head->NotRun) {
    Pool.onFirstByte(Attempt, Now);
    Item->Lifecycle.process(RequestEvent::FirstByte);
  }
}

void RelayEngine::recordUpstreamRequests(const ActiveCall &Item,
                                         TimePoint Now) {
  if (Item.Head->Leaving)
    Pool.onLeaving(Item.Upstream, Now);
  if (Item.Head->BackOff)
    Pool.onBackOff(Item.Upstream, *Item.Head->BackOff, Now);
  if (Item.Head->Leaving || Item.Head->BackOff)
    Deps.Log.onEvent(
        Item.Head->Leaving ? "upstream-leaving" : "upstream-backs-off",
        "upstream " + Item.Upstream.Value +
            " announced it in answer to request " + Item.Call.CallerAttemptId);
}

void RelayEngine::recordRateLimit(const ActiveCall &Item, TimePoint Now) {
  const RelayAnswerHead &Head = *Item.Head;
  if (Head.UnreadableRateLimit)
    Deps.Log.onEvent("upstream-limit-unreadable",
                     "upstream " + Item.Upstream.Value +
                         " in answer to request " + Item.Call.CallerAttemptId);
  else
    Deps.Limits.onAnswer({Item.Upstream, Item.UpstreamStarted}, Head.RateLimit,
                         Item.SentAt, Item.Call.CallerAttemptId, Now);
}

void RelayEngine::onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                                  TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr || !Item->Head)
    return;
  if (!Item->Head->Misdirected)
    Crashes.onHeard(Item->Upstream);
  if (Item->Head->NotRun) {
    skipRejection(*Item, Bytes.size(), Now);
    return;
  }
  const bool Success = Item->Head->Status < 300;
  if (Item->Admitted.Route->Kind == CallKind::Stream && Success) {
    forwardEvents(*Item, Bytes, Now);
    return;
  }
  const std::size_t Before = Item->Body.capacity();
  Item->Body.append(Bytes);
  const std::size_t Growth = Item->Body.capacity() - Before;
  Item->BufferedBytes += Growth;
  BufferedBytes += Growth;
  if (Item->Body.size() > MaxAnswerBytes)
    rejectAnswer(
        *Item, "body longer than " + std::to_string(MaxAnswerBytes) + " bytes",
        Now);
  else if (BufferedBytes > MaxBufferedBytes)
    abortLongestAnswer(Now);
}

void RelayEngine::skipRejection(ActiveCall &Item, std::size_t Length,
                                TimePoint Now) {
  Item.RejectionBytes += Length;
  if (Item.RejectionBytes <= MaxRejectionBytes)
    return;
  Deps.Upstreams.cancel(Item.Attempt);
  onRejected(Item, Now);
}

void RelayEngine::abortLongestAnswer(TimePoint Now) {
  const auto Longest =
      std::max_element(ByAttempt.begin(), ByAttempt.end(),
                       [this](const auto &Left, const auto &Right) {
                         return Active.at(Left.second).Body.size() <
                                Active.at(Right.second).Body.size();
                       });
  rejectAnswer(Active.at(Longest->second),
               "longest of all unfinished answers, which hold " +
                   std::to_string(BufferedBytes) + " bytes",
               Now);
}

void RelayEngine::rejectAnswer(ActiveCall &Item, const std::string &Problem,
                               TimePoint Now) {
  if (const std::optional<std::string> Line = InvalidAnswers.report(
          "upstream " + Item.Upstream.Value + ", request " +
              Item.Call.CallerAttemptId + ": " + Problem,
          Now))
    Deps.Log.onEvent("upstream-answer-broken", *Line);
  onUpstreamFailure(Item.Attempt, UpstreamFailure::Invalid, Now);
}

bool RelayEngine::belongsToStream(const ActiveCall &Item) {
  return !Item.StreamBegun || sameRepresentation(Item.StreamHead, *Item.Head);
}

void RelayEngine::forwardEvents(ActiveCall &Item, std::string_view Bytes,
                                TimePoint Now) {
  if (!belongsToStream(Item)) {
    rejectAnswer(Item, "other representation than the begun stream", Now);
    return;
  }
  // Whole events count as sent, so they are passed on before a fault is.
  sendEvents(Item, Item.Events.feed(Bytes), Now);
  if (Item.Events.faulty())
    rejectAnswer(Item, "events that do not continue the stream", Now);
  else if (Item.Events.incompleteEvent().size() > MaxEventBytes)
    rejectAnswer(
        Item, "event longer than " + std::to_string(MaxEventBytes) + " bytes",
        Now);
}

void RelayEngine::sendEvents(ActiveCall &Item, const std::string &Events,
                             TimePoint Now) {
  if (Events.empty())
    return;
  Pool.onFirstByte(Item.Attempt, Now);
  Item.Lifecycle.process(RequestEvent::FirstByte);
  if (!Item.StreamBegun) {
    Item.StreamBegun = true;
    Item.StreamHead = *Item.Head;
    bindVersion(Item, Now);
    FirstByte.record(Now - Item.AcceptedAt);
    Deps.Callers.beginStream(Item.Call.Ticket, answerHead(*Item.Head));
  }
  Deps.Callers.sendPart(Item.Call.Ticket, Events);
}

void RelayEngine::bindVersion(ActiveCall &Item, TimePoint Now) {
  if (!Item.Admitted.Route->Resumable)
    return;
  Item.Query.Versions = {Item.UpstreamVersion};
  if (Origins != nullptr && !resumesStream(Item))
    Origins->onBegun(
        Item.Admitted.Service,
        {streamKeyOf(Item.Admitted.Workspace, Item.Call.CallerAttemptId),
         Item.UpstreamVersion},
        Now);
}

void RelayEngine::clearSuspects(const ActiveCall &Item, TimePoint Now) {
  // An error may have been answered before the upstream read the parts.
  const bool Success = Item.Head->Status < 300;
  Crashes.onAnswered(Success ? Item.Suspects
                             : std::vector<PartId>{Item.Suspects.front()},
                     Now);
}

void RelayEngine::endAttempt(ActiveCall &Item, AttemptEnd End, TimePoint Now) {
  if (ByAttempt.erase(Item.Attempt) > 0) {
    Pool.onEnded(Item.Attempt, End, Now);
    BufferedBytes -= std::exchange(Item.BufferedBytes, 0);
  }
  if (Item.SilenceTimer)
    Deps.Timers.cancel(*Item.SilenceTimer);
  Item.SilenceTimer.reset();
}

void RelayEngine::onUpstreamEnd(AttemptId Attempt, TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr || !Item->Head)
    return;
  const bool Success = Item->Head->Status < 300;
  const bool Stream = Item->Admitted.Route->Kind == CallKind::Stream && Success;
  if (Item->Head->NotRun) {
    onRejected(*Item, Now);
    return;
  }
  if (Stream && !Item->Events.incompleteEvent().empty()) {
    // The last event is incomplete although the message framing is complete.
    onUpstreamFailure(Attempt, UpstreamFailure::Closed, Now);
    return;
  }
  const bool Failed = Item->Head->Status >= 500;
  endAttempt(*Item, Failed ? AttemptEnd::Failed : AttemptEnd::Answered, Now);
  if (Failed && acquireRetry(*Item, Now)) {
    ++Item->PossibleRuns;
    retry(*Item, Now);
    return;
  }
  ++Item->PossibleRuns;
  if (mustBeWithheld(*Item)) {
    refuseOrAbort(*Item, Reason::UpstreamFailed, Now);
    return;
  }
  clearSuspects(*Item, Now);
  deliver(*Item, Now);
}

bool RelayEngine::mustBeWithheld(const ActiveCall &Item) {
  if (Item.StreamBegun)
    return !belongsToStream(Item) || !Item.Events.continuous();
  return !Item.Admitted.Repeatable && promisesNotRun(Item.Head->Status);
}

void RelayEngine::onRejected(ActiveCall &Item, TimePoint Now) {
  const bool Misdirected = Item.Head->Misdirected;
  endAttempt(Item,
             Misdirected ? AttemptEnd::Misdirected : AttemptEnd::RejectedBusy,
             Now);
  ++Item.Rejections;
  const bool TimeLeft = Now + MinTimeLeft < Item.ExpiresAt;
  if (Item.Rejections <= MaxRejections && TimeLeft &&
      retryBudgetOf(Item.Admitted.Service)
          .takeRetry(Deps.Members.members().size(), Now))
    retry(Item, Now);
  else
    refuseOrAbort(Item, Reason::Overloaded, Now);
}

void RelayEngine::onUpstreamFailure(AttemptId Attempt, UpstreamFailure Failure,
                                    TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr)
    return;
  if (Item->Head && Item->Head->NotRun) {
    onRejected(*Item, Now);
    return;
  }
  if (Failure == UpstreamFailure::Invalid)
    ++Counters.InvalidAnswers;
  if (Failure == UpstreamFailure::CallerLeft) {
    endAttempt(*Item, AttemptEnd::Cancelled, Now);
    disconnect(*Item, Now);
    return;
  }
  if (Failure == UpstreamFailure::Withdrawn) {
    endAttempt(*Item, AttemptEnd::Cancelled, Now);
    retry(*Item, Now);
    return;
  }
  if (Failure != UpstreamFailure::NotSent &&
      Failure != UpstreamFailure::ConnectTimedOut) {
    Deps.Upstreams.cancel(Attempt);
    onBrokenAnswer(*Item, Failure, Now);
    return;
  }
  if (Failure == UpstreamFailure::ConnectTimedOut && Now < Item->ExpiresAt) {
    recordConnectTimeout(*Item, Now);
    if (Congestion.congested(Now)) {
      // This instance's link is the cause, so another upstream would not be
      // reached any faster.
      endAttempt(*Item, AttemptEnd::Cancelled, Now);
      refuseOrAbort(*Item, Reason::Overloaded, Now);
      return;
    }
  }
  endAttempt(*Item, AttemptEnd::Unreachable, Now);
  Crashes.onDown(Item->Upstream, "could not be connected to", Now);
  retry(*Item, Now);
}

void RelayEngine::recordConnectTimeout(const ActiveCall &Item, TimePoint Now) {
  const bool WasCongested = Congestion.congested(Now);
  Congestion.onConnectTimeout(Item.Upstream, Now);
  if (!WasCongested && Congestion.congested(Now))
    Deps.Log.onEvent("congested", "connections to several upstreams time "
                                  "out, calls in flight " +
                                      std::to_string(Active.size()));
}

void RelayEngine::recordSilence(const ActiveCall &Item, TimePoint Now) {
  if (Item.Lifecycle.state() == RequestState::Dispatched && !Item.Head)
    // Of an outage in silence, calls that share a part end at different times.
    Crashes.onSilent({{Item.Suspects.front()},
                      {Item.Upstream, Item.UpstreamStarted},
                      Now,
                      Item.SentAt},
                     Now);
}

void RelayEngine::onBrokenAnswer(ActiveCall &Item, UpstreamFailure Failure,
                                 TimePoint Now) {
  endAttempt(Item, AttemptEnd::Broken, Now);
  Crashes.onInterrupted(
      {Item.Suspects, {Item.Upstream, Item.UpstreamStarted}, Now, Item.SentAt},
      Now);
  if (Failure == UpstreamFailure::Closed)
    probe(Item.Upstream, Now);
  const bool Retry = acquireRetry(Item, Now);
  ++Item.PossibleRuns;
  if (Retry)
    retry(Item, Now);
  else
    refuseOrAbort(Item, Reason::UpstreamFailed, Now);
}

bool RelayEngine::acquireRetry(ActiveCall &Item, TimePoint Now) {
  return Item.Admitted.Repeatable && Item.Events.resumable() &&
         Item.PossibleRuns + 1 < Item.Admitted.Route->Attempts &&
         Now + MinTimeLeft < Item.ExpiresAt &&
         Item.Query.Excluded.size() < MaxDispatches &&
         !Crashes.forbidsRetry(Item.Suspects, Now) &&
         retryBudgetOf(Item.Admitted.Service)
             .takeRetry(Deps.Members.members().size(), Now);
}

void RelayEngine::retry(ActiveCall &Item, TimePoint Now) {
  ++Counters.Retries;
  Item.Lifecycle.process(RequestEvent::AttemptFailed);
  Item.Events.discardIncompleteEvent();
  dispatch(Item, Now);
}

void RelayEngine::deliver(ActiveCall &Item, TimePoint Now) {
  ++Counters.Answered;
  WholeAnswer.record(Now - Item.AcceptedAt);
  Deps.Log.onEnd(RequestId{Item.Call.CallerAttemptId}, Item.Admitted.Workspace,
                 Item.Head->Status, nameOf(Outcome::Ran), "answered");
  if (Item.StreamBegun) {
    Deps.Callers.endStream(Item.Call.Ticket, "");
  } else {
    FirstByte.record(Now - Item.AcceptedAt);
    Answer Response = answerHead(*Item.Head);
    Response.Body = std::move(Item.Body);
    Deps.Callers.answer(Item.Call.Ticket, Response);
  }
  settleBudget(Item, Now);
  finish(Item.Id);
}

void RelayEngine::refuseOrAbort(ActiveCall &Item, Reason Why, TimePoint Now) {
  const bool NotRun = Item.PossibleRuns == 0;
  const Outcome Reported = NotRun ? Outcome::NotRun : Outcome::Unknown;
  // Status 503 tells the caller that the call has not run. If an upstream may
  // have begun it, the upstream's failure is reported instead.
  const bool PromisesNotRun = descriptionOf(Why).Status == 503;
  if (!NotRun && PromisesNotRun)
    Why = Reason::UpstreamFailed;
  ++(NotRun ? Counters.RefusedNotRun : Counters.EndedUnknown);
  Refusals.add(Why);
  const RequestId CallerAttemptId{Item.Call.CallerAttemptId};
  Deps.Log.onEnd(CallerAttemptId, Item.Admitted.Workspace,
                 descriptionOf(Why).Status, nameOf(Reported),
                 descriptionOf(Why).Code);
  if (Item.StreamBegun)
    Deps.Callers.disconnect(Item.Call.Ticket);
  else
    Deps.Callers.answer(Item.Call.Ticket,
                        relayRefusal(CallerAttemptId, {Reported, Why, ""},
                                     Item.MinRetryAfter, Deps.Source));
  settleBudget(Item, Now);
  finish(Item.Id);
}

void RelayEngine::onExpired(const RequestId &Id, TimePoint Now) {
  ActiveCall *Item = find(Id);
  if (Item == nullptr)
    return;
  if (ByAttempt.contains(Item->Attempt)) {
    recordSilence(*Item, Now);
    Deps.Upstreams.cancel(Item->Attempt);
    endAttempt(*Item, AttemptEnd::Cancelled, Now);
    ++Item->PossibleRuns;
  }
  refuseOrAbort(*Item,
                Item->PossibleRuns == 0 ? Reason::Overloaded
                                        : Reason::DeadlineExceeded,
                Now);
}

void RelayEngine::endAll(TimePoint Now) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Item] : Active)
    Ids.push_back(Id);
  for (const RequestId &Id : Ids) {
    ActiveCall *Item = find(Id);
    // Ending one call may have ended others.
    if (Item == nullptr)
      continue;
    if (ByAttempt.contains(Item->Attempt)) {
      Deps.Upstreams.cancel(Item->Attempt);
      endAttempt(*Item, AttemptEnd::Cancelled, Now);
      ++Item->PossibleRuns;
    }
    refuseOrAbort(*Item, Reason::Draining, Now);
  }
}

void RelayEngine::onCallerGone(CallerTicket Ticket, TimePoint Now) {
  const auto Found = ByTicket.find(Ticket);
  if (Found == ByTicket.end())
    return;
  ActiveCall &Item = Active.at(Found->second);
  if (ByAttempt.contains(Item.Attempt)) {
    recordSilence(Item, Now);
    Deps.Upstreams.cancel(Item.Attempt);
    endAttempt(Item, AttemptEnd::Cancelled, Now);
    ++Item.PossibleRuns;
  }
  abandon(Item, Now);
}

void RelayEngine::disconnect(ActiveCall &Item, TimePoint Now) {
  Deps.Callers.disconnect(Item.Call.Ticket);
  abandon(Item, Now);
}

void RelayEngine::abandon(ActiveCall &Item, TimePoint Now) {
  ++Counters.CallersGone;
  Deps.Log.onEnd(
      RequestId{Item.Call.CallerAttemptId}, Item.Admitted.Workspace, 0,
      nameOf(Item.PossibleRuns == 0 ? Outcome::NotRun : Outcome::Unknown),
      "caller-gone");
  settleBudget(Item, Now);
  finish(Item.Id);
}

void RelayEngine::settleBudget(ActiveCall &Item, TimePoint Now) {
  if (Budgets == nullptr || Item.Admitted.Workspace.empty())
    return;
  if (Item.PossibleRuns == 0) {
    Budgets->abandon(Item.Id, ClaimDisposition::Release, Now);
    return;
  }
  Bill Settled;
  Settled.Workspace = Item.Admitted.Workspace;
  Settled.Key.Value = Item.Id.Value;
  Settled.Request.Value = Item.Call.CallerAttemptId;
  Settled.Content = Item.Content;
  Settled.Service = Item.Admitted.Service;
  Settled.Upstream = Item.Upstream;
  Settled.Configuration = Item.Admitted.Table->configuration().Version;
  Settled.Accepted = Item.Accepted;
  Settled.Dispatched = Item.Dispatched;
  Settled.Finished = Deps.Wall.wallNow();
  if (Item.Admitted.Metered) {
    const RoutedService *Service =
        Item.Admitted.Table->service(Item.Admitted.Service);
    Settled.Rate.InputToken = costOfTokens(1);
    Settled.Rate.OutputToken = costOfTokens(1);
    Settled.Tokens.InputTokens = *Item.Call.PromptTokens;
    Settled.Tokens.OutputTokens =
        std::min(*Item.Call.MaxOutputTokens,
                 Item.Events.events() * Service->TokensPerEvent);
    Settled.Cost = costOf(Settled.Rate, Settled.Tokens);
  }
  Budgets->settleReleased(Item.Id, std::move(Settled), Now);
}

void RelayEngine::finish(const RequestId &Id) {
  const auto Found = Active.find(Id);
  if (Found == Active.end())
    return;
  ActiveCall &Item = Found->second;
  Deps.Timers.cancel(Item.Expiry);
  if (Origins != nullptr)
    Origins->abandon(Id);
  if (Item.SilenceTimer)
    Deps.Timers.cancel(*Item.SilenceTimer);
  stopAwaiting(Item);
  ByTicket.erase(Item.Call.Ticket);
  ByAttempt.erase(Item.Attempt);
  Active.erase(Found);
}

// Crashes.

void RelayEngine::probe(const UpstreamName &Upstream, TimePoint Now) {
  const UpstreamEntry *Entry = Pool.find(Upstream);
  if (Entry != nullptr && Crashes.beginProbe(Upstream, Now))
    Deps.Upstreams.probe({Upstream, Entry->Host, Entry->Port});
}

void RelayEngine::onUpstreamRefused(const UpstreamName &Upstream,
                                    TimePoint Now) {
  Pool.onRefused(Upstream, Now);
  Crashes.onDown(Upstream, "refused a probe", Now);
}

void RelayEngine::reviewParts(TimePoint Now) {
  Counters.Quarantined += Crashes.review(Now);
}

} // namespace bronzeward
