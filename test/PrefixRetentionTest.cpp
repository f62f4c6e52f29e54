#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start(1h);
constexpr Duration Objective = 800ms;
constexpr std::int64_t Memory = 350'000;
using Users = PrefixRetention::Users;

UpstreamEntry entryOf(int Index) {
  UpstreamEntry Entry;
  Entry.Name.Value = "e" + std::to_string(Index);
  Entry.Service.Value = "draft";
  Entry.Domain.Value = "a";
  Entry.Slots = 64;
  return Entry;
}

PlacementQuery queryOf(std::uint64_t Shared, std::int64_t SharedTokens,
                       std::int64_t OwnTokens, std::uint64_t Own) {
  PlacementQuery Query;
  Query.Service.Value = "draft";
  Query.Prefixes = prefixesOf({{Shared, SharedTokens}, {Own, OwnTokens}});
  Query.PartTokens = {SharedTokens, OwnTokens};
  Query.PromptTokens = SharedTokens + OwnTokens;
  Query.MemoryTokens = Memory;
  return Query;
}

/// \brief An instance with two upstreams.
class TwoUpstreams {
public:
  TwoUpstreams() : Pool(FailureDomain{"a"}) {
    Pool.setUsable({entryOf(0), entryOf(1)}, Start);
  }
  Candidate best(const PlacementQuery &Query, TimePoint Now) {
    const std::vector<Candidate> All = Pool.candidates(Query, Source, Now);
    REQUIRE(All.size() == 2);
    return All[placeCall({Query.PromptTokens, 0}, All, Objective).Index];
  }
  /// Sends a call that has ended by the next one.
  void run(const UpstreamName &Name, const PlacementQuery &Query,
           TimePoint Now) {
    const AttemptId Attempt = send(Name, Query, Now);
    Pool.onEnded(Attempt, AttemptEnd::Answered, Now + 2s);
  }
  AttemptId send(const UpstreamName &Name, const PlacementQuery &Query,
                 TimePoint Now) {
    const AttemptId Attempt{++LastAttempt};
    Pool.onDispatched(Attempt, Name, Query, Now);
    Pool.onFirstByte(Attempt, Now + Query.PromptTokens * Duration(20us));
    return Attempt;
  }

  UpstreamPool Pool;
  Random Source{1};
  std::uint64_t LastAttempt = 0;
};

TEST_CASE("A prefix is lost once the memory was filled after its last use",
          "[PrefixRetention]") {
  PrefixRetention Retention;
  Retention.onCall({1}, 10'000, Memory);
  CHECK(Retention.heldProbability(1, Memory, Users::ThisInstance) == 1.0);
  CHECK(Retention.heldProbability(2, Memory, Users::ThisInstance) == 0.0);
  CHECK(Retention.heldProbability(2, Memory, Users::AllInstances) > 0.5);
  Retention.onOthersTokens(100'000);
  CHECK(Retention.heldProbability(1, Memory, Users::ThisInstance) > 0.8);
  // Running calls leave less of the memory to what is cached.
  CHECK(Retention.heldProbability(1, 50'000, Users::ThisInstance) < 0.3);
  CHECK(Retention.heldProbability(1, 0, Users::AllInstances) == 0.0);
  Retention.onOthersTokens(900'000);
  CHECK(Retention.heldProbability(1, Memory, Users::ThisInstance) < 0.2);
  // The other instances used it in the meantime.
  CHECK(Retention.heldProbability(1, Memory, Users::AllInstances) > 0.8);
  Retention.clear();
  CHECK(Retention.heldProbability(1, Memory, Users::ThisInstance) == 0.0);
}

TEST_CASE("Prefixes that are certainly lost are dropped", "[PrefixRetention]") {
  PrefixRetention Retention;
  for (std::uint64_t Prefix = 0; Prefix < 10'000; ++Prefix)
    Retention.onCall({Prefix}, 1'000, Memory);
  CHECK(Retention.size() < 2'000);
}

// Load pattern: a hot prefix whose upstream has no room.
TEST_CASE("A hot prefix leaves an upstream without room", "[PrefixRetention]") {
  TwoUpstreams Fixture;
  const PlacementQuery Hot = queryOf(7, 13'300, 1'000, 1);
  const UpstreamName Preferred = Fixture.best(Hot, Start).Name;
  for (std::uint64_t Own = 0; Own < 20; ++Own)
    Fixture.run(Preferred, queryOf(7, 13'300, 1'000, 100 + Own),
                Start + Own * 3s);
  TimePoint Now = Start + 120s;
  CHECK(Fixture.best(Hot, Now).Name == Preferred);
  // Two thirds of the slots stay free.
  for (std::uint64_t Own = 0; Own < 21; ++Own)
    Fixture.send(Preferred, queryOf(1000 + Own, 13'300, 3'700, 2000 + Own),
                 Now);
  const Candidate Chosen = Fixture.best(Hot, Now + 1s);
  CHECK(Chosen.Name != Preferred);
  CHECK(Chosen.RoomDelay == Duration());
}

// Load pattern: a prefix that was used once where it is not preferred, before
// many other calls passed through the same memory.
TEST_CASE("A prefix that was evicted does not attract calls",
          "[PrefixRetention]") {
  TwoUpstreams Fixture;
  const PlacementQuery Query = queryOf(7, 13'300, 1'000, 1);
  const UpstreamName Preferred = Fixture.best(Query, Start).Name;
  const UpstreamName Other =
      Preferred == entryOf(0).Name ? entryOf(1).Name : entryOf(0).Name;
  const auto CachedAtOther = [&](TimePoint Now) {
    for (const Candidate &Item :
         Fixture.Pool.candidates(Query, Fixture.Source, Now))
      if (Item.Name == Other)
        return Item.CachedTokens;
    return std::int64_t{-1};
  };
  CHECK(CachedAtOther(Start) == 0);
  Fixture.run(Other, queryOf(7, 13'300, 1'000, 2), Start);
  CHECK(CachedAtOther(Start + 3s) == 13'300);
  for (std::uint64_t Own = 0; Own < 100; ++Own)
    Fixture.run(Other, queryOf(1000 + Own, 13'300, 3'700, 2000 + Own),
                Start + Own * 3s);
  CHECK(CachedAtOther(Start + 400s) < 13'300 / 4);
}

} // namespace
} // namespace bronzeward
