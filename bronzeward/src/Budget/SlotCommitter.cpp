#include "bronzeward/src/Budget/SlotCommitter.h"

#include <algorithm>
#include <iterator>

namespace bronzeward {

/// Bills that stay in the head record after a roll.
constexpr std::size_t KeptHeadBills = 64;
/// Segment references that stay in the head record after a roll.
constexpr std::size_t KeptHeadSegments = 64;
/// Commits that an idle slot may make at once, before the interval holds.
constexpr int CommitBurst = 10;
/// Longest pause after a second conflict in a row, doubled with each further
/// one: about a read and a write of the store, so that of several committers
/// one gets through.
constexpr Duration ConflictPause = 10ms;
constexpr int MaxConflictDoublings = 5;
/// Conflicts in a row that show another committer at work, faster than this
/// instance: one or two may be chance.
constexpr int ConflictsToYield = 3;
/// Operations committed by one write at most; as many bills of 500 bytes stay
/// well under the megabyte that the store takes.
constexpr std::size_t MaxBatch = 1024;

std::string slotKey(SlotId Slot) {
  return "bronzeward/ledger/" + std::to_string(Slot.Index);
}

std::string segmentKey(SlotId Slot, const std::string &Id) {
  return slotKey(Slot) + "/segment/" + Id;
}

/// \returns whether the result holds only for the record's present state.
static bool needsCurrentRecord(const OperationResult &Outcome) {
  return Outcome.Status == OperationStatus::Insufficient ||
         Outcome.Status == OperationStatus::Fenced ||
         Outcome.Status == OperationStatus::ClaimHeld ||
         Outcome.Status == OperationStatus::Rejected;
}

/// \returns whether the operation may wait for the commit interval.
static bool mayWait(const Operation &Change) {
  const DrawGrant *Draw = std::get_if<DrawGrant>(&Change);
  // A refill, which no request waits for, states no minimum of its own.
  const bool Refill = Draw != nullptr && Draw->Minimum <= Money(1);
  return Refill || std::holds_alternative<CommitBill>(Change) ||
         std::holds_alternative<ReturnGrant>(Change);
}

/// \returns whether the result depends on the keys of older segments.
static bool needsOlderKeys(const Operation &Change) {
  return std::holds_alternative<CommitBill>(Change) ||
         std::holds_alternative<OpenClaim>(Change);
}

SlotCommitter::SlotCommitter(SlotId Number, StoreClient &Client,
                             TimerQueue &Pending, Random &Seeded,
                             const BudgetPolicy &Settings)
    : Slot(Number), Store(Client), Timers(Pending), Source(Seeded),
      Policy(Settings) {}

void SlotCommitter::submit(Operation Change, TimePoint Now, Handler Done) {
  Queue.push_back({std::move(Change), std::move(Done), std::nullopt});
  tryStart(Now);
}

const SlotRecord *SlotCommitter::record() const {
  return Loaded && Ledger ? &Ledger->record() : nullptr;
}

bool SlotCommitter::urgent() const {
  return std::any_of(Queue.begin(), Queue.end(),
                     [](const Queued &Item) { return !mayWait(Item.Change); });
}

TimePoint SlotCommitter::nextAllowed() const {
  if (urgent())
    return BeganAt + UrgentInterval;
  return UsedUntil - CommitBurst * Policy.CommitInterval;
}

void SlotCommitter::wakeAt(TimePoint When) {
  if (Wake)
    Timers.cancel(*Wake);
  Wake = Timers.schedule(When, [this](TimePoint At) {
    Wake.reset();
    tryStart(At);
  });
}

void SlotCommitter::tryStart(TimePoint Now) {
  if (Busy || Queue.empty())
    return;
  const TimePoint Allowed = nextAllowed();
  if (Now < Allowed) {
    if (!Wake || Allowed < Wake->When)
      wakeAt(Allowed);
    return;
  }
  takeBatch();
  if (Loaded && Batch.empty()) {
    fetchKeys(Now);
    return;
  }
  Busy = true;
  BeganAt = Now;
  Validated = false;
  if (Loaded)
    applyBatch(Now);
  else
    load(Now);
}

template <typename List>
std::vector<SlotCommitter::Queued> SlotCommitter::takeKeyed(List &From) {
  const auto Keyed =
      std::stable_partition(From.begin(), From.end(), [](const Queued &Item) {
        return !needsOlderKeys(Item.Change);
      });
  std::vector<Queued> Taken(std::make_move_iterator(Keyed),
                            std::make_move_iterator(From.end()));
  From.erase(Keyed, From.end());
  return Taken;
}

void SlotCommitter::takeBatch() {
  // After a start the segments take far longer to read than the head; what
  // needs no key, such as a draw that requests wait for, does not wait.
  const bool KeysKnown = Loaded && missingSegment() == nullptr;
  std::vector<Queued> Later;
  if (!KeysKnown)
    Later = takeKeyed(Queue);
  const auto End = Queue.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(Queue.size(), MaxBatch));
  Batch.assign(std::make_move_iterator(Queue.begin()),
               std::make_move_iterator(End));
  Queue.erase(Queue.begin(), End);
  Queue.insert(Queue.end(), std::make_move_iterator(Later.begin()),
               std::make_move_iterator(Later.end()));
}

