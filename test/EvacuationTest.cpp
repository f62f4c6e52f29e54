#include "platform/PlatformDeploymentCodec.h"
#include "test/support/FleetNetwork.h"
#include "test/support/RelayFixture.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

/// Time after an evacuation from which it has to be in force.
constexpr Duration InForceTime = 5s;
constexpr double LinkBytesPerSecond = 1.25e6;

/// \brief A fleet whose upstreams are in two failure domains.
class EvacuationFixture {
public:
  explicit EvacuationFixture(std::size_t Instances)
      : Fleet(Instances, 3, LinkBytesPerSecond) {
    Fleet.configure(1, 4);
    for (const char *Number : {"1", "2", "3"}) {
      Fleet.writeUpstream(std::string("a") + Number, "d0");
      Fleet.writeUpstream(std::string("b") + Number, "d1");
    }
    Fleet.runFor(8s);
  }

  /// Sends calls to every instance.
  /// \returns the number of calls that arrived in the first failure domain.
  std::size_t arrivalsInFirstDomain() {
    const std::size_t Before = Fleet.arrivals().size();
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      for (int Count = 0; Count < 4; ++Count)
        Fleet.request(Index, {std::to_string(++LastPart), "own"});
    Fleet.runFor(1s);
    const auto Begin =
        Fleet.arrivals().begin() + static_cast<std::ptrdiff_t>(Before);
    Arrived = Fleet.arrivals().size() - Before;
    return static_cast<std::size_t>(std::count_if(
        Begin, Fleet.arrivals().end(), [](const fakes::UpstreamArrival &Item) {
          return Item.Upstream.Value.starts_with("a");
        }));
  }

  fakes::FleetNetwork Fleet;
  /// Calls of the latest round that arrived anywhere.
  std::size_t Arrived = 0;

private:
  std::size_t LastPart = 0;
};

TEST_CASE("An evacuation is in force at every instance until it is taken back",
          "[Evacuation]") {
  EvacuationFixture Fixture(GENERATE(std::size_t{8}, std::size_t{76}));
  fakes::FleetNetwork &Fleet = Fixture.Fleet;
  REQUIRE(Fixture.arrivalsInFirstDomain() > 0);
  // One is cut from the store, one restarts, and one restarts without the
  // store.
  Fleet.setStoreUnreachable(5, true);
  Fleet.setStoreUnreachable(4, true);
  Fleet.evacuate("d0");
  Fleet.runFor(1s);
  Fleet.restart(2);
  Fleet.restart(4);
  Fleet.runFor(InForceTime - 1s);
  CHECK(Fixture.arrivalsInFirstDomain() == 0);
  CHECK(Fixture.Arrived >= 4 * (Fleet.size() - 2));
  Fleet.setStoreUnreachable(4, false);
  Fleet.endEvacuation("d0");
  Fleet.runFor(InForceTime);
  CHECK(Fixture.arrivalsInFirstDomain() > Fleet.size());
}

TEST_CASE("An evacuation reaches instances of which most are cut from the "
          "store",
          "[Evacuation]") {
  EvacuationFixture Fixture(GENERATE(std::size_t{8}, std::size_t{76}));
  fakes::FleetNetwork &Fleet = Fixture.Fleet;
  for (std::size_t Index = 1; Index < Fleet.size(); ++Index)
    Fleet.setStoreUnreachable(Index, true);
  Fleet.evacuate("d0");
  Fleet.runFor(InForceTime);
  CHECK(Fixture.arrivalsInFirstDomain() == 0);
  CHECK(Fixture.Arrived == 4 * Fleet.size());
  Fleet.endEvacuation("d0");
  Fleet.runFor(InForceTime);
  CHECK(Fixture.arrivalsInFirstDomain() > Fleet.size());
}

TEST_CASE("Calls under way at an evacuation are answered", "[Evacuation]") {
  EvacuationFixture Fixture(8);
  fakes::FleetNetwork &Fleet = Fixture.Fleet;
  Fleet.setWritingTime(3s);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    Fleet.request(Index, {std::to_string(Index), "own"});
  Fleet.runFor(100ms);
  Fleet.evacuate("d0");
  Fleet.runFor(4s);
  REQUIRE(Fleet.answers().size() == Fleet.size());
  for (const fakes::CallerAnswer &Given : Fleet.answers())
    CHECK(Given.Status == 200);
}

