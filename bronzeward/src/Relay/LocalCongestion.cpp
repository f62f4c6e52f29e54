#include "bronzeward/src/Relay/LocalCongestion.h"

#include <algorithm>
#include <set>

namespace bronzeward {

/// Time over which timeouts and answers are compared.
constexpr Duration Window = 1s;
/// Distinct upstreams whose connections time out at once: fewer may be lost
/// machines.
constexpr std::size_t ManyUpstreams = 4;
/// Factor of the limit at a sign of congestion, and the least time between two
/// cuts: a connection's timeout, so that the effect of one is seen.
constexpr double Cut = 0.5;
constexpr Duration CutPause = 300ms;
/// Growth of the limit with each answer that begins: a fifth for a round of
/// answers.
constexpr double Growth = 0.2;
/// Calls that are carried at least, to see when the congestion ends.
constexpr double LeastCalls = 8.0;
/// Time without a timeout after which there is no limit.
constexpr Duration Recovered = 5s;

void LocalCongestion::forget(TimePoint Now) {
  while (!Timeouts.empty() && Now >= Timeouts.front().At + Window)
    Timeouts.pop_front();
  while (!Reached.empty() && Now >= Reached.front() + Window)
    Reached.pop_front();
}

bool LocalCongestion::onConnectTimeout(const UpstreamName &Upstream,
                                       std::size_t InFlight, TimePoint Now) {
  forget(Now);
  if (Now >= LastTimeout + Recovered)
    Limit.reset();
  LastTimeout = Now;
  Timeouts.push_back({Upstream, Now});
  if (!congested(Now) || Now < LoweredAt + CutPause)
    return false;
  LoweredAt = Now;
  const double Carried = static_cast<double>(InFlight);
  Limit =
      std::max(LeastCalls, Cut * std::min(Limit.value_or(Carried), Carried));
  return true;
}

void LocalCongestion::onReached(TimePoint Now) {
  forget(Now);
  Reached.push_back(Now);
  if (Limit)
    *Limit += Growth;
}

bool LocalCongestion::congested(TimePoint Now) const {
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
  return Distinct.size() >= ManyUpstreams &&
         Recent > static_cast<std::size_t>(Answers);
}

bool LocalCongestion::admits(std::size_t InFlight, TimePoint Now) const {
  return !Limit || Now >= LastTimeout + Recovered ||
         static_cast<double>(InFlight) < *Limit;
}

} // namespace bronzeward
