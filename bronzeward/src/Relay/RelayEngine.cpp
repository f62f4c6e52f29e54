#include "bronzeward/src/Relay/RelayEngine.h"

#include "bronzeward/src/Relay/RelayAnswers.h"

#include <algorithm>

namespace bronzeward {

/// Upstreams that one call may be offered to, counting those that could not be
/// reached.
constexpr std::size_t MaxUpstreamsTried = 4;
/// Upstreams that may turn one call away.
constexpr int MaxTurnedAway = 2;
/// Least time left that is worth another try.
constexpr Duration MinTimeLeft = 20ms;
/// Part of its objective for which a call that may run again waits for a
/// silent upstream, and the multiple of the expected time that it waits at
/// least.
constexpr double PatienceShare = 0.6;
constexpr int PatienceMultiple = 3;
/// Time for a connection to open; across failure domains it takes about 10 ms.
constexpr Duration ConnectTimeout = 300ms;
/// The same while this instance's own link is what connections wait for: the
/// bytes that callers' windows hold before it, over 10 Mbit/s.
constexpr Duration CongestedConnectTimeout = 2s;
/// Time for which a repeatable call's bytes may stay unacknowledged before it
/// is tried elsewhere.
constexpr std::chrono::milliseconds UnackedTimeout{500};
/// A call that may not be repeated uses a kept connection only to an upstream
/// heard within this time; a new one tells before the call is sent whether its
/// machine is there.
constexpr Duration RecentlyHeard = 500ms;
/// Longest idle time of a kept connection; its peer's own limit goes first.
constexpr Duration MaxIdleConnection = 60s;
/// Answer bodies beyond this are refused as invalid.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
/// Bytes of unfinished answers held for all calls together: about a third of
/// the smallest instance's memory.
constexpr std::size_t MaxHeldBytes = std::size_t{32} * 1024 * 1024;
/// Longest event of a stream; an event of a few tokens has hundreds of bytes.
constexpr std::size_t MaxEventBytes = std::size_t{256} * 1024;
/// Bytes of a rejection's body that are read so that its connection can be
/// kept.
constexpr std::size_t MaxRejectionBytes = 65536;

RelayEngine::RelayEngine(FailureDomain Home, RetryAllowance FleetRetries,
                         RelaySurroundings Parts)
    : Allowance(FleetRetries), Around(Parts), Pool(std::move(Home)) {}

void RelayEngine::attach(BudgetAgent &Agent, const Incarnation &Life,
                         TimePoint Now) {
  Budgets = &Agent;
  Self = Life;
  statePrepaid(Now);
}

void RelayEngine::configure(FleetConfiguration Accepted, TimePoint Now) {
  Routes = std::make_shared<RouteTable>(std::move(Accepted));
  statePrepaid(Now);
}

void RelayEngine::statePrepaid(TimePoint Now) {
  if (Budgets == nullptr || !Routes)
    return;
  for (const WorkspaceAccess &Workspace : Routes->text().Workspaces)
    if (Workspace.Metered)
      Budgets->raisePrepaid(Workspace.Name, Workspace.Prepaid, Now);
}

void RelayEngine::setUsable(const std::vector<UpstreamEntry> &Usable,
                            TimePoint Now) {
  for (const UpstreamName &Restarted : Pool.setUsable(Usable, Now))
    noteDown(Restarted, Now);
}

RelayEngine::ActiveCall *RelayEngine::find(const RequestId &Id) {
  const auto Found = Active.find(Id);
  return Found == Active.end() ? nullptr : &Found->second;
}

RelayEngine::ActiveCall *RelayEngine::find(AttemptId Attempt) {
  const auto Found = ByAttempt.find(Attempt);
  return Found == ByAttempt.end() ? nullptr : find(Found->second);
}

SharedRetryBudget &RelayEngine::retriesOf(const ServiceName &Service) {
  return Retries.try_emplace(Service, SharedRetryBudget(Allowance))
      .first->second;
}

// Arrival.

void RelayEngine::refuse(CallerTicket Ticket, const RelayCall *Call,
                         Reason Why) {
  ++Counters.RefusedNotRun;
  const RequestId Name{Call == nullptr ? "" : Call->AttemptName};
  const Answer Made =
      relayRefusal(Name, {Outcome::NotRun, Why, ""}, {}, Around.Source);
  Around.Log.onEnd(Name, {}, Made.Status, nameOf(Outcome::NotRun),
                   formOf(Why).Code);
  Around.Callers.answer(Ticket, Made);
}

void RelayEngine::onCallerRequest(CallerRequest In, TimePoint Now) {
  ++Counters.Accepted;
  const CallerTicket Ticket = In.Ticket;
  if (!Routes || !Admitting) {
    refuse(Ticket, nullptr, Admitting ? Reason::NotReady : Reason::Draining);
    return;
  }
  Result<RelayCall> Parsed = Around.Codec.parseCall(std::move(In));
  if (!Parsed) {
    refuse(Ticket, nullptr, Reason::InvalidRequest);
    return;
  }
  RelayCall Call = std::move(Parsed).value();
  auto Terms = admitCall(Routes, Call, Around.Source);
  if (!Terms) {
    refuse(Ticket, &Call, Terms.error());
    return;
  }
  if (Terms.value().Metered && Budgets == nullptr) {
    refuse(Ticket, &Call, Reason::StoreUnavailable);
    return;
  }
  admit(std::move(Call), std::move(Terms).value(), Now);
}

void RelayEngine::admit(RelayCall Call, AdmittedCall Terms, TimePoint Now) {
  ContentFingerprint Content{sha256Hex(Call.Method + " " + Call.Target + " " +
                                       Terms.Workspace.Value + "\n" +
                                       Call.Body)};
  if (Crashes.quarantined(Content, Now)) {
    refuse(Call.Ticket, &Call, Reason::Quarantined);
    return;
  }
  const RequestId Id{Self.Instance.Value + "-" + std::to_string(Self.Epoch) +
                     "-" + std::to_string(++LastRequest)};
  ActiveCall Item;
  Item.Id = Id;
  Item.Content = std::move(Content);
  Item.Accepted = Around.Wall.wallNow();
  Item.AcceptedAt = Now;
  Item.ExpiresAt = Now + Terms.TimeLimit;
  Item.Query.Service = Terms.Service;
  Item.Query.Prefixes = prefixesOf(Call.Parts);
  for (const PromptPart &Part : Call.Parts)
    Item.Query.PartTokens.push_back(Part.Tokens);
  Item.Query.PromptTokens = Call.PromptTokens.value_or(0);
  Item.Call = std::move(Call);
  Item.Terms = std::move(Terms);
  Item.Expiry = Around.Timers.schedule(
      Item.ExpiresAt, [this, Id](TimePoint At) { onExpired(Id, At); });
  ByTicket.emplace(Item.Call.Ticket, Id);
  retriesOf(Item.Terms.Service).onCall(Now);
  ActiveCall &Placed = Active.emplace(Id, std::move(Item)).first->second;
  const bool Recorded = Budgets != nullptr && !Placed.Terms.Workspace.empty();
  const ReserveOutcome What = Recorded
                                  ? Budgets->reserve(Id, Placed.Terms.Workspace,
                                                     Placed.Terms.Bound, Now)
                                  : ReserveOutcome::Granted;
  if (What != ReserveOutcome::Waiting)
    onReserved(Id, What, Now);
}

void RelayEngine::onReserved(const RequestId &Request, ReserveOutcome What,
                             TimePoint Now) {
  ActiveCall *Item = find(Request);
  if (Item == nullptr)
    return;
  if (What != ReserveOutcome::Granted)
    Around.Log.onEvent("budget-short",
                       "request " + Item->Call.AttemptName + " bound " +
                           std::to_string(Item->Terms.Bound.micros()) + ", " +
                           Budgets->describe(Item->Terms.Workspace));
  switch (What) {
  case ReserveOutcome::Granted:
    dispatch(*Item, Now);
    return;
  case ReserveOutcome::Exhausted:
    endWithout(*Item, Reason::BudgetExhausted, Now);
    return;
  case ReserveOutcome::Held:
    endWithout(*Item, Reason::BudgetHeld, Now);
    return;
  case ReserveOutcome::Unavailable:
    endWithout(*Item, Reason::StoreUnavailable, Now);
    return;
  case ReserveOutcome::Waiting:
    return;
  }
}

// Dispatch.

void RelayEngine::boundConnections(ActiveCall &Item) const {
  const RoutedService *Service = Item.Terms.Table->service(Item.Terms.Service);
  if (Service == nullptr)
    return;
  const std::int64_t Sharers =
      static_cast<std::int64_t>(Around.Members.members().size());
  Item.Query.MaxConnections = Service->MaxConnections;
  Item.Query.ConnectionShare = std::max<std::int64_t>(
      1, Service->MaxConnections / std::max<std::int64_t>(1, Sharers));
}

void RelayEngine::onNoCandidate(ActiveCall &Item, TimePoint Now) {
  Item.ComeBack = Pool.closedFor(Item.Terms.Service, Now);
  endWithout(Item, Reason::NoUpstream, Now);
}

void RelayEngine::dispatch(ActiveCall &Item, TimePoint Now) {
  boundConnections(Item);
  const std::vector<Candidate> Candidates =
      Pool.candidates(Item.Query, Around.Source, Now);
  if (Candidates.empty() || Item.Query.Avoid.size() >= MaxUpstreamsTried) {
    onNoCandidate(Item, Now);
    return;
  }
  const ChoiceInput Input{Item.Query.PromptTokens,
                          homeKey(Item.Query.Prefixes)};
  const Choice Chosen =
      placeCall(Input, Candidates, Item.Terms.Route->Objective);
  const Candidate &Best = Candidates[Chosen.Index];
  const Duration Expected = expectedDelay(Input, Best);
  if (Now + Expected >= Item.ExpiresAt) {
    endWithout(Item, Reason::Overloaded, Now);
    return;
  }
  Around.Log.onChoice({RequestId{Item.Call.AttemptName}, Item.Terms.Service,
                       Candidates, Chosen,
                       static_cast<int>(Item.Query.Avoid.size()) + 1});
  send(Item, Best.Name, Now);
  armPatience(Item, Expected, Now);
}

void RelayEngine::send(ActiveCall &Item, const UpstreamName &Upstream,
                       TimePoint Now) {
  Item.Upstream = Upstream;
  Item.Attempt = AttemptId{++LastAttempt};
  Item.Dispatched = Around.Wall.wallNow();
  Item.Head.reset();
  Item.Body.clear();
  Item.Rejection = 0;
  Item.Lifecycle.process(RequestEvent::Dispatch);
  ByAttempt.emplace(Item.Attempt, Item.Id);
  Pool.onDispatched(Item.Attempt, Upstream, Item.Query, Now);
  Item.Query.Avoid.push_back(Upstream);
  Around.Upstreams.dispatch(upstreamCall(Item, Now));
}

UpstreamCall RelayEngine::upstreamCall(const ActiveCall &Item,
                                       TimePoint Now) const {
  const UpstreamEntry &Entry = *Pool.find(Item.Upstream);
  const Duration Left = Item.ExpiresAt - Now;
  DispatchTerms Terms;
  Terms.TimeLeft = std::chrono::floor<std::chrono::milliseconds>(Left);
  Terms.Upstream = Item.Upstream;
  Terms.Workspace = Item.Terms.Workspace;
  Terms.Priority = Item.Terms.Priority;
  Terms.LastEventId = Item.Events.lastId();
  UpstreamCall Call;
  Call.Attempt = Item.Attempt;
  Call.Upstream = Item.Upstream;
  Call.Host = Entry.Host;
  Call.Port = Entry.Port;
  Call.Method = Item.Call.Method;
  Call.Target = Item.Call.Target;
  Call.HostHeader = Item.Call.Host;
  Call.Body = Item.Call.Body;
  Call.Headers = Around.Codec.dispatchHeaders(Item.Call, Terms);
  Call.Match = Around.Codec.matchingHeader(Item.Call);
  Call.ConnectTimeout = std::min(
      Congestion.congested(Now) ? CongestedConnectTimeout : ConnectTimeout,
      Left);
  const bool MayReuse = Item.Terms.Repeatable ||
                        Pool.heardWithin(Item.Upstream, RecentlyHeard, Now);
  Call.MaxIdle = MayReuse ? MaxIdleConnection : Duration();
  if (Item.Terms.Repeatable)
    Call.UnackedTimeout = UnackedTimeout;
  return Call;
}

void RelayEngine::armPatience(ActiveCall &Item, Duration Expected,
                              TimePoint Now) {
  const bool MoreAttempts = Item.Runs + 1 < Item.Terms.Route->Attempts;
  if (!Item.Terms.Repeatable || !MoreAttempts)
    return;
  const Duration Share = std::chrono::duration_cast<Duration>(
      Item.Terms.Route->Objective * PatienceShare);
  Item.Patience = Around.Timers.schedule(
      Now + std::max(Share, PatienceMultiple * Expected),
      [this, Id = Item.Id](TimePoint At) { onPatienceOver(Id, At); });
}

void RelayEngine::onPatienceOver(const RequestId &Id, TimePoint Now) {
  ActiveCall *Item = find(Id);
  if (Item == nullptr)
    return;
  Item->Patience.reset();
  const bool Silent = Item->Lifecycle.state() == RequestState::Dispatched;
  if (!Silent || !mayRunAgain(*Item, Now))
    return;
  Around.Upstreams.cancel(Item->Attempt);
  endTry(*Item, TryEnd::Cancelled, Now);
  ++Item->Runs;
  tryAgain(*Item, Now);
}

// Answers.

void RelayEngine::onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                                 TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr)
    return;
  Congestion.onReached(Now);
  Item->Head = Around.Codec.parseAnswerHead(Head);
  if (Item->Head->Load)
    Pool.onLoad(Item->Upstream, *Item->Head->Load, Now);
  noteWishes(*Item, Now);
  if (Item->Terms.Route->Kind != CallKind::Stream || Item->Head->NotRun) {
    Pool.onFirstByte(Attempt, Now);
    Item->Lifecycle.process(RequestEvent::FirstByte);
  }
}