TEST_CASE("A call is refused at once while all upstreams are evacuated",
          "[Evacuation]") {
  EvacuationFixture Fixture(8);
  fakes::FleetNetwork &Fleet = Fixture.Fleet;
  Fleet.evacuate("d0");
  Fleet.evacuate("d1");
  Fleet.runFor(InForceTime);
  Fleet.request(0);
  REQUIRE(Fleet.answers().size() == 1);
  CHECK(Fleet.answers().front().Status == 503);
  CHECK(Fleet.arrivals().empty());
}

TEST_CASE("Notices older than the known revision change nothing",
          "[Evacuation]") {
  EvacuatedDomains Domains;
  const FailureDomain First{"d0"};
  const FailureDomain Second{"d1"};
  CHECK(Domains.onListed({5, {First}}));
  CHECK(Domains.onChanged(First, false, 7));
  CHECK_FALSE(Domains.onListed({5, {First}}));
  CHECK_FALSE(Domains.onListed({6, {First}}));
  CHECK_FALSE(Domains.onChanged(First, true, 6));
  CHECK(Domains.notice().Domains.empty());
  // One store transaction gives several changes the same revision.
  CHECK(Domains.onChanged(First, true, 9));
  CHECK(Domains.onChanged(Second, true, 9));
  CHECK(Domains.isNewerThan({8, {First}}));
  CHECK_FALSE(Domains.isNewerThan({8, {First, Second}}));
  CHECK(Domains.onListed({10, {Second}}));
  CHECK(Domains.notice().Domains == std::vector<FailureDomain>{Second});
}

/// \brief Evacuates the failure domain of all upstreams of the fixture except
/// the one that the latest call was sent to and, optionally, one more.
void evacuateOthers(fakes::RelayFixture &Fixture,
                    const std::optional<UpstreamName> &Kept) {
  std::vector<UpstreamEntry> All = fakes::RelayFixture::entries(0ms);
  for (UpstreamEntry &Item : All)
    Item.Domain.Value = Kept && Item.Name == *Kept ? "d1" : "d0";
  EvacuatedDomains Domains;
  Domains.onListed({1, {FailureDomain{"d0"}}});
  Fixture.Engine.setUsable(Domains.withoutEvacuated(All), Fixture.Now);
}

TEST_CASE("Retries and resumptions avoid evacuated upstreams", "[Evacuation]") {
  fakes::RelayFixture Fixture;
  const bool Resumes = GENERATE(false, true);
  Fixture.request(Resumes ? "/resume/x" : "/get/x");
  REQUIRE(Fixture.Calls.size() == 1);
  if (Resumes) {
    Fixture.head(200, {{"Content-Type", "text/event-stream"}});
    Fixture.bytes("id: 1\ndata: a\n\n");
  }
  const bool OneIsLeft = GENERATE(false, true);
  const UpstreamName Other{Fixture.Calls.front().Upstream.Value == "u1" ? "u2"
                                                                        : "u1"};
  evacuateOthers(Fixture, OneIsLeft ? std::optional(Other) : std::nullopt);
  Fixture.fail(UpstreamFailure::Closed);
  if (!OneIsLeft) {
    CHECK(Fixture.Calls.size() == 1);
    return;
  }
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls.back().Upstream == Other);
}

TEST_CASE("The platform's keys name the evacuated failure domain",
          "[Evacuation]") {
  const platform::PlatformDeploymentCodec Codec;
  CHECK(Codec.evacuatedDomain("op/evacuate/d0") == FailureDomain{"d0"});
  CHECK_FALSE(Codec.evacuatedDomain("op/evacuate/"));
  CHECK_FALSE(Codec.evacuatedDomain("op/config"));
  CHECK(Codec.configurationKey().starts_with(Codec.operatorPrefix()));
}

} // namespace
} // namespace bronzeward
