#pragma once

#include "bronzeward/src/Store/StoreClient.h"

#include <functional>
#include <optional>

namespace bronzeward {

/// \ingroup Store
/// \brief Receives the keys that a \ref StoreFollower reads.
class StoreFollowerListener {
public:
  virtual ~StoreFollowerListener() = default;
  /// \brief Called with every key under the prefix, as of a revision.
  virtual void onListed(const std::vector<StoreEntry> &Entries,
                        std::uint64_t Revision, TimePoint Now) = 0;
  /// \brief Called instead where the list could not be read to its end: keys
  /// that are missing may exist.
  /// \param Entries in the order of their revisions.
  virtual void onListedInPart(const std::vector<StoreEntry> &Entries,
                              TimePoint Now) = 0;
  /// \brief Called when one key was changed or deleted.
  virtual void onChanged(const StoreEntry &Entry, TimePoint Now) = 0;
};

/// \ingroup Store
/// \brief Follows every key under a prefix by one list and then watches.
///
/// Lists again after a gap in the history, a failed call or a watch without a
/// reply in time, since a connection may stall without an error. Contact counts
/// as lost when a list fails. A truncated list is watched like a whole one, and
/// read again after some time.
class StoreFollower {
public:
  /// \param Wait longest wait of one watch; it limits how long a stalled
  /// connection goes unnoticed.
  StoreFollower(std::string KeyPrefix, std::chrono::milliseconds Wait,
                StoreClient &Client, TimerQueue &Queue, Random &RandomSource,
                StoreFollowerListener &Receiver);

  void start(TimePoint Now) { list(Now); }
  /// \brief Makes no further calls until resumed.
  void pause() { Paused = true; }
  /// \brief Ends a pause. Lists again, unless a call from before the pause is
  /// still under way.
  void resume(TimePoint Now);

  /// \returns whether the follower is not paused.
  [[nodiscard]] bool following() const { return !Paused; }
  /// \returns whether the latest call succeeded.
  [[nodiscard]] bool inContact() const { return InContact; }
  /// \returns when a call last succeeded after a loss of contact; nothing where
  /// contact was never lost.
  [[nodiscard]] std::optional<TimePoint> recoveredAt() const {
    return RecoveredAt;
  }
  /// \returns when the latest reply was passed to the listener; nothing before
  /// the first one.
  [[nodiscard]] std::optional<TimePoint> lastReplyAt() const {
    return LastReplyAt;
  }
  /// \returns a time up to which every change was passed to the listener;
  /// nothing before the first complete list. A reply that was read late, such
  /// as after a pause of the process, tells nothing about the time since.
  [[nodiscard]] std::optional<TimePoint> completeUntil() const {
    return CompleteUntil;
  }
  /// \returns the revision up to which all changes were received.
  [[nodiscard]] std::uint64_t revision() const { return Revision; }

private:
  /// \returns whether a call may be made; if not, \ref resume makes it.
  [[nodiscard]] bool mayCall();
  void list(TimePoint Now);
  void onListed(const StoreReply &Reply, TimePoint CalledAt, TimePoint Now);
  void watch(TimePoint Now);
  /// Ends the wait for the reply of the latest watch.
  void endWatch();
  /// Lists the keys if no part of a watch's reply has arrived in time.
  void onLateReply(StoreCallId Call, TimePoint Now);
  void onWatched(const StoreReply &Reply, TimePoint CalledAt, TimePoint Now);
  /// Sets from a successful watch until when all changes are known.
  void recordCompleteness(const StoreReply &Reply, TimePoint CalledAt,
                          TimePoint Now);
  void retry(TimePoint Now);
  /// Lists the keys after a random delay.
  void listLater(TimePoint Now);
  void recordReply(TimePoint Now);

  std::string Prefix;
  std::chrono::milliseconds WatchWait;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Jitter;
  StoreFollowerListener &Listener;
  std::uint64_t Revision = 0;
  std::uint64_t LastWatch = 0;
  /// Number of the watch whose reply is awaited.
  std::optional<std::uint64_t> PendingWatch;
  /// Time from which a truncated list is read again.
  std::optional<TimePoint> RelistAt;
  /// Whether the latest watch failed.
  bool WatchFailed = false;
  /// Time until the reply to the latest list that succeeded.
  Duration ListTook{};
  /// Set until a part of the watch's reply is due.
  std::optional<TimerQueue::Handle> Silence;
  bool Paused = false;
  /// Whether neither a call nor a retry timer is pending.
  bool Stopped = false;
  bool InContact = false;
  bool LostContact = false;
  std::optional<TimePoint> RecoveredAt;
  std::optional<TimePoint> LastReplyAt;
  std::optional<TimePoint> CompleteUntil;
};

} // namespace bronzeward
