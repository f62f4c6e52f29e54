#include "bronzeward/src/Relay/CrashEvidence.h"

namespace bronzeward {

/// Longest time between a broken call and the sign that its upstream is down:
/// its next call or its registry entry tells within this.
constexpr Duration EvidenceTime = 3s;
/// Longest time for which a crash breaks calls after it was seen; later ones
/// went to the upstream's next start.
constexpr Duration AfterDown = 300ms;
/// Upstreams remembered at most.
constexpr std::size_t MaxTraces = 4096;

void CrashEvidence::prune(TimePoint Now) {
  if (Traces.size() < MaxTraces)
    return;
  std::erase_if(Traces, [Now](const auto &Item) {
    const Trace &Seen = Item.second;
    return Now > Seen.Down + EvidenceTime &&
           (Seen.Calls.empty() || Now > Seen.Calls.back().At + EvidenceTime);
  });
}

std::vector<ContentFingerprint>
CrashEvidence::onBroken(const UpstreamName &Upstream,
                        const ContentFingerprint &Content, TimePoint Now) {
  prune(Now);
  Trace &Seen = Traces[Upstream];
  if (Seen.SeenDown && Now < Seen.Down + AfterDown)
    return {Content};
  while (!Seen.Calls.empty() && Now > Seen.Calls.front().At + EvidenceTime)
    Seen.Calls.pop_front();
  Seen.Calls.push_back({Content, Now});
  return {};
}

std::vector<ContentFingerprint>
CrashEvidence::onDown(const UpstreamName &Upstream, TimePoint Now) {
  Trace &Seen = Traces[Upstream];
  Seen.SeenDown = true;
  Seen.Down = Now;
  std::vector<ContentFingerprint> Found;
  for (const Broken &Call : Seen.Calls)
    if (Now <= Call.At + EvidenceTime)
      Found.push_back(Call.Content);
  Seen.Calls.clear();
  return Found;
}

} // namespace bronzeward
