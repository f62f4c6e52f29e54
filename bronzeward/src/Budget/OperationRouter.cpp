#include "bronzeward/src/Budget/OperationRouter.h"

#include <algorithm>

namespace bronzeward {

/// Time for which operations to a peer are batched into one message.
constexpr Duration ForwardDelay = 2ms;
/// Deferrable operations are batched for the commit interval divided by this,
/// as the committer lets them wait for its interval anyway.
constexpr int DeferredDelayDivisor = 2;
/// Maximum number of unconfirmed messages of deferrable operations. A backlog
/// then neither fills a slow link nor delays urgent operations.
constexpr std::size_t MaxDeferrableInFlight = 4;
/// Multiple of the committer's timeout after which a message of deferrable
/// operations counts as lost. A committer with a backlog is slow, not failed;
/// another one beside it would only conflict with it.
constexpr int DeferrableTimeouts = 4;
/// Time for which a failed committer is skipped.
constexpr Duration SuspectTime = 2s;
/// Instances that are asked to commit for a slot before this one does. In a
/// small fleet, waiting for a second failed one would cost more than some
/// conflicts.
constexpr std::size_t CommitterChoices = 2;
/// For this time after the store recovers, a committer that cannot reach it is
/// asked again: the longest pause of its circuit breaker plus a call's timeout.
/// For as long, a failed call shows that this instance does not reach the
/// store.
constexpr Duration RecoveryGrace = 2s;
/// Initial and maximum backoff before operations are sent again.
constexpr Duration MinBackoff = 50ms;
constexpr Duration MaxBackoff = 1s;
/// Minimum time between two urgent commits, for each member of a large fleet:
/// first requests of many workspaces at many instances arrive close together,
/// and the deployment counts every store call. MaxIntervalMembers limits it to
/// a delay that callers hardly notice.
constexpr Duration UrgentIntervalPerMember = 1ms;
constexpr std::size_t MaxIntervalMembers = 80;
/// Maximum time for which operations wait for the list of members.
constexpr Duration MaxMembersWait = 2s;
/// Maximum doublings of the backoff.
constexpr int MaxDoublings = 5;

/// \brief A peer's batch that this instance is committing.
struct OperationRouter::ServedBatch {
  InstanceId From;
  OperationResults Reply;
  std::size_t Remaining = 0;
  bool Answered = false;
};

OperationRouter::OperationRouter(InstanceId Name, Dependencies Interfaces)
    : Self(std::move(Name)), Deps(Interfaces) {}

std::uint64_t OperationRouter::submit(SlotId Slot, Operation Change,
                                      TimePoint Now, Handler Done) {
  if (Pending.size() >= Deps.Policy.MaxPendingOperations)
    return 0;
  const std::uint64_t Number = ++LastNumber;
  Pending.emplace(Number, PendingOperation{Slot, std::move(Change),
                                           std::move(Done), Now, false, false});
  enqueue(Slot, Number, Now);
  return Number;
}

bool OperationRouter::withdraw(std::uint64_t Number) {
  const auto Found = Pending.find(Number);
  if (Found == Pending.end() || Found->second.EverSent)
    return false;
  Pending.erase(Found);
  return true;
}

void OperationRouter::markAnswerReleased(std::uint64_t Number) {
  const auto Found = Pending.find(Number);
  if (Found == Pending.end())
    return;
  if (CommitBill *Change = std::get_if<CommitBill>(&Found->second.Change))
    Change->AnswerReleased = true;
}

static Duration urgentInterval(std::size_t Members) {
  if (Members <= SmallFleet)
    return {};
  return static_cast<int>(std::min(Members, MaxIntervalMembers)) *
         UrgentIntervalPerMember;
}

SlotCommitter &OperationRouter::committer(SlotId Slot) {
  std::unique_ptr<SlotCommitter> &Entry = Committers[Slot];
  if (!Entry)
    Entry = std::make_unique<SlotCommitter>(Slot, Deps.Store, Deps.Timers,
                                            Deps.Source, Deps.Policy);
  const std::size_t Members = Deps.Members.members().size();
  Entry->setUrgentInterval(urgentInterval(Members));
  Entry->setYielding(Members > SmallFleet &&
                     Deps.Members.committerOf(Slot, Self) != Self);
  return *Entry;
}

bool OperationRouter::deferrable(std::uint64_t Number) const {
  const Operation &Change = Pending.at(Number).Change;
  if (const CommitBill *Billed = std::get_if<CommitBill>(&Change))
    return Billed->AnswerReleased;
  // A refill is urgent too, since requests may wait for it meanwhile.
  return std::holds_alternative<ReturnGrant>(Change);
}

void OperationRouter::enqueue(SlotId Slot, std::uint64_t Number,
                              TimePoint Now) {
  Outboxes[Slot].Numbers.push_back(Number);
  if (committerFor(Slot, Now) == Self) {
    flush(Slot, Now);
    return;
  }
  const Duration Delay =
      deferrable(Number) ? std::max(ForwardDelay, Deps.Policy.CommitInterval /
                                                      DeferredDelayDivisor)
                         : ForwardDelay;
  scheduleFlush(Slot, Now + Delay);
}

void OperationRouter::scheduleFlush(SlotId Slot, TimePoint When) {
  SlotOutbox &Outbox = Outboxes[Slot];
  if (Outbox.NextFlush && *Outbox.NextFlush <= When)
    return;
  Outbox.NextFlush = When;
  Deps.Timers.schedule(When, [this, Slot, When](TimePoint At) {
    // An earlier flush may have replaced this one.
    if (Outboxes[Slot].NextFlush != When)
      return;
    Outboxes[Slot].NextFlush.reset();
    flush(Slot, At);
  });
}

void OperationRouter::flush(SlotId Slot, TimePoint Now) {
  std::vector<std::uint64_t> Numbers;
  Numbers.swap(Outboxes[Slot].Numbers);
  std::erase_if(Numbers, [this](std::uint64_t Number) {
    return !Pending.contains(Number);
  });
  if (Numbers.empty())
    return;
  if (awaitingMembers(Now)) {
    for (const std::uint64_t Number : Numbers)
      retryLater(Number, Now);
    return;
  }
  const InstanceId To = committerFor(Slot, Now);
  if (To == Self)
    commitHere(Slot, Numbers, Now);
  else
    sendBatches(To, Slot, std::move(Numbers), Now);
}

void OperationRouter::sendBatches(const InstanceId &To, SlotId Slot,
                                  std::vector<std::uint64_t> Numbers,
                                  TimePoint Now) {
  SlotOutbox &Outbox = Outboxes[Slot];
  const auto FirstDeferrable = std::stable_partition(
      Numbers.begin(), Numbers.end(),
      [this](std::uint64_t Number) { return !deferrable(Number); });
  auto Next = Numbers.begin();
  const auto SendUntil = [&](auto End, bool Deferrable) {
    const std::ptrdiff_t Limit = static_cast<std::ptrdiff_t>(Outbox.BatchLimit);
    const auto BatchEnd = Next + std::min(Limit, End - Next);
    sendTo(To, Slot, {Next, BatchEnd}, Deferrable, Now);
    Next = BatchEnd;
  };
  while (Next != FirstDeferrable)
    SendUntil(FirstDeferrable, false);
  while (Next != Numbers.end() &&
         Outbox.DeferrableInFlight < MaxDeferrableInFlight)
    SendUntil(Numbers.end(), true);
  Outbox.Numbers.insert(Outbox.Numbers.end(), Next, Numbers.end());
}

void OperationRouter::onBatchEnded(const RemoteBatch &Batch, bool Delivered,
                                   TimePoint Now) {
  SlotOutbox &Outbox = Outboxes[Batch.Slot];
  Outbox.BatchLimit =
      Delivered ? std::min(2 * Outbox.BatchLimit, MaxBatch) : MinBatch;
  if (!Batch.Deferrable)
    return;
  --Outbox.DeferrableInFlight;
  if (!Outbox.Numbers.empty())
    scheduleFlush(Batch.Slot, Now + ForwardDelay);
}

InstanceId OperationRouter::committerFor(SlotId Slot, TimePoint Now) const {
  const bool SmallMembership = Deps.Members.members().size() <= SmallFleet;
  for (const InstanceId &Choice :
       Deps.Members.committersOf(Slot, SmallMembership ? 1 : CommitterChoices))
    if (Choice == Self || !suspected(Choice, Now))
      return Choice;
  return Self;
}

bool OperationRouter::storeRecovered(TimePoint Now) const {
  const std::optional<TimePoint> Recovered = Deps.Store.recoveredAt();
  return Recovered && Now < *Recovered + RecoveryGrace;
}

bool OperationRouter::storeFailedLately(TimePoint Now) const {
  const std::optional<TimePoint> Failed = Deps.Store.lastFailureAt();
  return Failed && Now < *Failed + RecoveryGrace;
}

bool OperationRouter::awaitingMembers(TimePoint Now) {
  if (!FirstSubmit)
    FirstSubmit = Now;
  return Deps.Policy.AwaitMembers && Deps.Members.find(Self) == nullptr &&
         Now < *FirstSubmit + MaxMembersWait;
}

void OperationRouter::onMembersUpdated(TimePoint Now) {
  std::vector<SlotId> Slots;
  for (const auto &[Slot, Outbox] : Outboxes)
    Slots.push_back(Slot);
  for (const SlotId Slot : Slots)
    if (!awaitingMembers(Now))
      flushBacklog(Slot, Now);
}

void OperationRouter::commitHere(SlotId Slot,
                                 const std::vector<std::uint64_t> &Numbers,
                                 TimePoint Now) {
  if (!Deps.Store.available(Now)) {
    for (const std::uint64_t Number : Numbers)
      retryLater(Number, Now);
    return;
  }
  for (const std::uint64_t Number : Numbers) {
    const auto Found = Pending.find(Number);
    if (Found == Pending.end())
      continue;
    Found->second.EverSent = true;
    committer(Slot).submit(
        Found->second.Change, Now,
        [this, Number](const std::optional<OperationResult> &Outcome,
                       TimePoint At) {
          if (Outcome) {
            finish(Number, *Outcome, At);
            return;
          }
          // The committer gave up although the store is reachable: another
          // instance commits, so ask the suspected ones again.
          if (!Deps.Store.failingSince())
            SuspectedUntil.clear();
          retryLater(Number, At);
        });
  }
}

void OperationRouter::sendTo(const InstanceId &To, SlotId Slot,
                             const std::vector<std::uint64_t> &Numbers,
                             bool Deferrable, TimePoint Now) {
  SubmitOperations Message;
  Message.Number = ++LastBatch;
  Message.Slot = Slot;
  for (const std::uint64_t Number : Numbers) {
    PendingOperation &Item = Pending.at(Number);
    Item.EverSent = true;
    Message.Operations.push_back(Item.Change);
  }
  Outboxes[Slot].DeferrableInFlight += Deferrable ? 1 : 0;
  RemoteBatch Batch{To, Slot, Numbers, {}, Deferrable};
  const Duration Timeout =
      Deps.Policy.CommitterTimeout * (Deferrable ? DeferrableTimeouts : 1);
  Batch.Timeout = Deps.Timers.schedule(
      Now + Timeout,
      [this, Number = Message.Number](TimePoint At) { expire(Number, At); });
  Remote.emplace(Message.Number, std::move(Batch));
  Deps.Peers.send(To, Message);
}

void OperationRouter::expire(std::uint64_t BatchNumber, TimePoint Now) {
  const auto Found = Remote.find(BatchNumber);
  if (Found == Remote.end())
    return;
  const RemoteBatch Batch = std::move(Found->second);
  Remote.erase(Found);
  onBatchEnded(Batch, false, Now);
  sendToNextChoice(Batch, Now);
}

void OperationRouter::finish(std::uint64_t Number,
                             const OperationResult &Outcome, TimePoint Now) {
  const auto Found = Pending.find(Number);
  if (Found == Pending.end())
    return;
  const PendingOperation Item = std::move(Found->second);
  Pending.erase(Found);
  Outboxes[Item.Slot].Failures = 0;
  Item.Done(Outcome, Now);
}

void OperationRouter::retryLater(std::uint64_t Number, TimePoint Now) {
  const auto Found = Pending.find(Number);
  if (Found == Pending.end())
    return;
  const SlotId Slot = Found->second.Slot;
  SlotOutbox &Outbox = Outboxes[Slot];
  Outbox.Backlog.push_back(Number);
  if (Outbox.RetryScheduled)
    return;
  Outbox.RetryScheduled = true;
  const Duration Backoff =
      std::min(MaxBackoff, MinBackoff * (1 << Outbox.Failures));
  Outbox.Failures = std::min(Outbox.Failures + 1, MaxDoublings);
  const double JitterFactor = 0.5 + 0.5 * Deps.Source.unit();
  Deps.Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(Backoff * JitterFactor),
      [this, Slot](TimePoint At) {
        Outboxes[Slot].RetryScheduled = false;
        flushBacklog(Slot, At);
      });
}