void RelayEngine::noteWishes(const ActiveCall &Item, TimePoint Now) {
  if (Item.Head->Leaving)
    Pool.onLeaving(Item.Upstream, Now);
  if (Item.Head->BackOff)
    Pool.onBackOff(Item.Upstream, *Item.Head->BackOff, Now);
  if (Item.Head->Leaving || Item.Head->BackOff)
    Around.Log.onEvent(Item.Head->Leaving ? "upstream-leaving"
                                          : "upstream-backs-off",
                       "upstream " + Item.Upstream.Value +
                           " said so to request " + Item.Call.AttemptName);
}

void RelayEngine::onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                                  TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr || !Item->Head)
    return;
  if (Item->Head->NotRun) {
    skipRejection(*Item, Bytes.size(), Now);
    return;
  }
  const bool Success = Item->Head->Status < 300;
  if (Item->Terms.Route->Kind == CallKind::Stream && Success) {
    forwardEvents(*Item, Bytes, Now);
    return;
  }
  Item->Body.append(Bytes);
  HeldBytes += Bytes.size();
  if (Item->Body.size() > MaxAnswerBytes)
    onUpstreamFailure(Attempt, UpstreamFailure::Invalid, Now);
  else if (HeldBytes > MaxHeldBytes)
    cutLongestAnswer(Now);
}

