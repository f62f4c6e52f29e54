#include "test/support/FleetNetwork.h"

namespace bronzeward {
namespace {

/// Time in which a change is in force everywhere, from the stated target.
constexpr Duration InForce = 3s;
/// Ten megabits a second, the smallest link that instances have.
constexpr double SmallLink = 1.25e6;
constexpr std::size_t Instances = 24;

std::vector<std::size_t> lagging(const fakes::FleetNetwork &Fleet,
                                 std::uint64_t Version) {
  std::vector<std::size_t> Behind;
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    if (Fleet.version(Node) != Version)
      Behind.push_back(Node);
  return Behind;
}

// Load pattern: the store turns a third of a large fleet away while the
// operator adds 2,000 routes and changes them twice.
TEST_CASE("A long configuration reaches instances without the store in time",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::size_t Node = 0; Node < Instances; Node += 3)
    Fleet.setStoreAway(Node, true);
  Fleet.runFor(4s);
  for (std::uint64_t Version = 2; Version < 5; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(InForce);
    CHECK_THAT(lagging(Fleet, Version),
               Catch::Equals(std::vector<std::size_t>()));
  }
}

// Load pattern: calls take more than half of every link while versions of a
// long text follow each other three times a second.
TEST_CASE("A long configuration comes into force over links that calls share",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.4 * SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(330ms);
  }
  Fleet.runFor(InForce - 330ms);
  CHECK_THAT(lagging(Fleet, 11), Catch::Equals(std::vector<std::size_t>()));
}

// Load pattern: the links of all but the strongest instances are nearly full
// of calls when the operator adds 2,000 routes.
TEST_CASE("A long configuration comes into force over links that are busy",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.15 * SmallLink, 2);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::uint64_t Version = 2; Version < 5; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(InForce);
    CHECK_THAT(lagging(Fleet, Version),
               Catch::Equals(std::vector<std::size_t>()));
  }
}

// Load pattern: an instance with a full link hears no watcher for a moment, and
// watches the store itself meanwhile.
TEST_CASE("An instance that follows the store for want of a watcher still asks "
          "its peers",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.05 * SmallLink, 2);
  constexpr std::size_t Lonely = 20;
  Fleet.configure(1, 20);
  Fleet.runFor(10s);
  REQUIRE(lagging(Fleet, 1).empty());
  Fleet.setPeersAway(Lonely, true);
  Fleet.runFor(4s);
  Fleet.configure(2, 2000);
  Fleet.runFor(1s);
  Fleet.setPeersAway(Lonely, false);
  Fleet.runFor(InForce);
  CHECK_THAT(lagging(Fleet, 2), Catch::Equals(std::vector<std::size_t>()));
}

// Load pattern: a store that comes and goes, so that its keys are listed anew
// each time.
TEST_CASE("A configuration in force is not read again",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(6, 3, SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (int Round = 0; Round < 4; ++Round) {
    for (const bool Away : {true, false}) {
      for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
        Fleet.setStoreAway(Node, Away);
      Fleet.runFor(4s);
    }
  }
  CHECK(Fleet.parsed() == Fleet.size());
}

/// What a node may spend on control, in bytes a second, from the stated size.
constexpr double ControlBytes = 7000;

// Load pattern: the store turns a third of a large fleet away for ten seconds;
// upstreams come and go meanwhile.
TEST_CASE("Instances without the store get changes of upstreams, not the list",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, SmallLink);
  Fleet.configure(1, 20);
  for (int Number = 0; Number < 90; ++Number)
    Fleet.writeUpstream("u" + std::to_string(Number));
  Fleet.runFor(8s);
  std::vector<std::size_t> Before;
  for (std::size_t Node = 0; Node < Instances; ++Node) {
    Fleet.setStoreAway(Node, Node % 3 == 0);
    Before.push_back(Fleet.bytesFromPeers(Node));
  }
  for (int Second = 0; Second < 10; ++Second) {
    Fleet.writeUpstream("new" + std::to_string(Second));
    Fleet.removeUpstream("u" + std::to_string(Second));
    Fleet.runFor(1s);
  }
  Fleet.runFor(1s);
  for (std::size_t Node = 0; Node < Instances; ++Node) {
    CAPTURE(Node);
    CHECK(Fleet.upstreams(Node) == 90);
    const double Spent =
        static_cast<double>(Fleet.bytesFromPeers(Node) - Before[Node]) / 11;
    CHECK(Spent <= ControlBytes);
  }
}

} // namespace
} // namespace bronzeward
