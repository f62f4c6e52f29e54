#pragma once

#include "bronzeward/src/Budget/Membership.h"
#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Budget/SlotCommitter.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief Sends each operation to the committer of its slot, at this instance
/// or a peer, and retries until the result is known.
///
/// Retries are safe because operations are idempotent. If no committer answers,
/// this instance commits the operations itself.
class OperationRouter {
public:
  using Handler = std::function<void(const OperationResult &, TimePoint)>;

  /// Interfaces that the router depends on.
  struct Dependencies {
    StoreClient &Store;
    PeerPort &Peers;
    TimerQueue &Timers;
    Random &Source;
    const Membership &Members;
    const BudgetPolicy &Policy;
  };

  OperationRouter(InstanceId Name, Dependencies Interfaces);

  /// \brief Submits an operation; Done is called once, with its result.
  /// \returns the operation's number; zero if too many are pending.
  std::uint64_t submit(SlotId Slot, Operation Change, TimePoint Now,
                       Handler Done);

  /// \brief Drops an operation that was never sent anywhere.
  /// \returns whether it was dropped; if not, it may still take effect.
  bool withdraw(std::uint64_t Number);

  /// \brief Marks a pending bill's answer as released to its caller.
  void markAnswerReleased(std::uint64_t Number);

  void onSubmit(const InstanceId &From, const SubmitOperations &Message,
                TimePoint Now);
  void onResults(const InstanceId &From, const OperationResults &Message,
                 TimePoint Now);
  /// \brief Sends peers the pending operations that remain valid after this
  /// instance stops: bills whose answers were released, returns, and releases
  /// of claims. Each operation is sent once.
  void handOver(const std::vector<InstanceId> &To);
  /// \brief Takes over operations of a stopping peer.
  void onHandover(const OperationsHandover &Message, TimePoint Now);
  /// \brief Called when the connection to a peer failed.
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now);

  /// \brief Called when the list of members was read: sends operations that
  /// waited for it.
  void onMembersUpdated(TimePoint Now);
  /// \brief Called when the store is reachable again: sends what waits for a
  /// retry at once, and stops skipping committers that the outage made fail.
  void onStoreRegained(TimePoint Now);

  /// \returns this instance's committer of a slot, created if missing.
  SlotCommitter &committer(SlotId Slot);

  [[nodiscard]] std::size_t pending() const { return Pending.size(); }
  /// \returns the counts of this instance's commits over all slots.
  [[nodiscard]] CommitCounters commitCounters() const;
  /// \returns the number of operations that wait for a commit here.
  [[nodiscard]] std::size_t waitingCommits() const;
  /// \returns the age of the oldest pending operation; zero if there is none.
  [[nodiscard]] Duration oldestAge(TimePoint Now) const;

private:
  struct PendingOperation {
    SlotId Slot;
    Operation Change;
    Handler Done;
    TimePoint SubmittedAt;
    bool EverSent = false;
    bool HandedOver = false;
  };
  /// Numbers of operations to send, and of those that wait for a retry.
  struct SlotOutbox {
    std::vector<std::uint64_t> Numbers;
    /// Time of the next scheduled flush.
    std::optional<TimePoint> NextFlush;
    std::vector<std::uint64_t> Backlog;
    bool RetryScheduled = false;
    int Failures = 0;
    /// Batches of deferrable operations that a peer has not confirmed.
    std::size_t DeferrableInFlight = 0;
    /// Largest number of operations in the next message.
    std::size_t BatchLimit = MinBatch;
  };
  struct RemoteBatch {
    InstanceId To;
    SlotId Slot;
    std::vector<std::uint64_t> Numbers;
    TimerQueue::Handle Timeout;
    bool Deferrable = false;
  };
  struct ServedBatch;

  /// Number of operations in the first message to a peer and after one was
  /// lost. Each confirmed message doubles the next one, up to MaxBatch.
  static constexpr std::size_t MinBatch = 32;
  static constexpr std::size_t MaxBatch = 256;

  void enqueue(SlotId Slot, std::uint64_t Number, TimePoint Now);
  void scheduleFlush(SlotId Slot, TimePoint When);
  void flush(SlotId Slot, TimePoint Now);
  /// Sends operations to a peer in messages of limited size. Deferrable
  /// operations beyond the limit of unconfirmed messages stay in the outbox.
  void sendBatches(const InstanceId &To, SlotId Slot,
                   std::vector<std::uint64_t> Numbers, TimePoint Now);
  /// Updates the outbox after a peer confirmed or lost a batch.
  void onBatchEnded(const RemoteBatch &Batch, bool Delivered, TimePoint Now);
  /// \returns whether no request waits for the result of an operation.
  [[nodiscard]] bool deferrable(std::uint64_t Number) const;
  /// \returns whether operations wait because no member list with this instance
  /// was read yet. Without it, each instance of a starting fleet would commit
  /// by itself.
  [[nodiscard]] bool awaitingMembers(TimePoint Now);
  /// \returns the current committer of a slot: the first choice that is not
  /// suspected, or this instance. Instances whose first choice fails share the
  /// second; if each committed by itself, most commits would conflict.
  [[nodiscard]] InstanceId committerFor(SlotId Slot, TimePoint Now) const;
  /// \returns whether the store became reachable only recently, so a committer
  /// may not have noticed yet.
  [[nodiscard]] bool storeRecovered(TimePoint Now) const;
  /// \returns whether a call of this instance failed a moment ago, and none
  /// succeeded since.
  [[nodiscard]] bool storeFailedLately(TimePoint Now) const;
  void commitHere(SlotId Slot, const std::vector<std::uint64_t> &Numbers,
                  TimePoint Now);
  void sendTo(const InstanceId &To, SlotId Slot,
              const std::vector<std::uint64_t> &Numbers, bool Deferrable,
              TimePoint Now);
  void finish(std::uint64_t Number, const OperationResult &Outcome,
              TimePoint Now);
  void retryLater(std::uint64_t Number, TimePoint Now);
  /// Sends operations that wait for a retry.
  void flushBacklog(SlotId Slot, TimePoint Now);
  void expire(std::uint64_t BatchNumber, TimePoint Now);
  /// Called when a committer could not reach the store.
  void onNotCommitted(const RemoteBatch &Batch, TimePoint Now);
  /// Suspects the committer of a batch and sends the batch to the next choice.
  void sendToNextChoice(const RemoteBatch &Batch, TimePoint Now);
  void suspect(const InstanceId &Peer, TimePoint Now);
  [[nodiscard]] bool suspected(const InstanceId &Peer, TimePoint Now) const;

  InstanceId Self;
  Dependencies Deps;
  std::map<std::uint64_t, PendingOperation> Pending;
  std::map<SlotId, SlotOutbox> Outboxes;
  std::map<SlotId, std::unique_ptr<SlotCommitter>> Committers;
  std::map<std::uint64_t, RemoteBatch> Remote;
  std::map<InstanceId, TimePoint> SuspectedUntil;
  /// Time of the first submitted operation.
  std::optional<TimePoint> FirstSubmit;
  std::uint64_t LastNumber = 0;
  std::uint64_t LastBatch = 0;
};

} // namespace bronzeward
