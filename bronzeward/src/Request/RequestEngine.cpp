#include "bronzeward/src/Request/RequestEngine.h"

#include "bronzeward/src/Request/AnswerText.h"

#include <algorithm>

namespace bronzeward {

/// Upstreams that one request may be sent to.
constexpr int MaxSentAttempts = 3;
/// Upstreams that one request may be offered to, counting those that could
/// not be reached.
constexpr std::size_t MaxUpstreamsTried = 6;
/// Bytes of a body taken as one token where the prompt is estimated.
constexpr std::int64_t BytesPerToken = 4;
/// Answer bodies beyond this are refused as invalid.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
/// Time past its deadline for which a call that may not be repeated is still
/// listened to, so that its outcome can be recorded.
constexpr int DeadlineGrace = 2;

RequestEngine::RequestEngine(Incarnation Life, FailureDomain Home,
                             RequestSurroundings Parts)
    : Self(std::move(Life)), Around(Parts), Table(std::move(Home)) {}

void RequestEngine::configure(ConfigurationVersion Accepted,
                              Configuration Text) {
  Version = Accepted;
  Table.configure(Text);
  Retries.clear();
  for (const ServiceSpec &Service : Text.Services)
    Retries.emplace(Service.Name, RetryBudget(Service.RetryPercent));
  Index = std::make_unique<ConfigurationIndex>(std::move(Text));
}

RequestId RequestEngine::nextId() {
  return RequestId{Self.Instance.Value + "-" + std::to_string(Self.Epoch) +
                   "-" + std::to_string(++LastRequest)};
}

RequestEngine::ActiveRequest *RequestEngine::find(const RequestId &Request) {
  const auto Found = Active.find(Request);
  return Found == Active.end() ? nullptr : &Found->second;
}

RequestEngine::ActiveRequest *RequestEngine::find(AttemptId Attempt) {
  const auto Found = ByAttempt.find(Attempt);
  return Found == ByAttempt.end() ? nullptr : find(Found->second);
}

ChoicePolicy &RequestEngine::policyOf(const ServiceSpec &Service) {
  std::unique_ptr<ChoicePolicy> &Place =
      Policies[{Service.Name, Service.Choice}];
  if (!Place)
    Place = makeChoicePolicy(Service.Choice);
  return *Place;
}

RetryBudget &RequestEngine::retriesOf(const ServiceSpec &Service) {
  // A running request may be of a service that the text no longer has.
  return Retries.try_emplace(Service.Name, RetryBudget(Service.RetryPercent))
      .first->second;
}

// Arrival and admission.

void RequestEngine::refuseEarly(CallerTicket Ticket, const Refusal &Why) {
  const RequestId Id = nextId();
  const Answer Made = refusalAnswer(Id, Why);
  ++Counters.RefusedNotRun;
  Around.Log.onEnd(Id, {}, Made.Status, nameOf(Why.What), formOf(Why.Why).Code);
  Around.Callers.answer(Ticket, Made);
}

const ServiceName *RequestEngine::missingDependency(const ServiceSpec &Service,
                                                    TimePoint Now) const {
  for (const ServiceName &Name : Service.DependsOn) {
    if (!Table.available(Name, Now))
      return &Name;
    const ServiceSpec *Next = findService(Index->text(), Name);
    if (Next == nullptr)
      continue;
    if (const ServiceName *Deeper = missingDependency(*Next, Now))
      return Deeper;
  }
  return nullptr;
}

std::optional<Refusal>
RequestEngine::checkAdmission(const ServiceRequest &Parsed,
                              TimePoint Now) const {
  if (Crashes.quarantined(Parsed.Content, Now))
    return Refusal{Outcome::NotRun, Reason::Quarantined, Parsed.Content.Value};
  if (const ServiceName *Missing = missingDependency(Parsed.Service, Now))
    return Refusal{Outcome::NotRun, Reason::DependencyUnavailable,
                   Missing->Value};
  if (!Table.available(Parsed.Service.Name, Now))
    return Refusal{Outcome::NotRun, Reason::NoUpstream,
                   Parsed.Service.Name.Value};
  return std::nullopt;
}

void RequestEngine::onCallerRequest(CallerRequest In, TimePoint Now) {
  ++Counters.Accepted;
  if (Draining || !Index) {
    refuseEarly(
        In.Ticket,
        {Outcome::NotRun, Draining ? Reason::Draining : Reason::NotReady, ""});
    return;
  }
  auto Parsed = parseServiceRequest(In, *Index);
  if (!Parsed) {
    refuseEarly(In.Ticket, Parsed.error());
    return;
  }
  ServiceRequest Request = std::move(Parsed).value();
  if (const std::optional<Refusal> Why = checkAdmission(Request, Now)) {
    refuseEarly(In.Ticket, *Why);
    return;
  }
  if (const std::optional<Reason> Limit =
          Limits.enter(Request.Workspace, Request.Service)) {
    refuseEarly(In.Ticket, {Outcome::NotRun, *Limit, ""});
    return;
  }
  admit(std::move(In), std::move(Request), Now);
}

void RequestEngine::admit(CallerRequest In, ServiceRequest Parsed,
                          TimePoint Now) {
  const RequestId Id = nextId();
  ActiveRequest Item;
  Item.Id = Id;
  Item.Ticket = In.Ticket;
  Item.Method = std::move(In.Method);
  Item.Target = std::move(In.Target);
  Item.ContentType = std::move(In.ContentType);
  Item.Parsed = std::move(Parsed);
  if (!Item.Parsed.KeyFromCaller)
    Item.Parsed.Key.Value = Id.Value;
  Item.Version = Version;
  Item.Accepted = Around.Wall.wallNow();
  Item.AcceptedAt = Now;
  Item.Meter = StreamMeter(Item.Parsed.MaxOutputTokens);
  Item.Suspect = Crashes.suspected(Item.Parsed.Content, Now);
  Item.Deadline =
      Around.Timers.schedule(Now + Item.Parsed.Service.Deadline,
                             [this, Id](TimePoint At) { onDeadline(Id, At); });
  ByTicket.emplace(Item.Ticket, Id);
  const auto Placed = Active.emplace(Id, std::move(Item)).first;
  const ReserveOutcome What =
      Budgets->reserve(Id, Placed->second.Parsed.Workspace.Name,
                       Placed->second.Parsed.Bound, Now);
  if (What != ReserveOutcome::Waiting)
    onReserved(Id, What, Now);
}

void RequestEngine::onReserved(const RequestId &Request, ReserveOutcome What,
                               TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (What) {
  case ReserveOutcome::Granted:
    proceed(*Item, Now);
    return;
  case ReserveOutcome::Unavailable:
    end(*Item, {Outcome::NotRun, Reason::StoreUnavailable, ""},
        ClaimDisposition::Release, Now);
    return;
  case ReserveOutcome::Exhausted:
    end(*Item, {Outcome::NotRun, Reason::BudgetExhausted, ""},
        ClaimDisposition::Release, Now);
    return;
  case ReserveOutcome::Held:
    end(*Item, {Outcome::NotRun, Reason::BudgetHeld, ""},
        ClaimDisposition::Release, Now);
    return;
  case ReserveOutcome::Waiting:
    return;
  }
}

void RequestEngine::proceed(ActiveRequest &Item, TimePoint Now) {
  Retries
      .try_emplace(Item.Parsed.Service.Name,
                   RetryBudget(Item.Parsed.Service.RetryPercent))
      .first->second.onFirstTry();
  if (Item.Parsed.Repeatable) {
    dispatch(Item, Now);
    return;
  }
  Item.Lifecycle.process(RequestEvent::ClaimNeeded);
  Claim Wanted;
  Wanted.Key = Item.Parsed.Key;
  Wanted.Content = Item.Parsed.Content;
  Wanted.Opened = Around.Wall.wallNow();
  Budgets->claim(Item.Id, Wanted, Now);
}

void RequestEngine::onClaimed(const RequestId &Request, ClaimOutcome What,
                              const std::optional<RecordedAnswer> &Kept,
                              TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (What) {
  case ClaimOutcome::Opened:
    dispatch(*Item, Now);
    return;
  case ClaimOutcome::Held:
    end(*Item, {Outcome::Unknown, Reason::AlreadyStarted, ""},
        ClaimDisposition::Keep, Now);
    return;
  case ClaimOutcome::KeyReused:
    end(*Item, {Outcome::NotRun, Reason::IdempotencyKeyReused, ""},
        ClaimDisposition::Keep, Now);
    return;
  case ClaimOutcome::Unavailable:
    end(*Item, {Outcome::NotRun, Reason::StoreUnavailable, ""},
        ClaimDisposition::Release, Now);
    return;
  case ClaimOutcome::Finished:
    replay(*Item, Kept);
    Budgets->abandon(Request, ClaimDisposition::Keep, Now);
    finish(Request, Now);
    return;
  }
}

// Dispatch, retries and failures.

void RequestEngine::dispatch(ActiveRequest &Item, TimePoint Now) {
  ChoicePolicy &Policy = policyOf(Item.Parsed.Service);
  const std::vector<Candidate> Candidates =
      Policy.samples()
          ? Table.sample(Item.Parsed.Service, Item.Parsed.Blocks, Item.Tried,
                         Item.Suspect, Around.Source, Now)
          : Table.candidates(Item.Parsed.Service, Item.Parsed.Blocks,
                             Item.Tried, Item.Suspect, Now);
  if (Candidates.empty()) {
    const bool Sent = Item.SentAttempts > 0;
    end(Item,
        {Sent ? Outcome::Unknown : Outcome::NotRun, Reason::NoUpstream,
         Item.Parsed.Service.Name.Value},
        Sent ? ClaimDisposition::Keep : ClaimDisposition::Release, Now);
    return;
  }
  ChoiceInput Input;
  Input.PromptTokens = Item.Parsed.PromptTokens / BytesPerToken;
  Input.PrefixHash =
      Item.Parsed.Blocks.empty() ? 0 : Item.Parsed.Blocks.front();
  const Choice Chosen = Policy.choose(Input, Candidates, Around.Source);
  Item.Upstream = Candidates[Chosen.Index].Name;
  Item.Tried.push_back(Item.Upstream);
  Item.Attempt = AttemptId{++LastAttempt};
  Item.Dispatched = Around.Wall.wallNow();
  Item.DispatchedAt = Now;
  Item.Lifecycle.process(RequestEvent::Dispatch);
  ByAttempt.emplace(Item.Attempt, Item.Id);
  Around.Log.onChoice({Item.Id, Item.Parsed.Service.Name, Candidates, Chosen,
                       static_cast<int>(Item.Tried.size())});
  Item.Answered = false;
  Item.Expected = Table.onDispatched(Item.Upstream, Item.Parsed.Blocks,
                                     Input.PromptTokens, Item.Suspect, Now);

  const UpstreamSpec &Spec = Table.find(Item.Upstream)->Spec;
  UpstreamCall Call;
  Call.Attempt = Item.Attempt;
  Call.Upstream = Item.Upstream;
  Call.Host = Spec.Host;
  Call.Port = Spec.Port;
  Call.Method = Item.Method;
  Call.Target = Item.Target;
  Call.ContentType = Item.ContentType;
  Call.Body = Item.Parsed.Body;
  Call.Headers = {{"X-Request-Id", Item.Id.Value},
                  {"Idempotency-Key", Item.Parsed.Key.Value}};
  // A kept connection that turns out closed leaves in doubt whether the
  // request was read.
  if (!Item.Parsed.Repeatable)
    Call.MaxIdle = Duration();
  Around.Upstreams.dispatch(Call);
}

void RequestEngine::onUpstreamHead(AttemptId Attempt, std::uint16_t Status,
                                   const std::string &ContentType, TimePoint) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  Item->Lifecycle.process(RequestEvent::FirstByte);
  Item->UpstreamStatus = Status;
  Item->UpstreamType = ContentType;
}

