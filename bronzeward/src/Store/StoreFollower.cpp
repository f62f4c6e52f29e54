#include "bronzeward/src/Store/StoreFollower.h"

#include <algorithm>

namespace bronzeward {

/// Longest pause before a failed list is repeated; jitter takes up to half.
constexpr Duration RetryPause = 400ms;

StoreFollower::StoreFollower(std::string KeyPrefix,
                             std::chrono::milliseconds Wait,
                             StoreClient &Client, TimerQueue &Queue,
                             Random &Source, StoreFollowerListener &Sink)
    : Prefix(std::move(KeyPrefix)), WatchWait(Wait), Store(Client),
      Timers(Queue), Jitter(Source), Listener(Sink) {}

bool StoreFollower::proceeds() {
  Stopped = Paused;
  return !Paused;
}

void StoreFollower::resume(TimePoint Now) {
  Paused = false;
  if (Stopped)
    list(Now);
}

void StoreFollower::list(TimePoint Now) {
  if (!proceeds())
    return;
  Store.call(ListKeys{Prefix, "", false}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status != StoreStatus::Ok) {
                 retry(At);
                 return;
               }
               noteAnswer(At);
               Revision = std::max(Revision, Reply.Revision);
               Listener.onListed(Reply.Entries, Reply.Revision, At);
               watch(At);
             });
}

void StoreFollower::watch(TimePoint Now) {
  if (!proceeds())
    return;
  Store.call(
      WatchKeys{Prefix, Revision, WatchWait}, Now,
      [this](const StoreReply &Reply, TimePoint At) { onWatched(Reply, At); });
}

void StoreFollower::onWatched(const StoreReply &Reply, TimePoint Now) {
  if (Reply.HistoryLost) {
    list(Now);
    return;
  }
  if (Reply.Status != StoreStatus::Ok) {
    retry(Now);
    return;
  }
  noteAnswer(Now);
  for (const StoreEntry &Entry : Reply.Entries)
    Listener.onChanged(Entry, Now);
  Revision = std::max(Revision, Reply.Revision);
  watch(Now);
}

void StoreFollower::retry(TimePoint Now) {
  WasLost = WasLost || InTouch;
  InTouch = false;
  const double Share = 0.5 + 0.5 * Jitter.unit();
  Timers.schedule(Now +
                      std::chrono::duration_cast<Duration>(RetryPause * Share),
                  [this](TimePoint At) { list(At); });
}

void StoreFollower::noteAnswer(TimePoint Now) {
  if (!InTouch && WasLost)
    Regained = Now;
  InTouch = true;
}

} // namespace bronzeward