void OperationRouter::flushBacklog(SlotId Slot, TimePoint Now) {
  SlotOutbox &Outbox = Outboxes[Slot];
  Outbox.Numbers.insert(Outbox.Numbers.end(), Outbox.Backlog.begin(),
                        Outbox.Backlog.end());
  Outbox.Backlog.clear();
  flush(Slot, Now);
}

void OperationRouter::onStoreRegained(TimePoint Now) {
  SuspectedUntil.clear();
  for (auto &[Slot, Outbox] : Outboxes)
    Outbox.Failures = 0;
  onMembersUpdated(Now);
}

void OperationRouter::onSubmit(const InstanceId &From,
                               const SubmitOperations &Message, TimePoint Now) {
  std::shared_ptr<ServedBatch> Batch = std::make_shared<ServedBatch>();
  Batch->From = From;
  Batch->Reply.Number = Message.Number;
  Batch->Reply.Results.resize(Message.Operations.size());
  Batch->Remaining = Message.Operations.size();
  if (!Deps.Store.available(Now)) {
    Batch->Reply.Results.clear();
    Deps.Peers.send(From, Batch->Reply);
    return;
  }
  for (std::size_t Index = 0; Index < Message.Operations.size(); ++Index)
    committer(Message.Slot)
        .submit(Message.Operations[Index], Now,
                [this, Batch, Index](
                    const std::optional<OperationResult> &Outcome, TimePoint) {
                  if (Batch->Answered)
                    return;
                  if (Outcome)
                    Batch->Reply.Results[Index] = *Outcome;
                  else
                    Batch->Reply.Results.clear();
                  Batch->Answered = !Outcome || --Batch->Remaining == 0;
                  Batch->Reply.Committed = Outcome.has_value();
                  if (Batch->Answered)
                    Deps.Peers.send(Batch->From, Batch->Reply);
                });
}

