#include "bronzeward/Router"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

std::vector<Member> fleet(int Size, int Domains) {
  std::vector<Member> All;
  All.reserve(static_cast<std::size_t>(Size));
  for (int Index = 0; Index < Size; ++Index)
    All.push_back({Incarnation{InstanceId{"i" + std::to_string(Index)}, 1},
                   FailureDomain{"d" + std::to_string(Index % Domains)}, "",
                   false});
  return All;
}

WatcherElection elect(const Member &Who, const std::vector<Member> &Listed) {
  WatcherElection Election(Who.Identity.Instance, Who.Domain);
  Election.onMembers(Listed);
  return Election;
}

TEST_CASE("In a small fleet every instance watches the store",
          "[WatcherElection]") {
  const std::vector<Member> Fleet = fleet(8, 3);
  for (const Member &Item : Fleet) {
    WatcherElection Election = elect(Item, Fleet);
    Election.onConfirmed(Start);
    CHECK(Election.watches(Start));
    CHECK(Election.followers().empty());
  }
}

// Guards against store calls that grow with the fleet: every watch counts as a
// call, even in an idle fleet.
TEST_CASE("In a large fleet two instances of each failure domain watch",
          "[WatcherElection]") {
  const std::vector<Member> Fleet = fleet(295, 5);
  std::map<FailureDomain, int> Watchers;
  std::map<InstanceId, int> WatchersOf;
  for (const Member &Item : Fleet) {
    WatcherElection Election = elect(Item, Fleet);
    Election.onConfirmed(Start);
    Watchers[Item.Domain] += Election.watches(Start) ? 1 : 0;
    for (const InstanceId &Follower : Election.followers())
      ++WatchersOf[Follower];
  }
  CHECK(Watchers.size() == 5);
  for (const auto &[Domain, Count] : Watchers)
    CHECK(Count == 2);
  // Each of the others follows both watchers of its domain.
  CHECK(WatchersOf.size() == 295 - 10);
  for (const auto &[Follower, Count] : WatchersOf)
    CHECK(Count == 2);
}

TEST_CASE("An instance watches while it has no recent confirmation",
          "[WatcherElection]") {
  const std::vector<Member> Fleet = fleet(60, 3);
  for (const Member &Item : Fleet) {
    WatcherElection Election = elect(Item, Fleet);
    CHECK(Election.watches(Start));
    Election.onConfirmed(Start);
    if (!Election.followers().empty())
      continue;
    CHECK_FALSE(Election.watches(Start + 2s));
    CHECK(Election.watches(Start + 3s));
    CHECK(Election.recoveredAt() == std::nullopt);
    Election.onConfirmed(Start + 9s);
    CHECK_FALSE(Election.watches(Start + 9s));
    CHECK(Election.recoveredAt() == Start + 9s);
  }
}

TEST_CASE("Leaving watchers are replaced", "[WatcherElection]") {
  std::vector<Member> Fleet = fleet(60, 3);
  std::set<InstanceId> LeavingWatchers;
  for (const Member &Item : Fleet)
    if (!elect(Item, Fleet).followers().empty())
      LeavingWatchers.insert(Item.Identity.Instance);
  for (Member &Item : Fleet)
    Item.Leaving = LeavingWatchers.contains(Item.Identity.Instance);
  std::size_t NewWatchers = 0;
  for (const Member &Item : Fleet) {
    const bool Elected = !elect(Item, Fleet).followers().empty();
    NewWatchers += Elected ? 1 : 0;
    CHECK_FALSE((Elected && Item.Leaving));
  }
  CHECK(NewWatchers == 6);
}

} // namespace
} // namespace bronzeward