void RequestEngine::onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                                    TimePoint Now) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  if (!Item->Parsed.Streamed || Item->UpstreamStatus != 200) {
    Item->Collected.append(Bytes);
    if (Item->Collected.size() > MaxAnswerBytes)
      onUpstreamFailure(Attempt, UpstreamFailure::Invalid, Now);
    return;
  }
  noteFirstToken(*Item, Now);
  const std::string Forward = Item->Meter.feed(Bytes);
  if (!Forward.empty() && !Item->CallerGone) {
    if (!Item->StreamBegun)
      beginStream(*Item, Now);
    Around.Callers.sendPart(Item->Ticket, Forward);
  }
  if (!Item->Meter.limitReached())
    return;
  Around.Upstreams.cancel(Attempt);
  complete(*Item, Now);
}

void RequestEngine::noteFirstToken(ActiveRequest &Item, TimePoint Now) {
  if (Item.Answered)
    return;
  Item.Answered = true;
  Table.onFirstToken(Item.Upstream, Item.Expected, Now - Item.DispatchedAt);
}

void RequestEngine::onUpstreamEnd(AttemptId Attempt, TimePoint Now) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  const bool Broken = Item->Parsed.Streamed && Item->UpstreamStatus == 200 &&
                      !Item->Meter.finished();
  const bool Overloaded = Item->Parsed.Service.Kind == ServiceKind::Model &&
                          Item->UpstreamStatus >= 500;
  if (Broken) {
    onUpstreamFailure(Attempt, UpstreamFailure::Closed, Now);
  } else if (Overloaded) {
    failAttempt(*Item, false, Now);
    retryOrEnd(*Item, true, Now);
  } else {
    complete(*Item, Now);
  }
}

