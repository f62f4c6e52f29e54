#include "bronzeward/Relay"

#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace bronzeward {
namespace {

const TimePoint Start(1h);
constexpr Duration Objective = 800ms;

std::vector<UpstreamEntry> upstreams(int Count) {
  std::vector<UpstreamEntry> All;
  for (int Index = 0; Index < Count; ++Index) {
    UpstreamEntry Entry;
    Entry.Name.Value = "e" + std::to_string(Index);
    Entry.Service.Value = "draft";
    Entry.Domain.Value = "a";
    Entry.Slots = 64;
    All.push_back(Entry);
  }
  return All;
}

PlacementQuery queryOf(std::uint64_t Shared, std::int64_t SharedTokens,
                       std::int64_t OwnTokens, std::uint64_t Own) {
  PlacementQuery Query;
  Query.Service.Value = "draft";
  Query.Prefixes = prefixesOf({{Shared, SharedTokens}, {Own, OwnTokens}});
  Query.PartTokens = {SharedTokens, OwnTokens};
  Query.PromptTokens = SharedTokens + OwnTokens;
  return Query;
}

/// \brief An instance's upstream pool, to which the test sends calls.
class PoolFixture {
public:
  explicit PoolFixture(int Upstreams) : Pool(FailureDomain{"a"}) {
    Pool.setUsable(upstreams(Upstreams), Start);
  }
  UpstreamName place(const PlacementQuery &Query, TimePoint Now) {
    const std::vector<Candidate> Candidates =
        Pool.candidates(Query, Source, Now);
    REQUIRE_FALSE(Candidates.empty());
    const ChoiceInput Input{Query.PromptTokens, homeKey(Query.Prefixes)};
    return Candidates[placeCall(Input, Candidates, Objective).Index].Name;
  }
  AttemptId send(const PlacementQuery &Query, TimePoint Now) {
    const AttemptId Attempt{++LastAttempt};
    Pool.onDispatched(Attempt, place(Query, Now), Query, Now);
    return Attempt;
  }

  UpstreamPool Pool;
  Random Source{1};
  std::uint64_t LastAttempt = 0;
};

TEST_CASE(
    "Calls with the same prefix go to the same upstream at every instance",
    "[Placement]") {
  PoolFixture First(18);
  PoolFixture Second(18);
  std::set<std::string> AllPreferred;
  for (std::uint64_t Shared = 1; Shared <= 144; ++Shared) {
    const PlacementQuery Query = queryOf(Shared, 13'300, 3'700, Shared + 1000);
    const UpstreamName Preferred = First.place(Query, Start);
    CHECK(Second.place(Query, Start) == Preferred);
    AllPreferred.insert(Preferred.Value);
  }
  CHECK(AllPreferred.size() == 18);
}

// Load pattern: a prefix with more concurrent calls than its preferred upstream
// computes in time.
TEST_CASE("Calls spill over from an overloaded preferred upstream",
          "[Placement]") {
  PoolFixture Fixture(18);
  std::map<std::string, int> Calls;
  for (std::uint64_t Own = 0; Own < 60; ++Own) {
    const PlacementQuery Query = queryOf(7, 13'300, 8'000, Own + 5000);
    ++Calls[Fixture.place(Query, Start).Value];
    Fixture.send(Query, Start);
  }
  CHECK(Calls.size() > 1);
  int MaxCalls = 0;
  for (const auto &[Name, Count] : Calls)
    MaxCalls = std::max(MaxCalls, Count);
  CHECK(MaxCalls < 40);
  // Calls only spill over once the queue costs more than computing the prefix
  // again.
  CHECK(MaxCalls >= 3);
}

TEST_CASE("Calls that peers have in flight count as load", "[Placement]") {
  PoolFixture Fixture(2);
  PlacementQuery Query = queryOf(7, 300, 1'000, 1);
  const UpstreamName Preferred = Fixture.place(Query, Start);
  Fixture.Pool.onPeerLoad(InstanceId{"other"},
                          LoadNotice{{{Preferred, 10, 60'000}}}, Start);
  CHECK(Fixture.place(Query, Start) != Preferred);
  Fixture.Pool.expirePeerLoads(Start + 2s);
  CHECK(Fixture.place(Query, Start + 2s) == Preferred);
}

TEST_CASE("An upstream that fails calls is avoided, then used again",
          "[Placement]") {
  PoolFixture Fixture(4);
  const PlacementQuery Query = queryOf(7, 300, 1'000, 1);
  const UpstreamName Preferred = Fixture.place(Query, Start);
  for (int Count = 0; Count < 4; ++Count) {
    const AttemptId Attempt{++Fixture.LastAttempt};
    Fixture.Pool.onDispatched(Attempt, Preferred, Query, Start);
    Fixture.Pool.onEnded(Attempt, TryEnd::Broken, Start);
  }
  CHECK(Fixture.place(Query, Start) != Preferred);
  CHECK(Fixture.place(Query, Start + 60s) == Preferred);
}

TEST_CASE("A silent upstream gets no new calls until it answers",
          "[Placement]") {
  PoolFixture Fixture(4);
  const PlacementQuery Query = queryOf(7, 300, 1'000, 1);
  const AttemptId SilentAttempt = Fixture.send(Query, Start);
  const UpstreamName Preferred = Fixture.place(Query, Start);
  CHECK(Fixture.place(Query, Start + 2s) != Preferred);
  Fixture.Pool.onFirstByte(SilentAttempt, Start + 2s);
  CHECK(Fixture.place(Query, Start + 30s) == Preferred);
}

TEST_CASE("An upstream with a new start time is reported as restarted",
          "[Placement]") {
  PoolFixture Fixture(2);
  std::vector<UpstreamEntry> Entries = upstreams(2);
  Entries[0].Started += 5s;
  const std::vector<UpstreamName> Restarted =
      Fixture.Pool.setUsable(Entries, Start + 1s);
  REQUIRE(Restarted.size() == 1);
  CHECK(Restarted[0] == Entries[0].Name);
}

// Load pattern: most callers of a large fleet connect to one instance.
TEST_CASE("A busy instance uses connections that other instances leave free",
          "[Placement]") {
  PoolFixture Fixture(1);
  PlacementQuery Query = queryOf(7, 300, 1'000, 1);
  Query.MaxConnections = 100;
  Query.ConnectionShare = 2;
  const UpstreamName Only = Fixture.place(Query, Start);
  const auto HasCandidate = [&](TimePoint Now) {
    return !Fixture.Pool.candidates(Query, Fixture.Source, Now).empty();
  };
  for (int Count = 0; Count < 2; ++Count)
    Fixture.send(Query, Start);
  // The upstream has not reported yet how many connections are in use.
  CHECK_FALSE(HasCandidate(Start));
  Fixture.Pool.onLoad(Only, {3, 0, 64}, Start);
  CHECK(HasCandidate(Start));
  Fixture.Pool.onLoad(Only, {45, 5, 64}, Start);
  CHECK_FALSE(HasCandidate(Start));
  Fixture.Pool.onLoad(Only, {3, 0, 64}, Start);
  for (int Count = 0; Count < 23; ++Count)
    Fixture.send(Query, Start);
  // An instance uses at most a quarter of an upstream's connections.
  CHECK_FALSE(HasCandidate(Start));
}

} // namespace
} // namespace bronzeward