void RelayEngine::skipRejection(ActiveCall &Item, std::size_t Length,
                                TimePoint Now) {
  Item.Rejection += Length;
  if (Item.Rejection <= MaxRejectionBytes)
    return;
  Around.Upstreams.cancel(Item.Attempt);
  onTurnedAway(Item, Now);
}

void RelayEngine::cutLongestAnswer(TimePoint Now) {
  const auto Longest =
      std::max_element(ByAttempt.begin(), ByAttempt.end(),
                       [this](const auto &Left, const auto &Right) {
                         return Active.at(Left.second).Body.size() <
                                Active.at(Right.second).Body.size();
                       });
  onUpstreamFailure(Longest->first, UpstreamFailure::Invalid, Now);
}

void RelayEngine::forwardEvents(ActiveCall &Item, std::string_view Bytes,
                                TimePoint Now) {
  const std::string Events = Item.Events.feed(Bytes);
  if (Item.Events.rest().size() > MaxEventBytes) {
    onUpstreamFailure(Item.Attempt, UpstreamFailure::Invalid, Now);
    return;
  }
  if (Events.empty())
    return;
  Pool.onFirstByte(Item.Attempt, Now);
  Item.Lifecycle.process(RequestEvent::FirstByte);
  if (!Item.Begun) {
    Item.Begun = true;
    FirstByte.record(Now - Item.AcceptedAt);
    Around.Callers.beginStream(Item.Call.Ticket, answerHead(*Item.Head));
  }
  Around.Callers.sendPart(Item.Call.Ticket, Events);
}

