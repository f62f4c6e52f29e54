#include "bronzeward/src/Request/RequestEngine.h"

#include "bronzeward/src/Request/AnswerText.h"

#include <algorithm>

namespace bronzeward {

/// Maximum number of attempts of which any byte was sent.
constexpr int MaxSentAttempts = 3;
/// Maximum number of upstreams tried for one request, including those that
/// could not be reached.
constexpr std::size_t MaxUpstreamsTried = 6;
/// Assumed body bytes per token where the prompt's length is estimated.
constexpr std::int64_t BytesPerToken = 4;
/// Maximum size of an answer body that is not streamed; a longer one is an
/// invalid answer.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
/// Time after the deadline, as a multiple of it, for which the answer of a call
/// that may not be repeated is awaited, so that its outcome can be recorded.
constexpr int GraceDeadlines = 2;

RequestEngine::RequestEngine(Incarnation OwnIncarnation,
                             FailureDomain OwnDomain,
                             RequestDependencies Dependencies)
    : Self(std::move(OwnIncarnation)), Deps(Dependencies),
      Table(std::move(OwnDomain)) {}

void RequestEngine::configure(ConfigurationVersion Accepted,
                              Configuration NewConfiguration) {
  Version = Accepted;
  Table.configure(NewConfiguration);
  Retries.clear();
  for (const ServiceSpec &Service : NewConfiguration.Services)
    Retries.emplace(Service.Name, RetryBudget(Service.RetryPercent));
  CurrentIndex =
      std::make_unique<ConfigurationIndex>(std::move(NewConfiguration));
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
  std::unique_ptr<ChoicePolicy> &Policy =
      Policies[{Service.Name, Service.Choice}];
  if (!Policy)
    Policy = makeChoicePolicy(Service.Choice);
  return *Policy;
}

RetryBudget &RequestEngine::retryBudgetOf(const ServiceSpec &Service) {
  // A running request may belong to a service that the current configuration no
  // longer has.
  return Retries.try_emplace(Service.Name, RetryBudget(Service.RetryPercent))
      .first->second;
}

// Arrival and admission.

void RequestEngine::refuseEarly(CallerTicket Ticket, const Refusal &Cause) {
  const RequestId Id = nextId();
  const Answer Response = refusalAnswer(Id, Cause);
  ++Counters.RefusedNotRun;
  Deps.Log.onEnd(Id, {}, Response.Status, nameOf(Cause.Execution),
                 descriptionOf(Cause.Kind).Code);
  Deps.Callers.answer(Ticket, Response);
}

const ServiceName *RequestEngine::missingDependency(const ServiceSpec &Service,
                                                    TimePoint Now) const {
  for (const ServiceName &Name : Service.DependsOn) {
    if (!Table.available(Name, Now))
      return &Name;
    const ServiceSpec *Next = findService(CurrentIndex->configuration(), Name);
    if (Next == nullptr)
      continue;
    if (const ServiceName *Indirect = missingDependency(*Next, Now))
      return Indirect;
  }
  return nullptr;
}

std::optional<Refusal>
RequestEngine::checkAdmission(const ServiceRequest &Parsed,
                              TimePoint Now) const {
  if (ContentQuarantine.quarantined(Parsed.Content, Now))
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
  if (Draining || !CurrentIndex) {
    refuseEarly(
        In.Ticket,
        {Outcome::NotRun, Draining ? Reason::Draining : Reason::NotReady, ""});
    return;
  }
  auto Parsed = parseServiceRequest(In, *CurrentIndex);
  if (!Parsed) {
    refuseEarly(In.Ticket, Parsed.error());
    return;
  }
  ServiceRequest Request = std::move(Parsed).value();
  if (const std::optional<Refusal> Cause = checkAdmission(Request, Now)) {
    refuseEarly(In.Ticket, *Cause);
    return;
  }
  if (const std::optional<Reason> Limit =
          Limits.admit(Request.Workspace, Request.Service)) {
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
  Item.Presence = std::move(In.Presence);
  Item.Parsed = std::move(Parsed);
  if (!Item.Parsed.KeyFromCaller)
    Item.Parsed.Key.Value = Id.Value;
  Item.Version = Version;
  Item.AcceptedWall = Deps.Wall.wallNow();
  Item.AcceptedAt = Now;
  Item.Meter = StreamMeter(Item.Parsed.MaxOutputTokens);
  Item.Suspect = ContentQuarantine.suspected(Item.Parsed.Content, Now);
  Item.Deadline =
      Deps.Timers.schedule(Now + Item.Parsed.Service.Deadline,
                           [this, Id](TimePoint At) { onDeadline(Id, At); });
  ByTicket.emplace(Item.Ticket, Id);
  const auto Placed = Active.emplace(Id, std::move(Item)).first;
  const ReserveOutcome Result =
      Budgets->reserve(Id, Placed->second.Parsed.Workspace.Name,
                       Placed->second.Parsed.Bound, Now);
  if (Result != ReserveOutcome::Waiting)
    onReserved(Id, Result, Now);
}

void RequestEngine::onReserved(const RequestId &Request, ReserveOutcome Result,
                               TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (Result) {
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
      .first->second.onFirstAttempt();
  if (Item.Parsed.Repeatable) {
    dispatch(Item, Now);
    return;
  }
  Item.Lifecycle.process(RequestEvent::ClaimNeeded);
  Claim Requested;
  Requested.Key = Item.Parsed.Key;
  Requested.Content = Item.Parsed.Content;
  Requested.Opened = Deps.Wall.wallNow();
  Budgets->claim(Item.Id, Requested, Now);
}

void RequestEngine::onClaimed(const RequestId &Request, ClaimOutcome Result,
                              const std::optional<RecordedAnswer> &Recorded,
                              TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (Result) {
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
    replay(*Item, Recorded);
    Budgets->abandon(Request, ClaimDisposition::Keep, Now);
    finish(Request, Now);
    return;
  }
}

// Dispatch, retries and failures.

void RequestEngine::dispatch(ActiveRequest &Item, TimePoint Now) {
  ChoicePolicy &Policy = policyOf(Item.Parsed.Service);
  const std::vector<Candidate> Candidates =
      Policy.usesSample()
          ? Table.sample(Item.Parsed.Service, Item.Parsed.Blocks, Item.Tried,
                         Item.Suspect, Deps.Source, Now)
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
  const Choice Chosen = Policy.choose(Input, Candidates, Deps.Source);
  Item.Upstream = Candidates[Chosen.Index].Name;
  Item.Tried.push_back(Item.Upstream);
  Item.Attempt = AttemptId{++LastAttempt};
  Item.DispatchedWall = Deps.Wall.wallNow();
  Item.DispatchedAt = Now;
  Item.Lifecycle.process(RequestEvent::Dispatch);
  ByAttempt.emplace(Item.Attempt, Item.Id);
  Deps.Log.onChoice({Item.Id, Item.Parsed.Service.Name, Candidates, Chosen,
                     static_cast<int>(Item.Tried.size())});
  Item.AnswerBegun = false;
  Item.Estimate = Table.onDispatched(Item.Upstream, Item.Parsed.Blocks,
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
  Call.Presence = Item.Presence;
  Call.Match = {"X-Request-Id", Item.Id.Value};
  Call.Headers = {Call.Match, {"Idempotency-Key", Item.Parsed.Key.Value}};
  // If a reused connection turns out closed, it is unknown whether the upstream
  // read the request.
  if (!Item.Parsed.Repeatable)
    Call.MaxIdle = Duration();
  Deps.Upstreams.dispatch(Call);
}

void RequestEngine::onUpstreamHead(AttemptId Attempt, std::uint16_t Status,
                                   const std::string &ContentType, TimePoint) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  Item->Lifecycle.process(RequestEvent::FirstByte);
  Item->UpstreamStatus = Status;
  Item->UpstreamContentType = ContentType;
}

void RequestEngine::onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                                    TimePoint Now) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  if (!Item->Parsed.Streamed || Item->UpstreamStatus != 200) {
    Item->AnswerBody.append(Bytes);
    if (Item->AnswerBody.size() > MaxAnswerBytes)
      onUpstreamFailure(Attempt, UpstreamFailure::Invalid, Now);
    return;
  }
  recordFirstToken(*Item, Now);
  const std::string Forward = Item->Meter.feed(Bytes);
  if (!Forward.empty() && !Item->CallerGone) {
    if (!Item->StreamBegun)
      beginStream(*Item, Now);
    Deps.Callers.sendPart(Item->Ticket, Forward);
  }
  if (!Item->Meter.limitReached())
    return;
  Deps.Upstreams.cancel(Attempt);
  complete(*Item, Now);
}

void RequestEngine::recordFirstToken(ActiveRequest &Item, TimePoint Now) {
  if (Item.AnswerBegun)
    return;
  Item.AnswerBegun = true;
  Table.onFirstToken(Item.Upstream, Item.Estimate, Now - Item.DispatchedAt);
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

void RequestEngine::onUpstreamFailure(AttemptId Attempt,
                                      UpstreamFailure Failure, TimePoint Now) {
  ActiveRequest *Item = find(Attempt);
  if (Item == nullptr)
    return;
  if (Failure == UpstreamFailure::CallerLeft) {
    onLeftBeforeSend(*Item, Now);
    return;
  }
  if (Failure == UpstreamFailure::Invalid)
    ++Counters.InvalidAnswers;
  const bool Sent = Failure != UpstreamFailure::NotSent &&
                    Failure != UpstreamFailure::ConnectTimedOut;
  failAttempt(*Item, Failure == UpstreamFailure::Closed, Now);
  retryOrEnd(*Item, Sent, Now);
}

void RequestEngine::failAttempt(ActiveRequest &Item, bool Crash,
                                TimePoint Now) {
  ByAttempt.erase(Item.Attempt);
  if (!Item.AnswerBegun)
    Table.onNoAnswer(Item.Upstream, Item.Estimate);
  Table.onFailed(Item.Upstream, Item.Suspect, Now);
  if (!Crash)
    return;
  if (ContentQuarantine.onCrash(Item.Parsed.Content, Item.Upstream, Now))
    ++Counters.Quarantined;
  Item.Suspect = true;
}

bool RequestEngine::mayRetry(const ActiveRequest &Item, bool Sent,
                             TimePoint Now) {
  if (Item.CallerGone)
    return false;
  // A request of which nothing was sent may always go to another upstream.
  if (!Sent)
    return Item.Tried.size() < MaxUpstreamsTried;
  return Item.Parsed.Repeatable && !Item.StreamBegun &&
         Item.SentAttempts < MaxSentAttempts &&
         !ContentQuarantine.quarantined(Item.Parsed.Content, Now) &&
         retryBudgetOf(Item.Parsed.Service).takeRetry();
}

void RequestEngine::retryOrEnd(ActiveRequest &Item, bool Sent, TimePoint Now) {
  const bool Answering = Item.Lifecycle.state() == RequestState::Answering;
  Item.SentAttempts += Sent ? 1 : 0;
  if (mayRetry(Item, Sent, Now)) {
    Counters.Retries += Sent ? 1 : 0;
    Item.Lifecycle.process(RequestEvent::AttemptFailed);
    Item.Meter = StreamMeter(Item.Parsed.MaxOutputTokens);
    Item.AnswerBody.clear();
    Item.UpstreamStatus = 0;
    dispatch(Item, Now);
    return;
  }
  Refusal Cause{Outcome::Unknown, Reason::UpstreamFailed, Item.Upstream.Value};
  if (Answering)
    Cause.Execution = Outcome::Ran;
  if (Item.SentAttempts == 0)
    Cause = {Outcome::NotRun, Reason::NoUpstream, Item.Upstream.Value};
  else if (ContentQuarantine.quarantined(Item.Parsed.Content, Now))
    Cause.Kind = Reason::Quarantined;
  end(Item, Cause,
      Item.SentAttempts == 0 ? ClaimDisposition::Release
                             : ClaimDisposition::Keep,
      Now);
}

// Completion, billing and delivery.

void RequestEngine::releaseAttempt(ActiveRequest &Item, TimePoint Now) {
  if (ByAttempt.erase(Item.Attempt) == 0)
    return;
  if (!Item.AnswerBegun)
    Table.onNoAnswer(Item.Upstream, Item.Estimate);
  Table.onCompleted(Item.Upstream, Item.Suspect, Now - Item.DispatchedAt, Now);
}

void RequestEngine::completeModel(ActiveRequest &Item, Bill &NewBill) {
  const std::int64_t MaxInput = Item.Parsed.PromptTokens;
  const std::int64_t MaxOutput = Item.Parsed.MaxOutputTokens;
  bool Over = false;
  if (Item.Parsed.Streamed) {
    NewBill.Tokens = Item.Meter.usage(MaxInput);
    Over = Item.Meter.overReported(MaxInput);
  } else if (const std::optional<Usage> Reported =
                 parseUsage(Item.AnswerBody)) {
    NewBill.Tokens = cappedUsage(*Reported, MaxInput, MaxOutput);
    Over = !(NewBill.Tokens == *Reported);
  }
  Counters.OverReported += Over ? 1 : 0;
  NewBill.Cost = costOf(NewBill.Rate, NewBill.Tokens);
}

void RequestEngine::complete(ActiveRequest &Item, TimePoint Now) {
  releaseAttempt(Item, Now);
  ContentQuarantine.onCompleted(Item.Parsed.Content);
  const bool Model = Item.Parsed.Service.Kind == ServiceKind::Model;
  if (Model && Item.UpstreamStatus >= 400) {
    end(Item, {Outcome::Ran, Reason::InvalidRequest, Item.AnswerBody},
        ClaimDisposition::Keep, Now);
    return;
  }
  if (Item.Deadline && Item.Parsed.Repeatable) {
    Deps.Timers.cancel(*Item.Deadline);
    Item.Deadline.reset();
  }
  Item.Lifecycle.process(RequestEvent::AnswerComplete);
  Bill NewBill;
  NewBill.Workspace = Item.Parsed.Workspace.Name;
  NewBill.Key = Item.Parsed.Key;
  NewBill.Request = Item.Id;
  NewBill.Content = Item.Parsed.Content;
  NewBill.Service = Item.Parsed.Service.Name;
  NewBill.Upstream = Item.Upstream;
  NewBill.Configuration = Item.Version;
  NewBill.Accepted = Item.AcceptedWall;
  NewBill.Dispatched = Item.DispatchedWall;
  NewBill.Finished = Deps.Wall.wallNow();
  NewBill.Rate = Item.Parsed.Service.Rate;
  NewBill.KeyFromCaller = Item.Parsed.KeyFromCaller;
  NewBill.AnswerDigest = sha256Hex(Item.AnswerBody);
  if (Model)
    completeModel(Item, NewBill);
  else if (Item.UpstreamStatus < 500)
    NewBill.Cost = NewBill.Rate.Call;
  if (!Item.Parsed.Repeatable) {
    RecordedAnswer Recorded{Item.UpstreamStatus, Item.UpstreamContentType, "",
                            false};
    const std::size_t MaxBytes =
        CurrentIndex->configuration().Budget.MaxRecordedAnswerBytes;
    Recorded.BodyKept = Item.AnswerBody.size() <= MaxBytes;
    if (Recorded.BodyKept)
      Recorded.Body = Item.AnswerBody;
    NewBill.Answer = std::move(Recorded);
  }
  Budgets->settle(Item.Id, std::move(NewBill), Now);
}

void RequestEngine::onSettled(const RequestId &Request,
                              const Settlement &Result, TimePoint Now) {
  ActiveRequest *Item = find(Request);
  if (Item == nullptr)
    return;
  switch (Result.Outcome) {
  case SettleOutcome::Committed:
  case SettleOutcome::Carried:
  case SettleOutcome::BilledBefore:
    deliver(*Item, Result, Now);
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
  FirstByteLatencies.record(Now - Item.AcceptedAt);
  Answer Head;
  Head.ContentType = "text/event-stream";
  Head.Headers = {{"X-Request-Id", Item.Id.Value}};
  Deps.Callers.beginStream(Item.Ticket, Head);
}

void RequestEngine::deliver(ActiveRequest &Item, const Settlement &Result,
                            TimePoint Now) {
  ++Counters.Answered;
  AnswerLatencies.record(Now - Item.AcceptedAt);
  Deps.Log.onEnd(Item.Id, Item.Parsed.Workspace.Name, Item.UpstreamStatus,
                 nameOf(Outcome::Ran), "answered");
  if (Item.CallerGone)
    return;
  if (!Item.Parsed.Streamed) {
    FirstByteLatencies.record(Now - Item.AcceptedAt);
    Answer Response;
    Response.Status = Item.UpstreamStatus;
    Response.ContentType = Item.UpstreamContentType;
    Response.Headers = servedHeaders(Item.Id, Result);
    Response.Body = std::move(Item.AnswerBody);
    Deps.Callers.answer(Item.Ticket, Response);
    return;
  }
  if (!Item.StreamBegun)
    beginStream(Item, Now);
  Deps.Callers.endStream(Item.Ticket,
                         servedComment(Item.Id, Result) + Item.Meter.tail());
}

void RequestEngine::replay(ActiveRequest &Item,
                           const std::optional<RecordedAnswer> &Recorded) {
  if (!Recorded || !Recorded->BodyKept) {
    const Refusal Cause{Outcome::Ran, Reason::AnswerNotKept, ""};
    ++Counters.EndedRan;
    Deps.Callers.answer(Item.Ticket, refusalAnswer(Item.Id, Cause));
    return;
  }
  ++Counters.Answered;
  Settlement Result;
  Result.Outcome = SettleOutcome::BilledBefore;
  Answer Response;
  Response.Status = Recorded->Status;
  Response.ContentType = Recorded->ContentType;
  Response.Headers = servedHeaders(Item.Id, Result);
  Response.Headers.push_back({"Bronzeward-Replayed", "true"});
  Response.Body = Recorded->Body;
  Deps.Log.onEnd(Item.Id, Item.Parsed.Workspace.Name, Recorded->Status,
                 nameOf(Outcome::Ran), "replayed");
  Deps.Callers.answer(Item.Ticket, Response);
}

void RequestEngine::end(ActiveRequest &Item, const Refusal &Cause,
                        ClaimDisposition Disposition, TimePoint Now) {
  const RequestId Request = Item.Id;
  if (Cause.Execution == Outcome::NotRun)
    ++Counters.RefusedNotRun;
  else if (Cause.Execution == Outcome::Ran)
    ++Counters.EndedRan;
  else
    ++Counters.EndedUnknown;
  Deps.Log.onEnd(Request, Item.Parsed.Workspace.Name,
                 descriptionOf(Cause.Kind).Status, nameOf(Cause.Execution),
                 descriptionOf(Cause.Kind).Code);
  if (!Item.CallerGone) {
    if (Item.StreamBegun)
      Deps.Callers.endStream(Item.Ticket, refusalEvent(Request, Cause));
    else
      Deps.Callers.answer(Item.Ticket, refusalAnswer(Request, Cause));
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
    Deps.Timers.cancel(*Item.Deadline);
  releaseAttempt(Item, Now);
  ByTicket.erase(Item.Ticket);
  Limits.release(Item.Parsed.Workspace.Name, Item.Parsed.Service.Name);
  Active.erase(Found);
}

// Disconnected callers and deadlines.

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
    // The answer of a call that may not be repeated is awaited, so that its
    // outcome is recorded.
    if (!Item.Parsed.Repeatable)
      return;
    Deps.Upstreams.cancel(Item.Attempt);
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

void RequestEngine::onLeftBeforeSend(ActiveRequest &Item, TimePoint Now) {
  Counters.CallersGone += Item.CallerGone ? 0 : 1;
  Deps.Callers.disconnect(Item.Ticket);
  const RequestId Request = Item.Id;
  Budgets->abandon(Request,
                   Item.SentAttempts == 0 ? ClaimDisposition::Release
                                          : ClaimDisposition::Keep,
                   Now);
  finish(Request, Now);
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
  const Outcome Execution =
      State == RequestState::Answering ? Outcome::Ran : Outcome::Unknown;
  if (Item->Parsed.Repeatable || Item->CallerGone) {
    Deps.Upstreams.cancel(Item->Attempt);
    end(*Item, {Execution, Reason::DeadlineExceeded, ""},
        ClaimDisposition::Keep, Now);
    return;
  }
  // Answers the caller now, but awaits the outcome, so that a retry with the
  // same key gets it.
  const Refusal Cause{Execution, Reason::DeadlineExceeded, ""};
  Deps.Callers.answer(Item->Ticket, refusalAnswer(Request, Cause));
  Item->CallerGone = true;
  Item->Deadline = Deps.Timers.schedule(
      Now + GraceDeadlines * Item->Parsed.Service.Deadline,
      [this, Request](TimePoint At) { onDeadline(Request, At); });
}

} // namespace bronzeward