void OperationRouter::onResults(const InstanceId &From,
                                const OperationResults &Message,
                                TimePoint Now) {
  const auto Found = Remote.find(Message.Number);
  if (Found == Remote.end() || Found->second.To != From)
    return;
  const RemoteBatch Batch = std::move(Found->second);
  Remote.erase(Found);
  Deps.Timers.cancel(Batch.Timeout);
  onBatchEnded(Batch, true, Now);
  if (!Message.Committed || Message.Results.size() != Batch.Numbers.size()) {
    onNotCommitted(Batch, Now);
    return;
  }
  for (std::size_t Index = 0; Index < Batch.Numbers.size(); ++Index)
    finish(Batch.Numbers[Index], Message.Results[Index], Now);
}

void OperationRouter::onNotCommitted(const RemoteBatch &Batch, TimePoint Now) {
  // The committer may not have noticed yet that the store recovered. In a large
  // fleet, instances that tried by themselves would keep it from committing.
  const bool LargeFleet = Deps.Members.members().size() > SmallFleet;
  if (storeRecovered(Now) || (LargeFleet && storeFailedLately(Now))) {
    for (const std::uint64_t Number : Batch.Numbers)
      retryLater(Number, Now);
    return;
  }
  // If the store fails here too, the committer is not at fault; skipping it
  // would make every instance write by itself on recovery.
  if (Deps.Store.failingSince()) {
    commitHere(Batch.Slot, Batch.Numbers, Now);
    return;
  }
  sendToNextChoice(Batch, Now);
}