void RelayEngine::endTry(ActiveCall &Item, TryEnd How, TimePoint Now) {
  if (ByAttempt.erase(Item.Attempt) > 0) {
    Pool.onEnded(Item.Attempt, How, Now);
    HeldBytes -= Item.Body.size();
  }
  if (Item.Patience)
    Around.Timers.cancel(*Item.Patience);
  Item.Patience.reset();
}

void RelayEngine::onUpstreamEnd(AttemptId Attempt, TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr || !Item->Head)
    return;
  const bool Success = Item->Head->Status < 300;
  const bool Stream = Item->Terms.Route->Kind == CallKind::Stream && Success;
  if (Item->Head->NotRun) {
    onTurnedAway(*Item, Now);
    return;
  }
  if (Stream && !Item->Events.rest().empty()) {
    // The last event broke off, whatever the framing says.
    onUpstreamFailure(Attempt, UpstreamFailure::Closed, Now);
    return;
  }
  const bool Failed = Item->Head->Status >= 500;
  endTry(*Item, Failed ? TryEnd::Failed : TryEnd::Answered, Now);
  if (Failed && mayRunAgain(*Item, Now)) {
    ++Item->Runs;
    tryAgain(*Item, Now);
    return;
  }
  ++Item->Runs;
  Crashes.onCompleted(Item->Content);
  deliver(*Item, Now);
}

