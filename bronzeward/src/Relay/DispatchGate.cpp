#include "bronzeward/src/Relay/DispatchGate.h"

#include <algorithm>

namespace bronzeward {

/// How long a leaving upstream is remembered; it is gone well before.
constexpr Duration RememberLeaving = 10min;
/// Longest time that an upstream can ask for.
constexpr Duration MaxBackOff = 1h;

void DispatchGate::onLeaving(const UpstreamEntry &Upstream, TimePoint Now) {
  close(Upstream, TimePoint::max(), Now);
}

void DispatchGate::onBackOff(const UpstreamEntry &Upstream, Duration Time,
                             TimePoint Now) {
  close(Upstream, Now + std::clamp(Time, Duration(), MaxBackOff), Now);
}

void DispatchGate::close(const UpstreamEntry &Upstream, TimePoint Until,
                         TimePoint Now) {
  std::erase_if(Wishes, [Now](const auto &Item) {
    const Wish &Old = Item.second;
    return Now >= Old.ClosedUntil || Now >= Old.HeardAt + RememberLeaving;
  });
  Wish &Place = Wishes[{Upstream.Name, Upstream.Started}];
  Place.ClosedUntil = std::max(Place.ClosedUntil, Until);
  Place.HeardAt = Now;
}

TimePoint DispatchGate::opensAt(const UpstreamEntry &Upstream) const {
  const auto Found = Wishes.find({Upstream.Name, Upstream.Started});
  return Found == Wishes.end() ? TimePoint() : Found->second.ClosedUntil;
}

} // namespace bronzeward