void OperationRouter::sendToNextChoice(const RemoteBatch &Batch,
                                       TimePoint Now) {
  suspect(Batch.To, Now);
  SlotOutbox &Outbox = Outboxes[Batch.Slot];
  Outbox.Numbers.insert(Outbox.Numbers.end(), Batch.Numbers.begin(),
                        Batch.Numbers.end());
  flush(Batch.Slot, Now);
}

/// \returns whether a peer may commit the operation after its sender stopped.
/// A draw would grant budget to an instance that no longer exists.
static bool outlivesSender(const Operation &Change) {
  if (const CommitBill *Billed = std::get_if<CommitBill>(&Change))
    return Billed->AnswerReleased;
  return std::holds_alternative<ReturnGrant>(Change) ||
         std::holds_alternative<ReleaseClaim>(Change);
}

void OperationRouter::handOver(const std::vector<InstanceId> &To) {
  OperationsHandover Message;
  for (auto &[Number, Item] : Pending) {
    if (To.empty() || Item.HandedOver || !outlivesSender(Item.Change))
      continue;
    Item.EverSent = true;
    Item.HandedOver = true;
    Message.Operations.push_back({Item.Slot, Item.Change});
  }
  if (Message.Operations.empty())
    return;
  for (const InstanceId &Peer : To)
    Deps.Peers.send(Peer, Message);
}

