#include "bronzeward/src/Budget/SlotCommitter.h"

#include <algorithm>
#include <iterator>

namespace bronzeward {

/// Bills that stay in the head record when older ones move to a segment.
constexpr std::size_t KeptHeadBills = 64;
/// Segment references that stay in the head record when older ones move to an
/// index.
constexpr std::size_t KeptHeadSegments = 64;
/// Burst size of the rate limit on commits.
constexpr int CommitBurst = 10;
/// Maximum backoff after the second conflict in a row, doubled with each
/// further one: about a read and a write of the store, so that one of several
/// committers succeeds.
constexpr Duration ConflictPause = 10ms;
constexpr int MaxConflictDoublings = 5;
/// Reads of the record in a row that may fail. What waits is sent to another
/// committer where one is given up, although a single reply may have been lost.
constexpr int LoadTries = 2;
/// Conflicts in a row that indicate a faster committer on the slot; one or two
/// may be coincidence.
constexpr int ConflictsToYield = 3;
/// Maximum operations in one write; as many bills of 500 bytes stay well below
/// the store's limit of one megabyte for a value.
constexpr std::size_t MaxBatch = 1024;

std::string slotKey(SlotId Slot) {
  return "bronzeward/ledger/" + std::to_string(Slot.Index);
}

std::string segmentKey(SlotId Slot, const std::string &Id) {
  return slotKey(Slot) + "/segment/" + Id;
}

/// \returns whether the result depends on the record being current.
static bool needsCurrentRecord(const OperationResult &Outcome) {
  return Outcome.Status == OperationStatus::Insufficient ||
         Outcome.Status == OperationStatus::Fenced ||
         Outcome.Status == OperationStatus::ClaimHeld ||
         Outcome.Status == OperationStatus::Rejected;
}

/// \returns whether the operation may wait for the commit interval.
static bool mayWaitForInterval(const Operation &Change) {
  const DrawGrant *Draw = std::get_if<DrawGrant>(&Change);
  // No request waits for a refill; its minimum is one micro-unit at most.
  const bool Refill = Draw != nullptr && Draw->Minimum <= Money(1);
  return Refill || std::holds_alternative<CommitBill>(Change) ||
         std::holds_alternative<ReturnGrant>(Change);
}

/// \returns whether the result depends on the billed keys in segments.
static bool needsOlderKeys(const Operation &Change) {
  return std::holds_alternative<CommitBill>(Change) ||
         std::holds_alternative<OpenClaim>(Change);
}

SlotCommitter::SlotCommitter(SlotId CommittedSlot, StoreClient &Client,
                             TimerQueue &EventTimers, Random &Generator,
                             const BudgetPolicy &Settings)
    : Slot(CommittedSlot), Store(Client), Timers(EventTimers),
      Source(Generator), Policy(Settings) {}

void SlotCommitter::submit(Operation Change, TimePoint Now, Handler Done) {
  Queue.push_back({std::move(Change), std::move(Done), std::nullopt});
  tryStart(Now);
}

const SlotRecord *SlotCommitter::record() const {
  return Loaded && Ledger ? &Ledger->record() : nullptr;
}

bool SlotCommitter::urgent() const {
  return std::any_of(Queue.begin(), Queue.end(), [](const Queued &Item) {
    return !mayWaitForInterval(Item.Change);
  });
}

TimePoint SlotCommitter::nextAllowed() const {
  if (urgent())
    return LastCommitStart + UrgentInterval;
  return TheoreticalArrival - CommitBurst * Policy.CommitInterval;
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
  LastCommitStart = Now;
  Validated = false;
  if (Loaded)
    applyBatch(Now);
  else
    load(Now);
}

template <typename List>
std::vector<SlotCommitter::Queued> SlotCommitter::extractKeyed(List &From) {
  const auto FirstKeyed =
      std::stable_partition(From.begin(), From.end(), [](const Queued &Item) {
        return !needsOlderKeys(Item.Change);
      });
  std::vector<Queued> Extracted(std::make_move_iterator(FirstKeyed),
                                std::make_move_iterator(From.end()));
  From.erase(FirstKeyed, From.end());
  return Extracted;
}

void SlotCommitter::takeBatch() {
  // After a restart, reading the segments takes far longer than reading the
  // head. Operations that need no keys, such as draws, do not wait for it.
  const bool KeysKnown = Loaded && missingSegment() == nullptr;
  std::vector<Queued> Postponed;
  if (!KeysKnown)
    Postponed = extractKeyed(Queue);
  // Requests wait for urgent operations, which a backlog of bills must not
  // delay.
  std::stable_partition(Queue.begin(), Queue.end(), [](const Queued &Item) {
    return !mayWaitForInterval(Item.Change);
  });
  const auto End = Queue.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(Queue.size(), MaxBatch));
  Batch.assign(std::make_move_iterator(Queue.begin()),
               std::make_move_iterator(End));
  Queue.erase(Queue.begin(), End);
  Queue.insert(Queue.end(), std::make_move_iterator(Postponed.begin()),
               std::make_move_iterator(Postponed.end()));
}

void SlotCommitter::postponeKeyedOperations() {
  std::vector<Queued> Postponed = extractKeyed(Batch);
  Queue.insert(Queue.begin(), std::make_move_iterator(Postponed.begin()),
               std::make_move_iterator(Postponed.end()));
}