void RequestEngine::onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                                      TimePoint Now) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  const bool Sent = How != UpstreamFailure::NotSent &&
                    How != UpstreamFailure::ConnectTimedOut;
  failAttempt(*Item, How == UpstreamFailure::Closed, Now);
  retryOrEnd(*Item, Sent, Now);
}

void RequestEngine::failAttempt(ActiveRequest &Item, bool Crash,
                                TimePoint Now) {
  ByAttempt.erase(Item.Attempt);
  if (!Item.Answered)
    Table.onNoAnswer(Item.Upstream, Item.Expected);
  Table.onFailed(Item.Upstream, Item.Suspect, Now);
  if (!Crash)
    return;
  if (Crashes.onCrash(Item.Parsed.Content, Now))
    ++Counters.Quarantined;
  Item.Suspect = true;
}

bool RequestEngine::mayRetry(const ActiveRequest &Item, bool Sent,
                             TimePoint Now) {
  if (Item.CallerGone)
    return false;
  // What never began may go elsewhere, whatever it is.
  if (!Sent)
    return Item.Tried.size() < MaxUpstreamsTried;
  return Item.Parsed.Repeatable && !Item.StreamBegun &&
         Item.SentAttempts < MaxSentAttempts &&
         !Crashes.quarantined(Item.Parsed.Content, Now) &&
         retriesOf(Item.Parsed.Service).takeRetry();
}