void RelayEngine::onTurnedAway(ActiveCall &Item, TimePoint Now) {
  const bool Misdirected = Item.Head->Misdirected;
  endTry(Item, Misdirected ? TryEnd::Misdirected : TryEnd::TurnedAway, Now);
  ++Item.TurnedAway;
  const bool TimeLeft = Now + MinTimeLeft < Item.ExpiresAt;
  if (Item.TurnedAway <= MaxTurnedAway && TimeLeft &&
      retriesOf(Item.Terms.Service).take(Around.Members.members().size(), Now))
    tryAgain(Item, Now);
  else
    endWithout(Item, Reason::Overloaded, Now);
}

void RelayEngine::onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                                    TimePoint Now) {
  ActiveCall *Item = find(Attempt);
  if (Item == nullptr)
    return;
  if (Item->Head && Item->Head->NotRun) {
    onTurnedAway(*Item, Now);
    return;
  }
  if (How != UpstreamFailure::NotSent &&
      How != UpstreamFailure::ConnectTimedOut) {
    Around.Upstreams.cancel(Attempt);
    onBroken(*Item, Now);
    return;
  }
  if (How == UpstreamFailure::ConnectTimedOut && Now < Item->ExpiresAt) {
    noteConnectTimeout(*Item, Now);
    if (Congestion.congested(Now)) {
      // The upstream is not to blame, and another would be reached no sooner.
      endTry(*Item, TryEnd::Cancelled, Now);
      endWithout(*Item, Reason::Overloaded, Now);
      return;
    }
  }
  endTry(*Item, TryEnd::Unreachable, Now);
  noteDown(Item->Upstream, Now);
  tryAgain(*Item, Now);
}

void RelayEngine::noteConnectTimeout(const ActiveCall &Item, TimePoint Now) {
  const bool Known = Congestion.congested(Now);
  Congestion.onConnectTimeout(Item.Upstream, Now);
  if (!Known && Congestion.congested(Now))
    Around.Log.onEvent("congested", "connections to several upstreams time "
                                    "out, calls under way " +
                                        std::to_string(Active.size()));
}

void RelayEngine::onBroken(ActiveCall &Item, TimePoint Now) {
  endTry(Item, TryEnd::Broken, Now);
  noteCrashes(Evidence.onBroken(Item.Upstream, Item.Content, Now), Now);
  const bool Again = mayRunAgain(Item, Now);
  ++Item.Runs;
  if (Again)
    tryAgain(Item, Now);
  else
    endWithout(Item, Reason::UpstreamFailed, Now);
}

bool RelayEngine::mayRunAgain(ActiveCall &Item, TimePoint Now) {
  return Item.Terms.Repeatable && Item.Runs + 1 < Item.Terms.Route->Attempts &&
         Now + MinTimeLeft < Item.ExpiresAt &&
         Item.Query.Avoid.size() < MaxUpstreamsTried &&
         !Crashes.quarantined(Item.Content, Now) &&
         retriesOf(Item.Terms.Service)
             .take(Around.Members.members().size(), Now);
}

void RelayEngine::tryAgain(ActiveCall &Item, TimePoint Now) {
  ++Counters.Retries;
  Item.Lifecycle.process(RequestEvent::AttemptFailed);
  Item.Events.continueElsewhere();
  dispatch(Item, Now);
}

void RelayEngine::deliver(ActiveCall &Item, TimePoint Now) {
  ++Counters.Answered;
  Whole.record(Now - Item.AcceptedAt);
  Around.Log.onEnd(RequestId{Item.Call.AttemptName}, Item.Terms.Workspace,
                   Item.Head->Status, nameOf(Outcome::Ran), "answered");
  if (Item.Begun) {
    Around.Callers.endStream(Item.Call.Ticket, "");
  } else {
    FirstByte.record(Now - Item.AcceptedAt);
    Answer Made = answerHead(*Item.Head);
    Made.Body = std::move(Item.Body);
    Around.Callers.answer(Item.Call.Ticket, Made);
  }
  account(Item, Now);
  finish(Item.Id);
}

