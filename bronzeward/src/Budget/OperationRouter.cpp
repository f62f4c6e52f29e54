#include "bronzeward/src/Budget/OperationRouter.h"

#include <algorithm>

namespace bronzeward {

/// Time for which operations to a peer are gathered into one message.
constexpr Duration ForwardDelay = 2ms;
/// How long a committer that failed is passed over.
constexpr Duration SuspicionTime = 2s;
/// Instances that are asked to commit for a slot before this one does. In a
/// small fleet a second silent one would cost more than some conflicts.
constexpr std::size_t CommitterChoices = 2;
/// Time after the store's return in which a committer that does not reach it is
/// asked again: the longest pause of its breaker, and a call's timeout.
constexpr Duration ReturnGrace = 2s;
/// First and longest pause before operations are tried again.
constexpr Duration MinRetry = 50ms;
constexpr Duration MaxRetry = 1s;
/// Time between two commits that requests wait for, for each member of a large
/// fleet: first
/// requests of many workspaces at many instances come close together, and each
/// commit is a counted call. At most as long as a caller hardly notices.
constexpr Duration UrgentIntervalPerMember = 1ms;
constexpr std::size_t MaxIntervalMembers = 80;
/// Longest wait of operations for the list of members.
constexpr Duration MaxHold = 2s;
/// Doublings of the pause.
constexpr int MaxDoublings = 5;

/// \brief A peer's batch while it is committed here.
struct OperationRouter::ServedBatch {
  InstanceId From;
  OperationResults Reply;
  std::size_t Missing = 0;
  bool Answered = false;
};

OperationRouter::OperationRouter(InstanceId Name, Surroundings Parts)
    : Self(std::move(Name)), Around(Parts) {}

std::uint64_t OperationRouter::submit(SlotId Slot, Operation Change,
                                      TimePoint Now, Handler Done) {
  if (Pending.size() >= Around.Policy.MaxPendingOperations)
    return 0;
  const std::uint64_t Number = ++LastNumber;
  Pending.emplace(Number, PendingOperation{Slot, std::move(Change),
                                           std::move(Done), false, false});
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
  std::unique_ptr<SlotCommitter> &Place = Committers[Slot];
  if (!Place)
    Place = std::make_unique<SlotCommitter>(Slot, Around.Store, Around.Timers,
                                            Around.Source, Around.Policy);
  const std::size_t Members = Around.Members.members().size();
  Place->setUrgentInterval(urgentInterval(Members));
  Place->setYielding(Members > SmallFleet &&
                     Around.Members.committerOf(Slot, Self) != Self);
  return *Place;
}

void OperationRouter::enqueue(SlotId Slot, std::uint64_t Number,
                              TimePoint Now) {
  SlotOutbox &Outbox = Outboxes[Slot];
  Outbox.Numbers.push_back(Number);
  const InstanceId To = committerFor(Slot, Now);
  if (To == Self) {
    flush(Slot, Now);
    return;
  }
  if (Outbox.FlushScheduled)
    return;
  Outbox.FlushScheduled = true;
  Around.Timers.schedule(Now + ForwardDelay, [this, Slot](TimePoint At) {
    Outboxes[Slot].FlushScheduled = false;
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
  if (holding(Now)) {
    for (const std::uint64_t Number : Numbers)
      retryLater(Number, Now);
    return;
  }
  const InstanceId To = committerFor(Slot, Now);
  if (To == Self)
    commitHere(Slot, Numbers, Now);
  else
    sendTo(To, Slot, Numbers, Now);
}

InstanceId OperationRouter::committerFor(SlotId Slot, TimePoint Now) const {
  const bool Small = Around.Members.members().size() <= SmallFleet;
  for (const InstanceId &Choice :
       Around.Members.committersOf(Slot, Small ? 1 : CommitterChoices))
    if (Choice == Self || !suspected(Choice, Now))
      return Choice;
  return Self;
}

bool OperationRouter::storeJustBack(TimePoint Now) const {
  const std::optional<TimePoint> Back = Around.Store.regainedAt();
  return Back && Now < *Back + ReturnGrace;
}

bool OperationRouter::holding(TimePoint Now) {
  if (!FirstAt)
    FirstAt = Now;
  return Around.Policy.AwaitMembers && Around.Members.find(Self) == nullptr &&
         Now < *FirstAt + MaxHold;
}

void OperationRouter::onListed(TimePoint Now) {
  std::vector<SlotId> Slots;
  for (const auto &[Slot, Outbox] : Outboxes)
    Slots.push_back(Slot);
  for (const SlotId Slot : Slots)
    if (!holding(Now))
      flushBacklog(Slot, Now);
}

void OperationRouter::commitHere(SlotId Slot,
                                 const std::vector<std::uint64_t> &Numbers,
                                 TimePoint Now) {
  if (!Around.Store.available(Now)) {
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
          // Given up with the store in reach: another instance commits, so the
          // ones that were passed over are worth asking again.
          if (!Around.Store.failingSince())
            SuspectedUntil.clear();
          retryLater(Number, At);
        });
  }
}

void OperationRouter::sendTo(const InstanceId &To, SlotId Slot,
                             const std::vector<std::uint64_t> &Numbers,
                             TimePoint Now) {
  SubmitOperations Message;
  Message.Number = ++LastBatch;
  Message.Slot = Slot;
  for (const std::uint64_t Number : Numbers) {
    PendingOperation &Item = Pending.at(Number);
    Item.EverSent = true;
    Message.Operations.push_back(Item.Change);
  }
  RemoteBatch Batch{To, Slot, Numbers, {}};
  Batch.Timeout = Around.Timers.schedule(
      Now + Around.Policy.CommitterTimeout,
      [this, Number = Message.Number](TimePoint At) { expire(Number, At); });
  Remote.emplace(Message.Number, std::move(Batch));
  Around.Peers.send(To, Message);
}

void OperationRouter::expire(std::uint64_t BatchNumber, TimePoint Now) {
  const auto Found = Remote.find(BatchNumber);
  if (Found == Remote.end())
    return;
  const RemoteBatch Batch = std::move(Found->second);
  Remote.erase(Found);
  passOver(Batch, Now);
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
  const Duration Longest =
      std::min(MaxRetry, MinRetry * (1 << Outbox.Failures));
  Outbox.Failures = std::min(Outbox.Failures + 1, MaxDoublings);
  const double Share = 0.5 + 0.5 * Around.Source.unit();
  Around.Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(Longest * Share),
      [this, Slot](TimePoint At) {
        Outboxes[Slot].RetryScheduled = false;
        flushBacklog(Slot, At);
      });
}