void RequestEngine::retryOrEnd(ActiveRequest &Item, bool Sent, TimePoint Now) {
  const bool Answering = Item.Lifecycle.state() == RequestState::Answering;
  Item.SentAttempts += Sent ? 1 : 0;
  if (mayRetry(Item, Sent, Now)) {
    Counters.Retries += Sent ? 1 : 0;
    Item.Lifecycle.process(RequestEvent::AttemptFailed);
    Item.Meter = StreamMeter(Item.Parsed.MaxOutputTokens);
    Item.Collected.clear();
    Item.UpstreamStatus = 0;
    dispatch(Item, Now);
    return;
  }
  Refusal Why{Outcome::Unknown, Reason::UpstreamFailed, Item.Upstream.Value};
  if (Answering)
    Why.What = Outcome::Ran;
  if (Item.SentAttempts == 0)
    Why = {Outcome::NotRun, Reason::NoUpstream, Item.Upstream.Value};
  else if (Crashes.quarantined(Item.Parsed.Content, Now))
    Why.Why = Reason::Quarantined;
  end(Item, Why,
      Item.SentAttempts == 0 ? ClaimDisposition::Release
                             : ClaimDisposition::Keep,
      Now);
}

// The end of an answer.

void RequestEngine::releaseAttempt(ActiveRequest &Item, TimePoint Now) {
  if (ByAttempt.erase(Item.Attempt) == 0)
    return;
  if (!Item.Answered)
    Table.onNoAnswer(Item.Upstream, Item.Expected);
  Table.onCompleted(Item.Upstream, Item.Suspect, Now - Item.DispatchedAt, Now);
}

void RequestEngine::completeModel(ActiveRequest &Item, Bill &Settled) {
  const std::int64_t MaxInput = Item.Parsed.PromptTokens;
  const std::int64_t MaxOutput = Item.Parsed.MaxOutputTokens;
  bool Over = false;
  if (Item.Parsed.Streamed) {
    Settled.Tokens = Item.Meter.usage(MaxInput);
    Over = Item.Meter.overReported(MaxInput);
  } else if (const std::optional<Usage> Seen = parseUsage(Item.Collected)) {
    Settled.Tokens = cappedUsage(*Seen, MaxInput, MaxOutput);
    Over = !(Settled.Tokens == *Seen);
  }
  Counters.OverReported += Over ? 1 : 0;
  Settled.Cost = costOf(Settled.Rate, Settled.Tokens);
}

