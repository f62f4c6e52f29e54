#include "bronzeward/src/Relay/CrashEvidence.h"

#include <utility>

namespace bronzeward {

/// Longest time between an interrupted call and the detection that its upstream
/// is down, by the next call to it or by its registry entry.
constexpr Duration DetectionTime = 3s;
/// Calls that are interrupted up to this long after an upstream was found down
/// are attributed to the same crash. Later ones were sent to the restarted
/// upstream.
constexpr Duration CrashAftermath = 300ms;
/// Longest time between a call and the end of its upstream's registry entry,
/// which is removed after some missed heartbeats.
constexpr Duration VanishingTime = 10s;
/// Maximum number of calls at one upstream that await the end of its entry.
constexpr std::size_t MaxAwaiting = 256;
/// Minimum time between two tests of an upstream.
constexpr Duration ProbePause = 500ms;
/// Number of upstreams above which outdated histories are removed.
constexpr std::size_t MaxHistories = 4096;
/// Maximum number of calls kept to be reported as unproven.
constexpr std::size_t MaxUnproven = 64;

void CrashEvidence::prune(TimePoint Now) {
  if (Histories.size() < MaxHistories)
    return;
  std::erase_if(Histories, [Now](const auto &Item) {
    const UpstreamHistory &History = Item.second;
    return Now > History.DownAt + DetectionTime && History.Awaiting.empty() &&
           (History.Calls.empty() ||
            Now > History.Calls.back().At + DetectionTime);
  });
}

void CrashEvidence::expireCalls(UpstreamHistory &History, TimePoint Now) {
  while (!History.Calls.empty() &&
         Now > History.Calls.front().At + DetectionTime) {
    if (History.HeardAfter > 0) {
      --History.HeardAfter;
      if (Unproven.size() < MaxUnproven)
        Unproven.push_back(std::move(History.Calls.front()));
    } else if (History.Awaiting.size() < MaxAwaiting) {
      History.Awaiting.push_back(std::move(History.Calls.front()));
    }
    History.Calls.pop_front();
  }
  while (!History.Awaiting.empty() &&
         Now > History.Awaiting.front().At + VanishingTime) {
    if (Unproven.size() < MaxUnproven)
      Unproven.push_back(std::move(History.Awaiting.front()));
    History.Awaiting.pop_front();
  }
}

std::vector<InterruptedCall> CrashEvidence::takeUnproven(TimePoint Now) {
  for (auto &[Name, History] : Histories)
    expireCalls(History, Now);
  return std::exchange(Unproven, {});
}

std::vector<InterruptedCall>
CrashEvidence::onInterrupted(const InterruptedCall &Call, TimePoint Now) {
  prune(Now);
  UpstreamHistory &History = Histories[Call.Upstream.Name];
  if (History.WasDown && Now < History.DownAt + CrashAftermath)
    return {Call};
  expireCalls(History, Now);
  History.Calls.push_back(Call);
  return {};
}

std::vector<InterruptedCall> CrashEvidence::onDown(const UpstreamName &Upstream,
                                                   TimePoint Now) {
  UpstreamHistory &History = Histories[Upstream];
  History.WasDown = true;
  History.DownAt = Now;
  expireCalls(History, Now);
  std::vector<InterruptedCall> Calls(History.Calls.begin(),
                                     History.Calls.end());
  History.Calls.clear();
  History.HeardAfter = 0;
  return Calls;
}

void CrashEvidence::onSilent(const InterruptedCall &Call, TimePoint Now) {
  prune(Now);
  UpstreamHistory &History = Histories[Call.Upstream.Name];
  if (History.Awaiting.size() < MaxAwaiting)
    History.Awaiting.push_back(Call);
}

void CrashEvidence::onHeard(const UpstreamName &Upstream) {
  const auto Found = Histories.find(Upstream);
  if (Found == Histories.end())
    return;
  Found->second.Awaiting.clear();
  Found->second.HeardAfter = Found->second.Calls.size();
}

std::vector<UpstreamName> CrashEvidence::silentUpstreams() const {
  std::vector<UpstreamName> Names;
  for (const auto &[Name, History] : Histories)
    if (!History.Awaiting.empty() || History.Calls.size() > History.HeardAfter)
      Names.push_back(Name);
  return Names;
}

std::vector<InterruptedCall>
CrashEvidence::onVanished(const UpstreamName &Upstream, TimePoint Now) {
  UpstreamHistory &History = Histories[Upstream];
  expireCalls(History, Now);
  const std::deque<InterruptedCall> Awaiting =
      std::exchange(History.Awaiting, {});
  History.Calls.erase(History.Calls.begin(),
                      History.Calls.begin() +
                          static_cast<std::ptrdiff_t>(History.HeardAfter));
  std::vector<InterruptedCall> Calls = onDown(Upstream, Now);
  Calls.insert(Calls.begin(), Awaiting.begin(), Awaiting.end());
  return Calls;
}

bool CrashEvidence::beginProbe(const UpstreamName &Upstream, TimePoint Now) {
  UpstreamHistory &History = Histories[Upstream];
  const bool Known = History.WasDown && Now < History.DownAt + CrashAftermath;
  if (Known || (History.ProbedAt && Now < *History.ProbedAt + ProbePause))
    return false;
  History.ProbedAt = Now;
  return true;
}

} // namespace bronzeward
