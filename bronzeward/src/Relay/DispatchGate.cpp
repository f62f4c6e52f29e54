#include "bronzeward/src/Relay/DispatchGate.h"

#include <algorithm>

namespace bronzeward {

/// How long the block of a terminating upstream is kept. The upstream exits
/// well before that.
constexpr Duration LeavingRetention = 10min;
/// Upper bound of the back-off that an upstream can request.
constexpr Duration MaxBackOff = 1h;

void DispatchGate::onLeaving(const UpstreamEntry &Upstream, TimePoint Now) {
  block(Upstream, TimePoint::max(), Now);
}

void DispatchGate::onBackOff(const UpstreamEntry &Upstream, Duration Time,
                             TimePoint Now) {
  block(Upstream, Now + std::clamp(Time, Duration(), MaxBackOff), Now);
}

void DispatchGate::block(const UpstreamEntry &Upstream, TimePoint Until,
                         TimePoint Now) {
  std::erase_if(Blocks, [Now](const auto &Item) {
    const Block &Old = Item.second;
    return Now >= Old.BlockedUntil || Now >= Old.RequestedAt + LeavingRetention;
  });
  Block &Current = Blocks[{Upstream.Name, Upstream.Started}];
  Current.BlockedUntil = std::max(Current.BlockedUntil, Until);
  Current.RequestedAt = Now;
}

TimePoint DispatchGate::opensAt(const UpstreamEntry &Upstream) const {
  const auto Found = Blocks.find({Upstream.Name, Upstream.Started});
  return Found == Blocks.end() ? TimePoint() : Found->second.BlockedUntil;
}

} // namespace bronzeward
