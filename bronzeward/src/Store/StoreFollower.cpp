#include "bronzeward/src/Store/StoreFollower.h"

#include <algorithm>
#include <utility>

namespace bronzeward {

/// Longest delay before a failed list is repeated; jitter takes off up to half.
constexpr Duration MaxRetryDelay = 400ms;
/// Time after the end of a watch's wait, beyond that of the latest list, from
/// which its reply counts as lost.
constexpr Duration MaxReplyDelay = 300ms;
/// Time after which a truncated list is read again.
constexpr Duration RelistDelay = 4s;

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
             [this, Now](const StoreReply &Reply, TimePoint At) {
               if (Reply.Status != StoreStatus::Ok) {
                 retry(At);
                 return;
               }
               ListTook = At - Now;
               onListed(Reply, Now, At);
               watch(At);
             });
}

void StoreFollower::onListed(const StoreReply &Reply, TimePoint CalledAt,
                             TimePoint Now) {
  recordReply(Now);
  Revision = std::max(Revision, Reply.Revision);
  if (Reply.Truncated) {
    RelistAt = Now + RelistDelay;
    std::vector<StoreEntry> Sorted = Reply.Entries;
    std::ranges::sort(Sorted, {}, &StoreEntry::Revision);
    Listener.onListedInPart(Sorted, Now);
  } else {
    RelistAt.reset();
    CompleteUntil = CalledAt;
    Listener.onListed(Reply.Entries, Reply.Revision, Now);
  }
  LastReplyAt = Now;
}

void StoreFollower::watch(TimePoint Now) {
  if (!mayCall())
    return;
  const std::uint64_t Number = ++LastWatch;
  PendingWatch = Number;
  const StoreCallId Call =
      Store.call(WatchKeys{Prefix, Revision, WatchWait}, Now,
                 [this, Number, Now](const StoreReply &Reply, TimePoint At) {
                   if (PendingWatch == Number)
                     onWatched(Reply, Now, At);
                 });
  // The call may have failed at once.
  if (PendingWatch == Number)
    Silence =
        Timers.schedule(Now + WatchWait + MaxReplyDelay + ListTook,
                        [this, Call](TimePoint At) { onLateReply(Call, At); });
}

void StoreFollower::endWatch() {
  PendingWatch.reset();
  if (Silence)
    Timers.cancel(*Silence);
  Silence.reset();
}

void StoreFollower::onLateReply(StoreCallId Call, TimePoint Now) {
  Silence.reset();
  if (Store.replyBegun(Call))
    return;
  Store.abandon(Call);
  endWatch();
  list(Now);
}

void StoreFollower::recordCompleteness(const StoreReply &Reply,
                                       TimePoint CalledAt, TimePoint Now) {
  if (!CompleteUntil || RelistAt)
    return;
  // Without a change, the store replies at the end of the wait.
  const bool WaitedInVain =
      Reply.Entries.empty() && Now >= CalledAt + WatchWait;
  CompleteUntil = WaitedInVain ? CalledAt + WatchWait : CalledAt;
}

void StoreFollower::onWatched(const StoreReply &Reply, TimePoint CalledAt,
                              TimePoint Now) {
  endWatch();
  if (Reply.HistoryLost || Reply.Status != StoreStatus::Ok) {
    // A watch may be cut, or its reply lost, while the store serves others.
    // Only a new call shows whether contact is lost. A store that refuses all
    // watches is listed at the pace of retries.
    if (std::exchange(WatchFailed, true))
      listLater(Now);
    else
      list(Now);
    return;
  }
  WatchFailed = false;
  recordReply(Now);
  recordCompleteness(Reply, CalledAt, Now);
  for (const StoreEntry &Entry : Reply.Entries)
    Listener.onChanged(Entry, Now);
  Revision = std::max(Revision, Reply.Revision);
  LastReplyAt = Now;
  if (RelistAt && Now >= *RelistAt)
    list(Now);
  else
    watch(Now);
}

void StoreFollower::retry(TimePoint Now) {
  LostContact = LostContact || InContact;
  InContact = false;
  listLater(Now);
}

void StoreFollower::listLater(TimePoint Now) {
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
