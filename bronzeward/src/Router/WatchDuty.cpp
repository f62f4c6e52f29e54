#include "bronzeward/src/Router/WatchDuty.h"

#include <algorithm>
#include <tuple>

namespace bronzeward {

/// Watchers of a failure domain, so that one may be lost.
constexpr std::size_t WatchersOfDomain = 2;
/// How long a watcher's word holds: two of its digests may be lost.
constexpr Duration WordHolds = 2500ms;

WatchDuty::WatchDuty(InstanceId Name, FailureDomain Home)
    : Self(std::move(Name)), Domain(std::move(Home)) {}

void WatchDuty::onMembers(const std::vector<Member> &Listed) {
  Followers.clear();
  Elected = true;
  if (Listed.size() <= SmallFleet)
    return;
  // The strongest first.
  std::vector<std::tuple<double, std::uint64_t, InstanceId>> Ranked;
  for (const Member &Item : Listed)
    if (Item.Domain == Domain && !Item.Leaving)
      Ranked.emplace_back(-Item.Capacity, hash64(Item.Identity.Instance.Value),
                          Item.Identity.Instance);
  std::sort(Ranked.begin(), Ranked.end());
  const auto Own =
      std::find_if(Ranked.begin(), Ranked.end(), [this](const auto &Entry) {
        return std::get<2>(Entry) == Self;
      });
  const std::size_t Rank = static_cast<std::size_t>(Own - Ranked.begin());
  // An instance that is not listed yet is nobody's watcher.
  Elected = Rank < WatchersOfDomain;
  if (!Elected)
    return;
  for (std::size_t Place = WatchersOfDomain; Place < Ranked.size(); ++Place)
    Followers.push_back(std::get<2>(Ranked[Place]));
}

void WatchDuty::onConfirmed(TimePoint Now) {
  if (Confirmed && Now >= *Confirmed + WordHolds)
    Regained = Now;
  Confirmed = Now;
}

bool WatchDuty::watches(TimePoint Now) const {
  return Elected || !Confirmed || Now >= *Confirmed + WordHolds;
}

} // namespace bronzeward
