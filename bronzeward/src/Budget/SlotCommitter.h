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
/// \brief Commits operations on one slot in groups: one compare-and-swap for
/// all that wait.
///
/// Any number of committers may work on a slot at once; they contend, and the
/// compare-and-swap keeps the record right.
class SlotCommitter {
public:
  /// Receives the result, or nothing where the store could not be reached and
  /// the effect is unknown.
  using Handler =
      std::function<void(const std::optional<OperationResult> &, TimePoint)>;

  SlotCommitter(SlotId Number, StoreClient &Client, TimerQueue &Pending,
                Random &Seeded, const BudgetPolicy &Settings);
  SlotCommitter(const SlotCommitter &) = delete;
  SlotCommitter &operator=(const SlotCommitter &) = delete;

  /// \brief Queues an operation for the next commit. Bills wait for the
  /// commit interval; all else is committed as soon as the store answers.
  void submit(Operation Change, TimePoint Now, Handler Done);

  /// \brief Sets the time between two commits that requests wait for.
  void setUrgentInterval(Duration Time) { UrgentInterval = Time; }

  /// \brief Sets whether another instance is to commit for this slot: batches
  /// are given up, to be sent elsewhere, after some conflicts in
  /// a row, which show that it does.
  void setYielding(bool Value) { Yielding = Value; }

  /// \returns the record as last read or written, or null.
  [[nodiscard]] const SlotRecord *record() const;
  [[nodiscard]] std::size_t waiting() const { return Queue.size(); }

private:
  struct Queued {
    Operation Change;
    Handler Done;
    std::optional<OperationResult> Outcome;
  };

  [[nodiscard]] bool urgent() const;
  /// \returns when the next commit may start.
  [[nodiscard]] TimePoint nextAllowed() const;
  void tryStart(TimePoint Now);
  void load(TimePoint Now);
  void onHead(const StoreReply &Reply, TimePoint Now);
  /// \returns how many of the newest segments hold keys to be remembered.
  [[nodiscard]] std::size_t
  retained(const std::vector<SegmentReference> &Listed) const;
  /// Takes out what needs the keys of older segments, in order.
  template <typename List>
  [[nodiscard]] static std::vector<Queued> takeKeyed(List &From);
  /// Moves operations from the queue to the batch.
  void takeBatch();
  /// \returns the first segment whose keys are to be remembered and are not
  /// known yet, or null.
  [[nodiscard]] const SegmentReference *missingSegment() const;
  /// Puts back what needs keys that a newer record turned out to miss.
  void postponeKeyed();
  /// Reads the missing segments one after the other, beside the commits.
  void fetchKeys(TimePoint Now);
  /// Ends what waits for keys, with its effect unknown.
  void giveUpKeyed(TimePoint Now);
  void onSegment(const std::string &Id, const StoreReply &Reply, TimePoint Now);
  void applyBatch(TimePoint Now);
  void writeSegment(TimePoint Now);
  void writeIndex(TimePoint Now);
  void writeHead(TimePoint Now);
  void onWritten(const StoreReply &Reply, TimePoint Now);
  void finish(TimePoint Now);
  void giveUp(TimePoint Now);
  /// Reads the record again after another committer changed it.
  void reload(TimePoint Now);
  void wakeAt(TimePoint When);
  [[nodiscard]] std::string freshId();

  SlotId Slot;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Source;
  const BudgetPolicy &Policy;

  std::deque<Queued> Queue;
  std::vector<Queued> Batch;
  std::unique_ptr<SlotLedger> Ledger;
  /// Keys of the segments; outlives reloads, since segments do not change.
  std::shared_ptr<BilledKeys> Older = std::make_shared<BilledKeys>();
  /// Segments written for the batch under way, known once it is durable.
  std::map<std::string, Segment> Rolled;
  std::uint64_t Revision = 0;
  /// Whether Ledger equals the stored record as far as known.
  bool Loaded = false;
  /// Whether the record was read or written since the batch began.
  bool Validated = false;
  bool Busy = false;
  /// Conflicts with other committers in a row.
  int Conflicts = 0;
  /// Whether a segment is being read.
  bool Fetching = false;
  bool Yielding = false;
  Duration UrgentInterval{};
  /// When the last commit began.
  TimePoint BeganAt;
  /// Time up to which commits have used their share of the store.
  TimePoint UsedUntil;
  std::optional<TimerQueue::Handle> Wake;
};

} // namespace bronzeward
