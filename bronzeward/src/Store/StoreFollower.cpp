#include "bronzeward/src/Store/StoreFollower.h"

#include <algorithm>

namespace bronzeward {

/// Longest delay before a failed list is repeated; jitter takes off up to half.
constexpr Duration MaxRetryDelay = 400ms;

StoreFollower::StoreFollower(std::string KeyPrefix,
                             std::chrono::milliseconds Wait,
                             StoreClient &Client, TimerQueue &Queue,
                             Random &RandomSource,
                             StoreFollowerListener &Receiver)
    : Prefix(std::move(KeyPrefix)), WatchWait(Wait), Store(Client),
      Timers(Queue), Jitter(RandomSource), Listener(Receiver) {}

bool StoreFollower::mayCall() {
  Stopped = Paused;
  return !Paused;
}

void StoreFollower::resume(TimePoint Now) {
  Paused = false;
  if (Stopped)
    list(Now);
}

void StoreFollower::list(TimePoint Now) {
  if (!mayCall())
    return;
  Store.call(ListKeys{Prefix, "", false}, Now,
             [this](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status != StoreStatus::Ok) {
                 retry(At);
                 return;
               }
               recordReply(At);
               Revision = std::max(Revision, Reply.Revision);
               Listener.onListed(Reply.Entries, Reply.Revision, At);
               LastReplyAt = At;
               watch(At);
             });
}

void StoreFollower::watch(TimePoint Now) {
  if (!mayCall())
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
  recordReply(Now);
  for (const StoreEntry &Entry : Reply.Entries)
    Listener.onChanged(Entry, Now);
  Revision = std::max(Revision, Reply.Revision);
  LastReplyAt = Now;
  watch(Now);
}

void StoreFollower::retry(TimePoint Now) {
  LostContact = LostContact || InContact;
  InContact = false;
  const double Fraction = 0.5 + 0.5 * Jitter.unit();
  Timers.schedule(
      Now + std::chrono::duration_cast<Duration>(MaxRetryDelay * Fraction),
      [this](TimePoint At) { list(At); });
}

void StoreFollower::recordReply(TimePoint Now) {
  if (!InContact && LostContact)
    RecoveredAt = Now;
  InContact = true;
}

} // namespace bronzeward
