#include "bronzeward/src/Relay/CrashEvidence.h"

namespace bronzeward {

/// Longest time between an interrupted call and the detection that its upstream
/// is down, by the next call to it or by its registry entry.
constexpr Duration DetectionTime = 3s;
/// Calls that are interrupted up to this long after an upstream was found down
/// are attributed to the same crash. Later ones were sent to the restarted
/// upstream.
constexpr Duration CrashAftermath = 300ms;
/// Number of upstreams above which outdated histories are removed.
constexpr std::size_t MaxHistories = 4096;

void CrashEvidence::prune(TimePoint Now) {
  if (Histories.size() < MaxHistories)
    return;
  std::erase_if(Histories, [Now](const auto &Item) {
    const UpstreamHistory &History = Item.second;
    return Now > History.DownAt + DetectionTime &&
           (History.Calls.empty() ||
            Now > History.Calls.back().At + DetectionTime);
  });
}

std::vector<ContentFingerprint>
CrashEvidence::onBroken(const UpstreamName &Upstream,
                        const ContentFingerprint &Content, TimePoint Now) {
  prune(Now);
  UpstreamHistory &History = Histories[Upstream];
  if (History.WasDown && Now < History.DownAt + CrashAftermath)
    return {Content};
  while (!History.Calls.empty() &&
         Now > History.Calls.front().At + DetectionTime)
    History.Calls.pop_front();
  History.Calls.push_back({Content, Now});
  return {};
}

std::vector<ContentFingerprint>
CrashEvidence::onDown(const UpstreamName &Upstream, TimePoint Now) {
  UpstreamHistory &History = Histories[Upstream];
  History.WasDown = true;
  History.DownAt = Now;
  std::vector<ContentFingerprint> Contents;
  for (const InterruptedCall &Call : History.Calls)
    if (Now <= Call.At + DetectionTime)
      Contents.push_back(Call.Content);
  History.Calls.clear();
  return Contents;
}

} // namespace bronzeward
