#include "test/support/FleetNetwork.h"

namespace bronzeward {
namespace {

/// Required time within which a change is in force at every instance.
constexpr Duration ConvergenceTime = 3s;
/// Smallest link that instances have, 10 Mbit/s, in bytes per second.
constexpr double SmallLink = 1.25e6;
constexpr std::size_t Instances = 24;

/// \returns the instances at which another version is in force.
std::vector<std::size_t> lagging(const fakes::FleetNetwork &Fleet,
                                 std::uint64_t Version) {
  std::vector<std::size_t> Lagging;
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    if (Fleet.version(Node) != Version)
      Lagging.push_back(Node);
  return Lagging;
}

// Guards against late configurations at instances that depend on peers: the
// store is unreachable for a third of a large fleet while the operator adds
// 2,000 routes and changes them twice.
TEST_CASE("A long configuration reaches instances without the store in time",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::size_t Node = 0; Node < Instances; Node += 3)
    Fleet.setStoreUnreachable(Node, true);
  Fleet.runFor(4s);
  for (std::uint64_t Version = 2; Version < 5; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(ConvergenceTime);
    CHECK_THAT(lagging(Fleet, Version),
               Catch::Equals(std::vector<std::size_t>()));
  }
}

// Guards against versions that replace each other before any is received:
// calls use more than half of every link, and a long text changes three times a
// second.
TEST_CASE("A long configuration takes effect over links that calls share",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.4 * SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::uint64_t Version = 2; Version < 12; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(330ms);
  }
  Fleet.runFor(ConvergenceTime - 330ms);
  CHECK_THAT(lagging(Fleet, 11), Catch::Equals(std::vector<std::size_t>()));
}

// Guards against transfers that crowd each other out: calls nearly fill the
// links of all but the strongest instances when the operator adds 2,000 routes.
TEST_CASE("A long configuration takes effect over busy links",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.15 * SmallLink, 2);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (std::uint64_t Version = 2; Version < 5; ++Version) {
    Fleet.configure(Version, 2000);
    Fleet.runFor(ConvergenceTime);
    CHECK_THAT(lagging(Fleet, Version),
               Catch::Equals(std::vector<std::size_t>()));
  }
}

// Guards against an instance that stays on an old version: its link is full, it
// receives no message of a watcher for four seconds and watches the store
// itself meanwhile.
TEST_CASE("An instance that watches the store because it lost its watchers "
          "still asks its peers",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, 0.05 * SmallLink, 2);
  constexpr std::size_t Isolated = 20;
  Fleet.configure(1, 20);
  Fleet.runFor(10s);
  REQUIRE(lagging(Fleet, 1).empty());
  Fleet.setPeersUnreachable(Isolated, true);
  Fleet.runFor(4s);
  Fleet.configure(2, 2000);
  Fleet.runFor(1s);
  Fleet.setPeersUnreachable(Isolated, false);
  Fleet.runFor(ConvergenceTime);
  CHECK_THAT(lagging(Fleet, 2), Catch::Equals(std::vector<std::size_t>()));
}

// Guards against parsing an unchanged text: each time that the store becomes
// reachable again, its keys are listed again.
TEST_CASE("A configuration in force is not parsed again",
          "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(6, 3, SmallLink);
  Fleet.configure(1, 20);
  Fleet.runFor(8s);
  REQUIRE(lagging(Fleet, 1).empty());
  for (int Round = 0; Round < 4; ++Round) {
    for (const bool Unreachable : {true, false}) {
      for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
        Fleet.setStoreUnreachable(Node, Unreachable);
      Fleet.runFor(4s);
    }
  }
  CHECK(Fleet.parsed() == Fleet.size());
}

/// Most bytes per second that an instance may receive from its peers.
constexpr double MaxControlBytesPerSecond = 7000;

// Guards against sending the whole list for each change: the store is
// unreachable for a third of a large fleet for ten seconds, and one upstream is
// added and another removed in each second.
TEST_CASE(
    "Instances without the store receive changes of upstreams, not the list",
    "[ConfigurationSpread]") {
  fakes::FleetNetwork Fleet(Instances, 4, SmallLink);
  Fleet.configure(1, 20);
  for (int Number = 0; Number < 90; ++Number)
    Fleet.writeUpstream("u" + std::to_string(Number));
  Fleet.runFor(8s);
  std::vector<std::size_t> Before;
  for (std::size_t Node = 0; Node < Instances; ++Node) {
    Fleet.setStoreUnreachable(Node, Node % 3 == 0);
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
    const double BytesPerSecond =
        static_cast<double>(Fleet.bytesFromPeers(Node) - Before[Node]) / 11;
    CHECK(BytesPerSecond <= MaxControlBytesPerSecond);
  }
}

} // namespace
} // namespace bronzeward
