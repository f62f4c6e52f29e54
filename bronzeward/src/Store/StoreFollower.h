#pragma once

#include "bronzeward/src/Store/StoreClient.h"

#include <functional>
#include <optional>

namespace bronzeward {

/// \ingroup Store
/// \brief Receives what a \ref StoreFollower learns.
class StoreFollowerListener {
public:
  virtual ~StoreFollowerListener() = default;
  /// \brief Every key under the prefix, as of a revision.
  virtual void onListed(const std::vector<StoreEntry> &Entries,
                        std::uint64_t Revision, TimePoint Now) = 0;
  /// \brief One key changed or was deleted.
  virtual void onChanged(const StoreEntry &Entry, TimePoint Now) = 0;
};

/// \ingroup Store
/// \brief Keeps up with every key under a prefix: one list, then watches.
///
/// Lists again after a gap in the history, a failed call or a watch that
/// outlives its wait, since a connection may fall silent without an error.
class StoreFollower {
public:
  /// \param Wait longest wait of one watch; bounds how late a silent
  /// connection is noticed.
  StoreFollower(std::string KeyPrefix, std::chrono::milliseconds Wait,
                StoreClient &Client, TimerQueue &Queue, Random &Source,
                StoreFollowerListener &Sink);

  void start(TimePoint Now) { list(Now); }
  /// \brief Makes no further calls until resumed.
  void pause() { Paused = true; }
  /// \brief Goes on with a list, where it was paused.
  void resume(TimePoint Now);

  /// \returns whether it keeps up with the store, and is not paused.
  [[nodiscard]] bool following() const { return !Paused; }
  /// \returns whether the latest call was answered.
  [[nodiscard]] bool inTouch() const { return InTouch; }
  /// \returns when the store answered again after it had not; nothing where it
  /// never failed to.
  [[nodiscard]] std::optional<TimePoint> regainedAt() const { return Regained; }
  /// \returns the revision up to which every change is known.
  [[nodiscard]] std::uint64_t revision() const { return Revision; }

private:
  /// \returns whether a call may be made; where not, resuming makes it.
  [[nodiscard]] bool proceeds();
  void list(TimePoint Now);
  void watch(TimePoint Now);
  void onWatched(const StoreReply &Reply, TimePoint Now);
  void retry(TimePoint Now);
  void noteAnswer(TimePoint Now);

  std::string Prefix;
  std::chrono::milliseconds WatchWait;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Jitter;
  StoreFollowerListener &Listener;
  std::uint64_t Revision = 0;
  bool Paused = false;
  /// Whether no call and no timer is under way.
  bool Stopped = false;
  bool InTouch = false;
  bool WasLost = false;
  std::optional<TimePoint> Regained;
};

} // namespace bronzeward