void RelayEngine::endWithout(ActiveCall &Item, Reason Why, TimePoint Now) {
  const bool NotRun = Item.Runs == 0;
  const Outcome What = NotRun ? Outcome::NotRun : Outcome::Unknown;
  // A status that promises "not run" is for calls that no upstream can have
  // begun; for others the upstream's failure is the reason.
  const bool Promises = formOf(Why).Status == 503;
  if (!NotRun && Promises)
    Why = Reason::UpstreamFailed;
  ++(NotRun ? Counters.RefusedNotRun : Counters.EndedUnknown);
  const RequestId Name{Item.Call.AttemptName};
  Around.Log.onEnd(Name, Item.Terms.Workspace, formOf(Why).Status, nameOf(What),
                   formOf(Why).Code);
  if (Item.Begun)
    Around.Callers.disconnect(Item.Call.Ticket);
  else
    Around.Callers.answer(
        Item.Call.Ticket,
        relayRefusal(Name, {What, Why, ""}, Item.ComeBack, Around.Source));
  account(Item, Now);
  finish(Item.Id);
}

void RelayEngine::onExpired(const RequestId &Id, TimePoint Now) {
  ActiveCall *Item = find(Id);
  if (Item == nullptr)
    return;
  if (ByAttempt.contains(Item->Attempt)) {
    Around.Upstreams.cancel(Item->Attempt);
    endTry(*Item, TryEnd::Cancelled, Now);
    ++Item->Runs;
  }
  endWithout(*Item,
             Item->Runs == 0 ? Reason::Overloaded : Reason::DeadlineExceeded,
             Now);
}

void RelayEngine::onCallerGone(CallerTicket Ticket, TimePoint Now) {
  const auto Found = ByTicket.find(Ticket);
  if (Found == ByTicket.end())
    return;
  ActiveCall &Item = Active.at(Found->second);
  ++Counters.CallersGone;
  if (ByAttempt.contains(Item.Attempt)) {
    Around.Upstreams.cancel(Item.Attempt);
    endTry(Item, TryEnd::Cancelled, Now);
    ++Item.Runs;
  }
  Around.Log.onEnd(RequestId{Item.Call.AttemptName}, Item.Terms.Workspace, 0,
                   nameOf(Item.Runs == 0 ? Outcome::NotRun : Outcome::Unknown),
                   "caller-gone");
  account(Item, Now);
  finish(Item.Id);
}

void RelayEngine::account(ActiveCall &Item, TimePoint Now) {
  if (Budgets == nullptr || Item.Terms.Workspace.empty())
    return;
  if (Item.Runs == 0) {
    Budgets->abandon(Item.Id, ClaimDisposition::Release, Now);
    return;
  }
  Bill Settled;
  Settled.Workspace = Item.Terms.Workspace;
  Settled.Key.Value = Item.Id.Value;
  Settled.Request.Value = Item.Call.AttemptName;
  Settled.Content = Item.Content;
  Settled.Service = Item.Terms.Service;
  Settled.Upstream = Item.Upstream;
  Settled.Configuration = Item.Terms.Table->text().Version;
  Settled.Accepted = Item.Accepted;
  Settled.Dispatched = Item.Dispatched;
  Settled.Finished = Around.Wall.wallNow();
  if (Item.Terms.Metered) {
    const RoutedService *Service =
        Item.Terms.Table->service(Item.Terms.Service);
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
  Around.Timers.cancel(Item.Expiry);
  if (Item.Patience)
    Around.Timers.cancel(*Item.Patience);
  ByTicket.erase(Item.Call.Ticket);
  ByAttempt.erase(Item.Attempt);
  Active.erase(Found);
}

// Crashes.

void RelayEngine::noteDown(const UpstreamName &Upstream, TimePoint Now) {
  noteCrashes(Evidence.onDown(Upstream, Now), Now);
}

void RelayEngine::noteCrashes(const std::vector<ContentFingerprint> &Contents,
                              TimePoint Now) {
  for (const ContentFingerprint &Content : Contents)
    if (Crashes.onCrash(Content, Now))
      ++Counters.Quarantined;
}

} // namespace bronzeward