const SegmentReference *SlotCommitter::missingSegment() const {
  const std::vector<SegmentReference> &Listed = Ledger->record().Segments;
  const std::size_t FirstRetained = Listed.size() - retainedSegments(Listed);
  for (std::size_t Index = FirstRetained; Index < Listed.size(); ++Index)
    if (!SegmentKeys->contains(Listed[Index].Id))
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
    retryLoad(Now);
    return;
  }
  FailedLoads = 0;
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
  NewSegments.clear();
  SegmentKeys->retain(Head.Segments);
  Ledger = std::make_unique<SlotLedger>(std::move(Head), SegmentKeys,
                                        Policy.MaxGrantedFraction);
  Loaded = true;
  Validated = true;
  if (missingSegment() != nullptr) {
    postponeKeyedOperations();
    fetchKeys(Now);
  }
  applyBatch(Now);
}

void SlotCommitter::retryLoad(TimePoint Now) {
  if (++FailedLoads < LoadTries && Store.available(Now)) {
    load(Now);
    return;
  }
  FailedLoads = 0;
  giveUp(Now);
}

std::size_t SlotCommitter::retainedSegments(
    const std::vector<SegmentReference> &Listed) const {
  if (Listed.empty())
    return 0;
  const std::chrono::milliseconds Retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Policy.KeyRetention);
  const WallTime Oldest = Listed.back().Newest - Retention;
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
    giveUpKeyedOperations(Now);
    return;
  }
  const Result<Segment> Decoded =
      decodeSegment(Reply.Entries.front().Value, Id);
  if (!Decoded) {
    giveUpKeyedOperations(Now);
    return;
  }
  SegmentKeys->insert(Id, Decoded.value());
  fetchKeys(Now);
  tryStart(Now);
}

void SlotCommitter::giveUpKeyedOperations(TimePoint Now) {
  for (const Queued &Item : extractKeyed(Queue))
    Item.Done(std::nullopt, Now);
}

void SlotCommitter::applyBatch(TimePoint Now) {
  bool Changed = false;
  bool NeedsCurrentRecord = false;
  for (Queued &Item : Batch) {
    Item.Outcome = Ledger->apply(Item.Change);
    Changed = Changed || Item.Outcome->Status == OperationStatus::Applied;
    NeedsCurrentRecord =
        NeedsCurrentRecord || needsCurrentRecord(*Item.Outcome);
  }
  if (Changed) {
    writeSegment(Now);
    return;
  }
  if (NeedsCurrentRecord && !Validated) {
    // Another instance may have topped up, returned or released since the
    // record was read.
    Loaded = false;
    load(Now);
    return;
  }
  finish(Now);
}

std::string SlotCommitter::newId() {
  return std::to_string(Ledger->record().NextOrder) + "-" +
         std::to_string(Source.below(1ULL << 62U));
}

void SlotCommitter::writeSegment(TimePoint Now) {
  if (Ledger->record().Bills.size() <= Policy.MaxHeadBills) {
    writeIndex(Now);
    return;
  }
  const std::string Id = newId();
  const Segment &Moved = NewSegments[Id] = Ledger->rollBills(KeptHeadBills, Id);
  Store.call(CompareAndSwap{segmentKey(Slot, Id), encodeSegment(Moved), 0,
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
  const std::size_t KeptSegments =
      std::max(KeptHeadSegments, retainedSegments(Listed));
  if (Listed.size() <= std::max(Policy.MaxHeadSegments, KeptSegments)) {
    writeHead(Now);
    return;
  }
  const std::string Id = newId();
  const SegmentIndex Moved = Ledger->rollSegments(KeptSegments, Id);
  Store.call(CompareAndSwap{segmentKey(Slot, Id), encodeSegmentIndex(Moved), 0,
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
    // Capped, so that many urgent commits do not delay bills for long.
    TheoreticalArrival =
        std::min(std::max(TheoreticalArrival, Now) + Policy.CommitInterval,
                 Now + (CommitBurst + 1) * Policy.CommitInterval);
    for (const auto &[Id, Written] : NewSegments)
      SegmentKeys->insert(Id, Written);
    NewSegments.clear();
    finish(Now);
    return;
  case StoreStatus::Conflict:
  case StoreStatus::Unknown:
    // Read back: applying an operation again shows whether it took effect.
    reload(Now);
    return;
  case StoreStatus::Unavailable:
    giveUp(Now);
    return;
  }
}

void SlotCommitter::reload(TimePoint Now) {
  Loaded = false;
  ++Counters.Repeated;
  const int Doublings = std::min(Conflicts++, MaxConflictDoublings);
  if (Yielding && Conflicts >= ConflictsToYield) {
    Conflicts = 0;
    giveUp(Now);
    return;
  }
  if (Doublings == 0) {
    load(Now);
    return;
  }
  const Duration MaxPause = ConflictPause * (1 << Doublings);
  Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(MaxPause * Source.unit()),
      [this](TimePoint At) { load(At); });
}

void SlotCommitter::finish(TimePoint Now) {
  Busy = false;
  std::vector<Queued> Finished;
  Finished.swap(Batch);
  ++Counters.Commits;
  Counters.Operations += Finished.size();
  Counters.Busy += Now - LastCommitStart;
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
  Counters.GivenUp += Failed.size();
  for (const Queued &Item : Failed)
    Item.Done(std::nullopt, Now);
}

} // namespace bronzeward