void SlotCommitter::postponeKeyed() {
  std::vector<Queued> Later = takeKeyed(Batch);
  Queue.insert(Queue.begin(), std::make_move_iterator(Later.begin()),
               std::make_move_iterator(Later.end()));
}

const SegmentReference *SlotCommitter::missingSegment() const {
  const std::vector<SegmentReference> &Listed = Ledger->record().Segments;
  const std::size_t First = Listed.size() - retained(Listed);
  for (std::size_t Index = First; Index < Listed.size(); ++Index)
    if (!Older->contains(Listed[Index].Id))
      return &Listed[Index];
  return nullptr;
}

void SlotCommitter::load(TimePoint Now) {
  Store.call(
      ReadKey{slotKey(Slot)}, Now,
      [this](const StoreReply &Reply, TimePoint At) { onHead(Reply, At); });
}

void SlotCommitter::onHead(const StoreReply &Reply, TimePoint Now) {
  if (Reply.Status != StoreStatus::Ok) {
    giveUp(Now);
    return;
  }
  SlotRecord Head;
  Head.Slot = Slot;
  Revision = 0;
  if (!Reply.Entries.empty()) {
    Result<SlotRecord> Decoded =
        decodeSlotRecord(Reply.Entries.front().Value, slotKey(Slot));
    if (!Decoded) {
      giveUp(Now);
      return;
    }
    Head = std::move(Decoded).value();
    Revision = Reply.Entries.front().Revision;
  }
  Rolled.clear();
  Older->retain(Head.Segments);
  Ledger = std::make_unique<SlotLedger>(std::move(Head), Older);
  Loaded = true;
  Validated = true;
  if (missingSegment() != nullptr) {
    postponeKeyed();
    fetchKeys(Now);
  }
  applyBatch(Now);
}

std::size_t
SlotCommitter::retained(const std::vector<SegmentReference> &Listed) const {
  if (Listed.empty())
    return 0;
  const std::chrono::milliseconds Kept =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Policy.KeyRetention);
  const WallTime Oldest = Listed.back().Newest - Kept;
  return static_cast<std::size_t>(std::count_if(
      Listed.begin(), Listed.end(), [Oldest](const SegmentReference &Item) {
        return Item.Newest >= Oldest;
      }));
}

void SlotCommitter::fetchKeys(TimePoint Now) {
  const SegmentReference *Missing = Loaded ? missingSegment() : nullptr;
  if (Fetching || Missing == nullptr)
    return;
  Fetching = true;
  Store.call(ReadKey{segmentKey(Slot, Missing->Id)}, Now,
             [this, Id = Missing->Id](const StoreReply &Reply, TimePoint At) {
               onSegment(Id, Reply, At);
             });
}

void SlotCommitter::onSegment(const std::string &Id, const StoreReply &Reply,
                              TimePoint Now) {
  Fetching = false;
  if (Reply.Status != StoreStatus::Ok || Reply.Entries.empty()) {
    giveUpKeyed(Now);
    return;
  }
  const Result<Segment> Part = decodeSegment(Reply.Entries.front().Value, Id);
  if (!Part) {
    giveUpKeyed(Now);
    return;
  }
  Older->insert(Id, Part.value());
  fetchKeys(Now);
  tryStart(Now);
}

void SlotCommitter::giveUpKeyed(TimePoint Now) {
  for (const Queued &Item : takeKeyed(Queue))
    Item.Done(std::nullopt, Now);
}