void RequestEngine::complete(ActiveRequest &Item, TimePoint Now) {
  releaseAttempt(Item, Now);
  Crashes.onCompleted(Item.Parsed.Content);
  const bool Model = Item.Parsed.Service.Kind == ServiceKind::Model;
  if (Model && Item.UpstreamStatus >= 400) {
    end(Item, {Outcome::Ran, Reason::InvalidRequest, Item.Collected},
        ClaimDisposition::Keep, Now);
    return;
  }
  if (Item.Deadline && Item.Parsed.Repeatable) {
    Around.Timers.cancel(*Item.Deadline);
    Item.Deadline.reset();
  }
  Item.Lifecycle.process(RequestEvent::AnswerComplete);
  Bill Settled;
  Settled.Workspace = Item.Parsed.Workspace.Name;
  Settled.Key = Item.Parsed.Key;
  Settled.Request = Item.Id;
  Settled.Content = Item.Parsed.Content;
  Settled.Service = Item.Parsed.Service.Name;
  Settled.Upstream = Item.Upstream;
  Settled.Configuration = Item.Version;
  Settled.Accepted = Item.Accepted;
  Settled.Dispatched = Item.Dispatched;
  Settled.Finished = Around.Wall.wallNow();
  Settled.Rate = Item.Parsed.Service.Rate;
  Settled.KeyFromCaller = Item.Parsed.KeyFromCaller;
  Settled.AnswerDigest = sha256Hex(Item.Collected);
  if (Model)
    completeModel(Item, Settled);
  else if (Item.UpstreamStatus < 500)
    Settled.Cost = Settled.Rate.Call;
  if (!Item.Parsed.Repeatable) {
    RecordedAnswer Kept{Item.UpstreamStatus, Item.UpstreamType, "", false};
    const std::size_t Longest = Index->text().Budget.MaxRecordedAnswerBytes;
    Kept.BodyKept = Item.Collected.size() <= Longest;
    if (Kept.BodyKept)
      Kept.Body = Item.Collected;
    Settled.Answer = std::move(Kept);
  }
  Budgets->settle(Item.Id, std::move(Settled), Now);
}

void RequestEngine::onSettled(const RequestId &Request, const Settlement &Done,
                              TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (Done.Outcome) {
  case SettleOutcome::Committed:
  case SettleOutcome::Carried:
  case SettleOutcome::BilledBefore:
    deliver(*Item, Done, Now);
    finish(Request, Now);
    return;
  case SettleOutcome::KeyReused:
    end(*Item, {Outcome::Ran, Reason::IdempotencyKeyReused, ""},
        ClaimDisposition::Keep, Now);
    return;
  case SettleOutcome::Fenced:
    end(*Item, {Outcome::Ran, Reason::BudgetLost, ""}, ClaimDisposition::Keep,
        Now);
    return;
  case SettleOutcome::Undecided:
    end(*Item, {Outcome::Ran, Reason::BillNotDurable, ""},
        ClaimDisposition::Keep, Now);
    return;
  }
}

void RequestEngine::beginStream(ActiveRequest &Item, TimePoint Now) {
  Item.StreamBegun = true;
  FirstByte.record(Now - Item.AcceptedAt);
  Answer Head;
  Head.ContentType = "text/event-stream";
  Head.Headers = {{"X-Request-Id", Item.Id.Value}};
  Around.Callers.beginStream(Item.Ticket, Head);
}

void RequestEngine::deliver(ActiveRequest &Item, const Settlement &Done,
                            TimePoint Now) {
  ++Counters.Answered;
  Whole.record(Now - Item.AcceptedAt);
  Around.Log.onEnd(Item.Id, Item.Parsed.Workspace.Name, Item.UpstreamStatus,
                   nameOf(Outcome::Ran), "answered");
  if (Item.CallerGone)
    return;
  if (!Item.Parsed.Streamed) {
    FirstByte.record(Now - Item.AcceptedAt);
    Answer Made;
    Made.Status = Item.UpstreamStatus;
    Made.ContentType = Item.UpstreamType;
    Made.Headers = servedHeaders(Item.Id, Done);
    Made.Body = std::move(Item.Collected);
    Around.Callers.answer(Item.Ticket, Made);
    return;
  }
  if (!Item.StreamBegun)
    beginStream(Item, Now);
  Around.Callers.endStream(Item.Ticket,
                           servedComment(Item.Id, Done) + Item.Meter.tail());
}

