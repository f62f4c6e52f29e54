#include "bronzeward/src/Router/WatcherElection.h"

#include <algorithm>
#include <tuple>

namespace bronzeward {

/// Watchers of each failure domain; the second one covers the loss of the
/// first.
constexpr std::size_t WatchersPerDomain = 2;
/// Time for which a confirmation is valid: two successive digests of a watcher
/// may be lost.
constexpr Duration ConfirmationLifetime = 2500ms;

WatcherElection::WatcherElection(InstanceId Name, FailureDomain OwnDomain)
    : Self(std::move(Name)), Domain(std::move(OwnDomain)) {}

void WatcherElection::onMembers(const std::vector<Member> &Listed) {
  Watchers.clear();
  Followers.clear();
  Elected = true;
  if (Listed.size() <= SmallFleet)
    return;
  // Instances of larger capacity come first; the hash orders equal ones.
  std::vector<std::tuple<double, std::uint64_t, InstanceId>> Ranked;
  for (const Member &Item : Listed)
    if (Item.Domain == Domain && !Item.Leaving)
      Ranked.emplace_back(-Item.Capacity, hash64(Item.Identity.Instance.Value),
                          Item.Identity.Instance);
  std::sort(Ranked.begin(), Ranked.end());
  for (std::size_t Index = 0;
       Index < std::min(WatchersPerDomain, Ranked.size()); ++Index)
    Watchers.push_back(std::get<2>(Ranked[Index]));
  const auto Own =
      std::find_if(Ranked.begin(), Ranked.end(), [this](const auto &Entry) {
        return std::get<2>(Entry) == Self;
      });
  const std::size_t Rank = static_cast<std::size_t>(Own - Ranked.begin());
  // An instance that is not listed yet ranks last and is not elected.
  Elected = Rank < WatchersPerDomain;
  if (!Elected)
    return;
  for (std::size_t Index = WatchersPerDomain; Index < Ranked.size(); ++Index)
    Followers.push_back(std::get<2>(Ranked[Index]));
}

void WatcherElection::onConfirmed(TimePoint Now) {
  if (ConfirmedAt && Now >= *ConfirmedAt + ConfirmationLifetime)
    RecoveredAt = Now;
  ConfirmedAt = Now;
}

bool WatcherElection::watches(TimePoint Now) const {
  return Elected || !ConfirmedAt || Now >= *ConfirmedAt + ConfirmationLifetime;
}

} // namespace bronzeward