void SlotCommitter::applyBatch(TimePoint Now) {
  bool Changed = false;
  bool Doubtful = false;
  for (Queued &Item : Batch) {
    Item.Outcome = Ledger->apply(Item.Change);
    Changed = Changed || Item.Outcome->Status == OperationStatus::Applied;
    Doubtful = Doubtful || needsCurrentRecord(*Item.Outcome);
  }
  if (Changed) {
    writeSegment(Now);
    return;
  }
  if (Doubtful && !Validated) {
    // Someone else may have topped up, returned or released since.
    Loaded = false;
    load(Now);
    return;
  }
  finish(Now);
}

std::string SlotCommitter::freshId() {
  return std::to_string(Ledger->record().NextOrder) + "-" +
         std::to_string(Source.below(1ULL << 62U));
}

void SlotCommitter::writeSegment(TimePoint Now) {
  if (Ledger->record().Bills.size() <= Policy.MaxHeadBills) {
    writeIndex(Now);
    return;
  }
  const std::string Id = freshId();
  const Segment &Part = Rolled[Id] = Ledger->rollBills(KeptHeadBills, Id);
  Store.call(CompareAndSwap{segmentKey(Slot, Id), encodeSegment(Part), 0,
                            StoreLeaseId{}},
             Now, [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Ok)
                 writeIndex(At);
               else
                 giveUp(At);
             });
}

void SlotCommitter::writeIndex(TimePoint Now) {
  const std::vector<SegmentReference> &Listed = Ledger->record().Segments;
  const std::size_t Keep = std::max(KeptHeadSegments, retained(Listed));
  if (Listed.size() <= std::max(Policy.MaxHeadSegments, Keep)) {
    writeHead(Now);
    return;
  }
  const std::string Id = freshId();
  const SegmentIndex Part = Ledger->rollSegments(Keep, Id);
  Store.call(CompareAndSwap{segmentKey(Slot, Id), encodeSegmentIndex(Part), 0,
                            StoreLeaseId{}},
             Now, [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status == StoreStatus::Ok)
                 writeHead(At);
               else
                 giveUp(At);
             });
}

void SlotCommitter::writeHead(TimePoint Now) {
  Store.call(CompareAndSwap{slotKey(Slot), encodeSlotRecord(Ledger->record()),
                            Revision, StoreLeaseId{}},
             Now, [this](const StoreReply &Reply, TimePoint At) {
               onWritten(Reply, At);
             });
}

void SlotCommitter::onWritten(const StoreReply &Reply, TimePoint Now) {
  switch (Reply.Status) {
  case StoreStatus::Ok:
    Conflicts = 0;
    Revision = Reply.Revision;
    // Commits for urgent operations must not push bills out for long.
    UsedUntil = std::min(std::max(UsedUntil, Now) + Policy.CommitInterval,
                         Now + (CommitBurst + 1) * Policy.CommitInterval);
    for (const auto &[Id, Part] : Rolled)
      Older->insert(Id, Part);
    Rolled.clear();
    finish(Now);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::Unknown:
    // Read back: each operation tells by itself whether it took effect.
    reload(Now);
    return;
  case StoreStatus::Unavailable:
    giveUp(Now);
    return;
  }
}

void SlotCommitter::reload(TimePoint Now) {
  Loaded = false;
  const int Earlier = std::min(Conflicts++, MaxConflictDoublings);
  if (Yielding && Conflicts >= ConflictsToYield) {
    Conflicts = 0;
    giveUp(Now);
    return;
  }
  if (Earlier == 0) {
    load(Now);
    return;
  }
  const Duration Longest = ConflictPause * (1 << Earlier);
  Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(Longest * Source.unit()),
      [this](TimePoint At) { load(At); });
}

void SlotCommitter::finish(TimePoint Now) {
  Busy = false;
  std::vector<Queued> Finished;
  Finished.swap(Batch);
  for (const Queued &Item : Finished)
    Item.Done(Item.Outcome, Now);
  tryStart(Now);
}

void SlotCommitter::giveUp(TimePoint Now) {
  Loaded = false;
  Busy = false;
  std::vector<Queued> Failed;
  Failed.swap(Batch);
  for (Queued &Item : Queue)
    Failed.push_back(std::move(Item));
  Queue.clear();
  for (const Queued &Item : Failed)
    Item.Done(std::nullopt, Now);
}

} // namespace bronzeward
