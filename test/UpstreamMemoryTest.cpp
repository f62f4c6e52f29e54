#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start(1h);
constexpr Duration Objective = 800ms;
constexpr std::int64_t Memory = 350'000;

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
  Query.OutputTokens = 120;
  Query.MemoryTokens = Memory;
  return Query;
}

/// \brief An instance that places calls on upstreams, all of which are writing
/// their answers.
class MemoryFixture {
public:
  explicit MemoryFixture(int Upstreams) : Pool(FailureDomain{"a"}) {
    Pool.setUsable(upstreams(Upstreams), Start);
    // Calls take two seconds.
    for (const UpstreamEntry &Entry : upstreams(Upstreams))
      for (int Call = 0; Call < 60; ++Call) {
        const AttemptId Attempt{++LastAttempt};
        Pool.onDispatched(Attempt, Entry.Name, queryOf(1, 0, 10, LastAttempt),
                          Start);
        Pool.onFirstByte(Attempt, Start);
        Pool.onEnded(Attempt, AttemptEnd::Answered, Start + 2s);
      }
  }
  const Candidate &place(const PlacementQuery &Query, TimePoint Now) {
    Last = Pool.candidates(Query, Source, Now);
    REQUIRE_FALSE(Last.empty());
    return Last[placeCall({Query.PromptTokens, 0}, Last, Objective).Index];
  }
  UpstreamName send(const PlacementQuery &Query, TimePoint Now) {
    UpstreamName Chosen = place(Query, Now).Name;
    sendTo(Chosen, Query, Now);
    return Chosen;
  }
  AttemptId sendTo(const UpstreamName &Name, const PlacementQuery &Query,
                   TimePoint Now) {
    const AttemptId Attempt{++LastAttempt};
    Pool.onDispatched(Attempt, Name, Query, Now);
    Pool.onFirstByte(Attempt, Now);
    return Attempt;
  }

  UpstreamPool Pool;
  Random Source{1};
  std::uint64_t LastAttempt = 0;
  std::vector<Candidate> Last;
};

// Load pattern: long calls that fill an upstream's memory while two thirds of
// its slots are free; short calls hold more slots and little memory elsewhere.
TEST_CASE("Long calls go to upstreams whose memory has room",
          "[UpstreamMemory]") {
  MemoryFixture Fixture(2);
  const TimePoint Now = Start + 60s;
  const UpstreamName Full{"e0"};
  for (std::uint64_t Own = 0; Own < 20; ++Own)
    Fixture.sendTo(Full, queryOf(0, 0, 17'000, Own), Now);
  for (std::uint64_t Own = 20; Own < 60; ++Own)
    Fixture.sendTo(UpstreamName{"e1"}, queryOf(0, 0, 1'460, Own), Now);
  int Waiting = 0;
  for (std::uint64_t Own = 60; Own < 70; ++Own) {
    PlacementQuery Query = queryOf(0, 0, 17'000, Own);
    Query.Prefixes.clear();
    Query.PartTokens.clear();
    if (Fixture.send(Query, Now) == Full)
      ++Waiting;
  }
  // A short wait for memory may cost less than the load of the other upstream.
  CHECK(Waiting <= 3);
}

TEST_CASE("A call expects to wait for memory where it has no room",
          "[UpstreamMemory]") {
  MemoryFixture Fixture(1);
  const TimePoint Now = Start + 60s;
  AttemptId Last;
  for (std::uint64_t Own = 100; Own < 120; ++Own) {
    const PlacementQuery Query = queryOf(Own, 13'300, 3'700, Own);
    CHECK(Fixture.place(Query, Now).RoomDelay == Duration());
    Last = Fixture.sendTo(UpstreamName{"e0"}, Query, Now);
  }
  const PlacementQuery Long = queryOf(150, 13'300, 8'000, 150);
  CHECK(Fixture.place(Long, Now).RoomDelay > Duration());
  // A short call still fits.
  const PlacementQuery Short = queryOf(151, 350, 1'110, 151);
  CHECK(Fixture.place(Short, Now).RoomDelay == Duration());
  // The end of one call frees its memory.
  Fixture.Pool.onEnded(Last, AttemptEnd::Answered, Now + 2s);
  CHECK(Fixture.place(Long, Now + 2s).RoomDelay == Duration());
}

// Load pattern: a large fleet, in which an instance learns of others' calls
// only from the upstream's reports.
TEST_CASE("Calls of other instances hold memory too", "[UpstreamMemory]") {
  MemoryFixture Fixture(1);
  const TimePoint Now = Start + 60s;
  const PlacementQuery Long = queryOf(0, 0, 17'000, 150);
  for (std::uint64_t Own = 0; Own < 40; ++Own) {
    const UpstreamName Name = Fixture.send(queryOf(0, 0, 17'000, Own), Now);
    Fixture.Pool.onEnded(AttemptId{Fixture.LastAttempt}, AttemptEnd::Answered,
                         Now + 2s);
    Fixture.Pool.onLoad(Name, {1, 0, 64}, Now);
  }
  CHECK(Fixture.place(Long, Now).RoomDelay == Duration());
  Fixture.Pool.onLoad({"e0"}, {30, 0, 64}, Now);
  CHECK(Fixture.place(Long, Now).RoomDelay > Duration());
}

TEST_CASE("A call that exceeds the memory has no candidate",
          "[UpstreamMemory]") {
  MemoryFixture Fixture(2);
  PlacementQuery Query = queryOf(7, 300'000, 50'000, 1);
  CHECK(Fixture.Pool.candidates(Query, Fixture.Source, Start).empty());
  Query.MemoryTokens.reset();
  CHECK(Fixture.Pool.candidates(Query, Fixture.Source, Start).size() == 2);
}

TEST_CASE("Shared parts are held once", "[UpstreamMemory]") {
  const CallFootprint First =
      parseFootprint(prefixesOf({{1, 1000}, {2, 50}}), {1000, 50}, 1060, 40);
  const CallFootprint Second =
      parseFootprint(prefixesOf({{1, 1000}, {3, 70}}), {1000, 70}, 0, 0);
  HeldTokens Held;
  Held.add(First);
  CHECK(Held.total() == 1100);
  CHECK(Held.addedBy(Second, 0) == 70);
  Held.add(Second);
  CHECK(Held.total() == 1170);
  Held.remove(First);
  CHECK(Held.total() == 1070);
  Held.remove(Second);
  CHECK(Held.total() == 0);
  CHECK(Held.addedBy(Second, 0) == 1070);
  CHECK(Held.addedBy(Second, 1) == 70);
}

TEST_CASE("The wait for memory grows with what is missing",
          "[UpstreamMemory]") {
  CHECK(timeUntilRoom({100, 0, 100}, 1s) == Duration());
  CHECK(timeUntilRoom({100, 90, 10}, 1s) == Duration());
  CHECK(timeUntilRoom({100, 100, 10}, 1s) == Duration(100ms));
  // Calls that wait ahead have to run first.
  CHECK(timeUntilRoom({100, 200, 10}, 1s) == Duration(1100ms));
  CHECK(timeUntilRoom({1, 1'000'000'000'000'000'000, 1}, 10s) < Duration(24h));
}

} // namespace
} // namespace bronzeward
