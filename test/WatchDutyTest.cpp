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

WatchDuty dutyOf(const Member &Who, const std::vector<Member> &Listed) {
  WatchDuty Duty(Who.Identity.Instance, Who.Domain);
  Duty.onMembers(Listed);
  return Duty;
}

TEST_CASE("In a small fleet every instance watches", "[WatchDuty]") {
  const std::vector<Member> Fleet = fleet(8, 3);
  for (const Member &Item : Fleet) {
    WatchDuty Duty = dutyOf(Item, Fleet);
    Duty.onConfirmed(Start);
    CHECK(Duty.watches(Start));
    CHECK(Duty.followers().empty());
  }
}

// Load pattern: idle traffic of a large fleet; every watch is a counted call.
TEST_CASE("In a large fleet two instances of a failure domain watch for all",
          "[WatchDuty]") {
  const std::vector<Member> Fleet = fleet(295, 5);
  std::map<FailureDomain, int> Watchers;
  std::map<InstanceId, int> Told;
  for (const Member &Item : Fleet) {
    WatchDuty Duty = dutyOf(Item, Fleet);
    Duty.onConfirmed(Start);
    Watchers[Item.Domain] += Duty.watches(Start) ? 1 : 0;
    for (const InstanceId &Follower : Duty.followers())
      ++Told[Follower];
  }
  CHECK(Watchers.size() == 5);
  for (const auto &[Domain, Count] : Watchers)
    CHECK(Count == 2);
  // Each of the others is told by both.
  CHECK(Told.size() == 295 - 10);
  for (const auto &[Follower, Count] : Told)
    CHECK(Count == 2);
}

TEST_CASE("An instance watches while no watcher's word is fresh",
          "[WatchDuty]") {
  const std::vector<Member> Fleet = fleet(60, 3);
  for (const Member &Item : Fleet) {
    WatchDuty Duty = dutyOf(Item, Fleet);
    CHECK(Duty.watches(Start));
    Duty.onConfirmed(Start);
    if (!Duty.followers().empty())
      continue;
    CHECK_FALSE(Duty.watches(Start + 2s));
    CHECK(Duty.watches(Start + 3s));
    CHECK(Duty.regainedAt() == std::nullopt);
    Duty.onConfirmed(Start + 9s);
    CHECK_FALSE(Duty.watches(Start + 9s));
    CHECK(Duty.regainedAt() == Start + 9s);
  }
}

TEST_CASE("A leaving watcher is replaced", "[WatchDuty]") {
  std::vector<Member> Fleet = fleet(60, 3);
  std::set<InstanceId> Before;
  for (const Member &Item : Fleet)
    if (!dutyOf(Item, Fleet).followers().empty())
      Before.insert(Item.Identity.Instance);
  for (Member &Item : Fleet)
    Item.Leaving = Before.contains(Item.Identity.Instance);
  std::size_t After = 0;
  for (const Member &Item : Fleet) {
    const bool Watcher = !dutyOf(Item, Fleet).followers().empty();
    After += Watcher ? 1 : 0;
    CHECK_FALSE((Watcher && Item.Leaving));
  }
  CHECK(After == 6);
}

} // namespace
} // namespace bronzeward