void OperationRouter::flushBacklog(SlotId Slot, TimePoint Now) {
  SlotOutbox &Ready = Outboxes[Slot];
  Ready.Numbers.insert(Ready.Numbers.end(), Ready.Backlog.begin(),
                       Ready.Backlog.end());
  Ready.Backlog.clear();
  flush(Slot, Now);
}

void OperationRouter::onStoreRegained(TimePoint Now) {
  SuspectedUntil.clear();
  for (auto &[Slot, Outbox] : Outboxes)
    Outbox.Failures = 0;
  onListed(Now);
}

void OperationRouter::onSubmit(const InstanceId &From,
                               const SubmitOperations &Message, TimePoint Now) {
  std::shared_ptr<ServedBatch> Batch = std::make_shared<ServedBatch>();
  Batch->From = From;
  Batch->Reply.Number = Message.Number;
  Batch->Reply.Results.resize(Message.Operations.size());
  Batch->Missing = Message.Operations.size();
  if (!Around.Store.available(Now)) {
    Batch->Reply.Results.clear();
    Around.Peers.send(From, Batch->Reply);
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
                  Batch->Answered = !Outcome || --Batch->Missing == 0;
                  Batch->Reply.Committed = Outcome.has_value();
                  if (Batch->Answered)
                    Around.Peers.send(Batch->From, Batch->Reply);
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
  Around.Timers.cancel(Batch.Timeout);
  if (!Message.Committed || Message.Results.size() != Batch.Numbers.size()) {
    onNotCommitted(Batch, Now);
    return;
  }
  for (std::size_t Index = 0; Index < Batch.Numbers.size(); ++Index)
    finish(Batch.Numbers[Index], Message.Results[Index], Now);
}

void OperationRouter::onNotCommitted(const RemoteBatch &Batch, TimePoint Now) {
  // The committer may only not know yet that the store is back.
  if (storeJustBack(Now)) {
    for (const std::uint64_t Number : Batch.Numbers)
      retryLater(Number, Now);
    return;
  }
  // Where the store fails here too, the committer is not at fault; passing it
  // over would have every instance write by itself on recovery.
  if (Around.Store.failingSince()) {
    commitHere(Batch.Slot, Batch.Numbers, Now);
    return;
  }
  passOver(Batch, Now);
}

void OperationRouter::passOver(const RemoteBatch &Batch, TimePoint Now) {
  suspect(Batch.To, Now);
  SlotOutbox &Outbox = Outboxes[Batch.Slot];
  Outbox.Numbers.insert(Outbox.Numbers.end(), Batch.Numbers.begin(),
                        Batch.Numbers.end());
  flush(Batch.Slot, Now);
}

/// \returns whether a peer may commit the operation after its sender is gone.
/// A draw would set budget aside for nobody.
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
    Around.Peers.send(Peer, Message);
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
    Around.Timers.cancel(Remote.at(Number).Timeout);
    expire(Number, Now);
  }
}

void OperationRouter::suspect(const InstanceId &Peer, TimePoint Now) {
  SuspectedUntil[Peer] = Now + SuspicionTime;
}

bool OperationRouter::suspected(const InstanceId &Peer, TimePoint Now) const {
  const auto Found = SuspectedUntil.find(Peer);
  return Found != SuspectedUntil.end() && Now < Found->second;
}

} // namespace bronzeward
