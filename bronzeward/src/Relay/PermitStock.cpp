#include "bronzeward/src/Relay/PermitStock.h"

#include <algorithm>

namespace bronzeward {

/// How long a permit may be used.
constexpr Duration PermitLifetime = 1s;
/// Time between two requests, and time after which one got no reply.
constexpr Duration RequestPeriod = 100ms;
constexpr Duration RequestTimeout = 500ms;
/// Time before the earliest free permit at which it can be requested.
constexpr Duration RequestAhead = 200ms;
/// Pause after a reply without permits, for each instance of the fleet. It
/// bounds the requests that all instances together send to an issuer.
constexpr Duration PausePerInstance = 20ms;
/// Longest time between two calls of a steady flow.
constexpr Duration SteadyGap = 250ms;
/// Upper bound of the time that a reply states.
constexpr std::chrono::milliseconds MaxStatedTime = 60s;
/// Most calls counted as wanted.
constexpr std::uint32_t MaxWanted = 64;
/// Part of an upstream's rate that the instances without an issuer share. It
/// is sent in addition to the issued permits.
constexpr double ShareFraction = 0.1;

void PermitStock::dropExpired(TimePoint Now) {
  std::erase_if(Permits,
                [Now](const Permit &Item) { return Item.Expires <= Now; });
}

bool PermitStock::onWanted(TimePoint Now) {
  // A permit that is free only later does not help this call, and later calls
  // ask again.
  if (!Open && NextRequestAt > Now + RequestPeriod)
    return false;
  Wanted = std::min(Wanted + 1, MaxWanted);
  return true;
}

void PermitStock::onDispatched(CallRate Rate, std::size_t Instances,
                               TimePoint Now) {
  // A steady flow of calls gets permits ahead of them. Permits for rare calls
  // would lapse.
  if (Now < LastDispatch + SteadyGap)
    Wanted = std::min(Wanted + 1, MaxWanted);
  LastDispatch = Now;
  dropExpired(Now);
  if (!Permits.empty() && Permits.front().UsableFrom <= Now)
    Permits.erase(Permits.begin());
  else if (Unserved && Share)
    Share->take(shareOf(Rate, Instances), Now);
}

std::uint32_t PermitStock::dueRequest(TimePoint Now) {
  if (Open && Now >= Open->SentAt + RequestTimeout)
    onUnreachable();
  return Open || Now < NextRequestAt ? 0 : Wanted;
}

void PermitStock::onRequested(std::uint64_t Number, TimePoint Now) {
  Open = Request{Number, Now};
  NextRequestAt = Now + RequestPeriod;
  Wanted = 0;
}

bool PermitStock::onReply(const PermitReply &Reply, std::size_t Instances,
                          TimePoint Now) {
  if (!Open || Open->Number != Reply.Number)
    return false;
  for (const std::chrono::milliseconds Stated : Reply.Delays) {
    const std::chrono::milliseconds Delay = std::min(Stated, MaxStatedTime);
    Permits.push_back({Now + Delay, Open->SentAt + Delay + PermitLifetime});
  }
  std::sort(Permits.begin(), Permits.end(),
            [](const Permit &Left, const Permit &Right) {
              return Left.UsableFrom < Right.UsableFrom;
            });
  Open.reset();
  NextFree = Now + std::min(Reply.UntilNextFree, MaxStatedTime);
  NextRequestAt = std::max(NextRequestAt, NextFree - RequestAhead);
  if (Reply.Delays.empty())
    NextRequestAt = std::max(NextRequestAt, Now + static_cast<int>(Instances) *
                                                      PausePerInstance);
  Unserved = !Reply.Issuing;
  return true;
}

void PermitStock::onUnreachable() {
  if (!Open)
    return;
  Open.reset();
  Unserved = true;
}

CallRate PermitStock::shareOf(CallRate Rate, std::size_t Instances) {
  return {Rate.PerSecond * ShareFraction /
          static_cast<double>(std::max<std::size_t>(1, Instances))};
}

TimePoint PermitStock::acceptsFrom(CallRate Rate, std::size_t Instances,
                                   TimePoint Now) {
  dropExpired(Now);
  // A new permit needs a request first.
  const TimePoint First =
      Permits.empty() ? std::max({NextFree, NextRequestAt, Now + Duration(1)})
                      : Permits.front().UsableFrom;
  if (!Unserved)
    return First;
  const CallRate OwnRate = shareOf(Rate, Instances);
  const Duration Interval = PermitSchedule::interval(OwnRate);
  if (!Share)
    Share.emplace(Now -
                  std::chrono::duration_cast<Duration>(Interval * SharePhase));
  Share->skipTo(OwnRate, Now - PermitLifetime);
  return std::min(First, Share->next(OwnRate));
}

std::optional<TimePoint> PermitStock::nextRequest() const {
  if (Open)
    return Open->SentAt + RequestTimeout;
  if (Wanted == 0)
    return std::nullopt;
  return NextRequestAt;
}

} // namespace bronzeward
