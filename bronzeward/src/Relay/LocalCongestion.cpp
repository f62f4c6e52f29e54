#include "bronzeward/src/Relay/LocalCongestion.h"

#include <algorithm>
#include <set>

namespace bronzeward {

/// Time window in which timeouts and answers are counted.
constexpr Duration Window = 1s;
/// Distinct upstreams whose connections must time out. With fewer, the machines
/// of these upstreams may be down.
constexpr std::size_t MinUpstreams = 4;

void LocalCongestion::forget(TimePoint Now) {
  while (!Timeouts.empty() && Now >= Timeouts.front().At + Window)
    Timeouts.pop_front();
  while (!Reached.empty() && Now >= Reached.front() + Window)
    Reached.pop_front();
}

void LocalCongestion::onConnectTimeout(const UpstreamName &Upstream,
                                       TimePoint Now) {
  forget(Now);
  Timeouts.push_back({Upstream, Now});
}

void LocalCongestion::onReached(TimePoint Now) {
  forget(Now);
  Reached.push_back(Now);
}

bool LocalCongestion::congested(TimePoint Now) const {
  // Fast path: called for each dispatch, and there are rarely any timeouts.
  if (Timeouts.size() < MinUpstreams)
    return false;
  std::set<UpstreamName> Distinct;
  std::size_t Recent = 0;
  for (const Timeout &Item : Timeouts)
    if (Now < Item.At + Window) {
      ++Recent;
      Distinct.insert(Item.Upstream);
    }
  const auto Answers =
      std::count_if(Reached.begin(), Reached.end(),
                    [Now](TimePoint At) { return Now < At + Window; });
  return Distinct.size() >= MinUpstreams &&
         Recent > static_cast<std::size_t>(Answers);
}

} // namespace bronzeward