void RequestEngine::replay(ActiveRequest &Item,
                           const std::optional<RecordedAnswer> &Kept) {
  if (!Kept || !Kept->BodyKept) {
    const Refusal Why{Outcome::Ran, Reason::AnswerNotKept, ""};
    ++Counters.EndedRan;
    Around.Callers.answer(Item.Ticket, refusalAnswer(Item.Id, Why));
    return;
  }
  ++Counters.Answered;
  Settlement Done;
  Done.Outcome = SettleOutcome::BilledBefore;
  Answer Made;
  Made.Status = Kept->Status;
  Made.ContentType = Kept->ContentType;
  Made.Headers = servedHeaders(Item.Id, Done);
  Made.Headers.push_back({"Bronzeward-Replayed", "true"});
  Made.Body = Kept->Body;
  Around.Log.onEnd(Item.Id, Item.Parsed.Workspace.Name, Kept->Status,
                   nameOf(Outcome::Ran), "replayed");
  Around.Callers.answer(Item.Ticket, Made);
}

void RequestEngine::end(ActiveRequest &Item, const Refusal &Why,
                        ClaimDisposition Disposition, TimePoint Now) {
  const RequestId Request = Item.Id;
  if (Why.What == Outcome::NotRun)
    ++Counters.RefusedNotRun;
  else if (Why.What == Outcome::Ran)
    ++Counters.EndedRan;
  else
    ++Counters.EndedUnknown;
  Around.Log.onEnd(Request, Item.Parsed.Workspace.Name, formOf(Why.Why).Status,
                   nameOf(Why.What), formOf(Why.Why).Code);
  if (!Item.CallerGone) {
    if (Item.StreamBegun)
      Around.Callers.endStream(Item.Ticket, refusalEvent(Request, Why));
    else
      Around.Callers.answer(Item.Ticket, refusalAnswer(Request, Why));
  }
  Budgets->abandon(Request, Disposition, Now);
  finish(Request, Now);
}

void RequestEngine::finish(const RequestId &Request, TimePoint Now) {
  const auto Found = Active.find(Request);
  if (Found == Active.end())
    return;
  ActiveRequest &Item = Found->second;
  if (Item.Deadline)
    Around.Timers.cancel(*Item.Deadline);
  releaseAttempt(Item, Now);
  ByTicket.erase(Item.Ticket);
  Limits.leave(Item.Parsed.Workspace.Name, Item.Parsed.Service.Name);
  Active.erase(Found);
}

// Callers that go away and deadlines.

void RequestEngine::onCallerGone(CallerTicket Ticket, TimePoint Now) {
  const auto Found = ByTicket.find(Ticket);
  if (Found == ByTicket.end())
    return;
  ActiveRequest &Item = Active.at(Found->second);
  Item.CallerGone = true;
  ++Counters.CallersGone;
  switch (Item.Lifecycle.state()) {
  case RequestState::Reserving:
  case RequestState::Claiming:
    Budgets->abandon(Item.Id, ClaimDisposition::Release, Now);
    finish(Item.Id, Now);
    return;
  case RequestState::Dispatched:
  case RequestState::Answering:
    // What may not be repeated is heard out, so that its outcome is kept.
    if (!Item.Parsed.Repeatable)
      return;
    Around.Upstreams.cancel(Item.Attempt);
    if (Item.Meter.countedTokens() > 0) {
      complete(Item, Now);
    } else {
      const RequestId Request = Item.Id;
      Budgets->abandon(Request, ClaimDisposition::Keep, Now);
      finish(Request, Now);
    }
    return;
  case RequestState::Settling:
  case RequestState::Ended:
    return;
  }
}

void RequestEngine::onDeadline(const RequestId &Request, TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  Item->Deadline.reset();
  const RequestState State = Item->Lifecycle.state();
  if (State == RequestState::Settling)
    return;
  if (State == RequestState::Reserving || State == RequestState::Claiming) {
    end(*Item, {Outcome::NotRun, Reason::DeadlineExceeded, ""},
        ClaimDisposition::Release, Now);
    return;
  }
  const Outcome What =
      State == RequestState::Answering ? Outcome::Ran : Outcome::Unknown;
  if (Item->Parsed.Repeatable || Item->CallerGone) {
    Around.Upstreams.cancel(Item->Attempt);
    end(*Item, {What, Reason::DeadlineExceeded, ""}, ClaimDisposition::Keep,
        Now);
    return;
  }
  // Answer now; listen on for the outcome, which a retry under the same key
  // then gets.
  const Refusal Why{What, Reason::DeadlineExceeded, ""};
  Around.Callers.answer(Item->Ticket, refusalAnswer(Request, Why));
  Item->CallerGone = true;
  Item->Deadline = Around.Timers.schedule(
      Now + DeadlineGrace * Item->Parsed.Service.Deadline,
      [this, Request](TimePoint At) { onDeadline(Request, At); });
}

} // namespace bronzeward