void OperationRouter::onHandover(const OperationsHandover &Message,
                                 TimePoint Now) {
  for (const SlotOperation &Item : Message.Operations)
    submit(Item.Slot, Item.Change, Now,
           [](const OperationResult &, TimePoint) {});
}

void OperationRouter::onPeerUnreachable(const InstanceId &Peer, TimePoint Now) {
  std::vector<std::uint64_t> Lost;
  for (const auto &[Number, Batch] : Remote)
    if (Batch.To == Peer)
      Lost.push_back(Number);
  for (const std::uint64_t Number : Lost) {
    Deps.Timers.cancel(Remote.at(Number).Timeout);
    expire(Number, Now);
  }
}

CommitCounters OperationRouter::commitCounters() const {
  CommitCounters Sum;
  for (const auto &[Slot, Item] : Committers) {
    const CommitCounters &Counters = Item->counters();
    Sum.Commits += Counters.Commits;
    Sum.Operations += Counters.Operations;
    Sum.Repeated += Counters.Repeated;
    Sum.GivenUp += Counters.GivenUp;
    Sum.Busy += Counters.Busy;
  }
  return Sum;
}

std::size_t OperationRouter::waitingCommits() const {
  std::size_t Count = 0;
  for (const auto &[Slot, Item] : Committers)
    Count += Item->waiting();
  return Count;
}

Duration OperationRouter::oldestAge(TimePoint Now) const {
  return Pending.empty() ? Duration()
                         : Now - Pending.begin()->second.SubmittedAt;
}

void OperationRouter::suspect(const InstanceId &Peer, TimePoint Now) {
  SuspectedUntil[Peer] = Now + SuspectTime;
}

bool OperationRouter::suspected(const InstanceId &Peer, TimePoint Now) const {
  const auto Found = SuspectedUntil.find(Peer);
  return Found != SuspectedUntil.end() && Now < Found->second;
}

} // namespace bronzeward
