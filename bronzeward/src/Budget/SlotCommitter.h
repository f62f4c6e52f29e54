#pragma once

#include "bronzeward/Ledger"
#include "bronzeward/Store"
#include "bronzeward/src/Config/BudgetPolicy.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \returns the store key of a slot's head record.
[[nodiscard]] std::string slotKey(SlotId Slot);

/// \ingroup Budget
/// \returns the store key of a segment or segment index.
[[nodiscard]] std::string segmentKey(SlotId Slot, const std::string &Id);

/// \ingroup Budget
/// \brief Counts of an instance's commits since its start.
struct CommitCounters {
  std::uint64_t Commits = 0;
  /// Operations in these commits.
  std::uint64_t Operations = 0;
  /// Commits that another instance's write or a lost reply made repeat.
  std::uint64_t Repeated = 0;
  /// Operations that were given up with an unknown effect.
  std::uint64_t GivenUp = 0;
  /// Sum of the times from the start of each commit to its end.
  Duration Busy{};
};

/// \ingroup Budget
/// \brief Group commit for one slot: one compare-and-swap writes all queued
/// operations.
///
/// Several instances may commit to a slot concurrently. They conflict, and the
/// compare-and-swap keeps the record consistent.
class SlotCommitter {
public:
  /// Receives the result, or nothing if the batch was given up and the effect
  /// of the operation is unknown.
  using Handler =
      std::function<void(const std::optional<OperationResult> &, TimePoint)>;

  SlotCommitter(SlotId CommittedSlot, StoreClient &Client,
                TimerQueue &EventTimers, Random &Generator,
                const BudgetPolicy &Settings);
  SlotCommitter(const SlotCommitter &) = delete;
  SlotCommitter &operator=(const SlotCommitter &) = delete;

  /// \brief Queues an operation for the next commit. Bills, returns and refills
  /// wait for the commit interval; other operations are urgent.
  void submit(Operation Change, TimePoint Now, Handler Done);

  /// \brief Sets the minimum time between two commits of urgent operations.
  void setUrgentInterval(Duration Time) { UrgentInterval = Time; }

  /// \brief Sets whether another instance is expected to commit for this slot.
  /// If so, this one gives up its batch after several conflicts in a row, for
  /// the caller to send it to the other instance.
  void setYielding(bool Value) { Yielding = Value; }

  /// \returns the record as last read or written; null if none is loaded.
  [[nodiscard]] const SlotRecord *record() const;
  [[nodiscard]] std::size_t waiting() const { return Queue.size(); }
  [[nodiscard]] const CommitCounters &counters() const { return Counters; }

private:
  struct Queued {
    Operation Change;
    Handler Done;
    std::optional<OperationResult> Outcome;
  };

  /// \returns whether the queue holds an operation that must not wait for the
  /// commit interval.
  [[nodiscard]] bool urgent() const;
  /// \returns the earliest start of the next commit.
  [[nodiscard]] TimePoint nextAllowed() const;
  void tryStart(TimePoint Now);
  void load(TimePoint Now);
  /// Reads the record again after a failed read, or gives up.
  void retryLoad(TimePoint Now);
  void onHead(const StoreReply &Reply, TimePoint Now);
  /// \returns the number of newest segments within the key retention time.
  [[nodiscard]] std::size_t
  retainedSegments(const std::vector<SegmentReference> &Listed) const;
  /// Removes and returns operations that need the keys of segments, in order.
  template <typename List>
  [[nodiscard]] static std::vector<Queued> extractKeyed(List &From);
  /// Moves operations from the queue to the batch.
  void takeBatch();
  /// \returns the first segment within the key retention time whose keys are
  /// not loaded yet, or null.
  [[nodiscard]] const SegmentReference *missingSegment() const;
  /// Moves operations that need keys not loaded yet back to the queue.
  void postponeKeyedOperations();
  /// Reads the missing segments one by one, concurrently with commits.
  void fetchKeys(TimePoint Now);
  /// Reports unknown effects for operations that wait for keys.
  void giveUpKeyedOperations(TimePoint Now);
  void onSegment(const std::string &Id, const StoreReply &Reply, TimePoint Now);
  void applyBatch(TimePoint Now);
  void writeSegment(TimePoint Now);
  void writeIndex(TimePoint Now);
  void writeHead(TimePoint Now);
  void onWritten(const StoreReply &Reply, TimePoint Now);
  /// Reports the results of the batch.
  void finish(TimePoint Now);
  /// Reports unknown effects for the batch and the queue.
  void giveUp(TimePoint Now);
  /// Reads the record again after a conflict or a lost reply.
  void reload(TimePoint Now);
  void wakeAt(TimePoint When);
  [[nodiscard]] std::string newId();

  SlotId Slot;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Source;
  const BudgetPolicy &Policy;

  std::deque<Queued> Queue;
  std::vector<Queued> Batch;
  std::unique_ptr<SlotLedger> Ledger;
  /// Keys of the segments; kept on reload because segments are immutable.
  std::shared_ptr<BilledKeys> SegmentKeys = std::make_shared<BilledKeys>();
  /// Segments written for the current batch; added to SegmentKeys once the
  /// head record is durable.
  std::map<std::string, Segment> NewSegments;
  std::uint64_t Revision = 0;
  /// Whether Ledger matches the last known stored record.
  bool Loaded = false;
  /// Whether the record was read or written since the batch began.
  bool Validated = false;
  bool Busy = false;
  /// Conflicts with other committers in a row.
  int Conflicts = 0;
  /// Reads of the record in a row that failed.
  int FailedLoads = 0;
  /// Whether a segment is being read.
  bool Fetching = false;
  bool Yielding = false;
  CommitCounters Counters;
  Duration UrgentInterval{};
  /// Start of the last commit.
  TimePoint LastCommitStart;
  /// Theoretical arrival time of the next commit under the rate limit: one
  /// commit an interval, with bursts of CommitBurst.
  TimePoint TheoreticalArrival;
  std::optional<TimerQueue::Handle> Wake;
};

} // namespace bronzeward
