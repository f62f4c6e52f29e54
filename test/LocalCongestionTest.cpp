#include "test/support/FleetNetwork.h"

#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

UpstreamName upstream(int Number) {
  return UpstreamName{"u" + std::to_string(Number)};
}

// Load pattern: every connection of an instance is delayed by its own link.
TEST_CASE("Timeouts of several upstreams at once are local congestion",
          "[LocalCongestion]") {
  LocalCongestion Congestion;
  for (int Call = 0; Call < 4; ++Call) {
    CHECK_FALSE(Congestion.congested(Start));
    Congestion.onConnectTimeout(upstream(Call), Start);
  }
  CHECK(Congestion.congested(Start));
  CHECK(Congestion.congested(Start + 900ms));
  CHECK_FALSE(Congestion.congested(Start + 1s));
}

TEST_CASE("Congestion ends once answers are as frequent as timeouts",
          "[LocalCongestion]") {
  LocalCongestion Congestion;
  for (int Call = 0; Call < 20; ++Call)
    Congestion.onConnectTimeout(upstream(Call), Start);
  for (int Answer = 0; Answer < 19; ++Answer)
    Congestion.onAnswerBegun(Start + 100ms);
  CHECK(Congestion.congested(Start + 100ms));
  Congestion.onAnswerBegun(Start + 100ms);
  CHECK_FALSE(Congestion.congested(Start + 100ms));
}

TEST_CASE("A few unreachable upstreams are not local congestion",
          "[LocalCongestion]") {
  LocalCongestion Congestion;
  for (int Call = 0; Call < 50; ++Call)
    Congestion.onConnectTimeout(upstream(Call % 3), Start);
  CHECK_FALSE(Congestion.congested(Start));
}

// Load pattern: most callers of a failure domain come to one instance, whose
// link is full. Only the load balancer can send them elsewhere.
TEST_CASE("A congested instance is not ready until it has recovered",
          "[LocalCongestion]") {
  fakes::FleetNetwork Fleet(8, 3, 1.25e6);
  Fleet.configure(1, 4);
  for (int Number = 0; Number < 12; ++Number)
    Fleet.writeUpstream("u" + std::to_string(Number));
  Fleet.runFor(8s);
  const auto LoadFor = [&](Duration Time) {
    for (Duration Spent{}; Spent < Time; Spent += 20ms) {
      for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
        Fleet.request(Index);
      Fleet.runFor(20ms);
    }
  };
  LoadFor(1s);
  REQUIRE(Fleet.ready(3));
  Fleet.setLinkFull(3, true);
  LoadFor(2s);
  CHECK_FALSE(Fleet.ready(3));
  for (const std::size_t Other : {0, 1, 2, 4, 5, 6, 7})
    CHECK(Fleet.ready(Other));
  Fleet.setLinkFull(3, false);
  LoadFor(6s);
  CHECK(Fleet.ready(3));
}

} // namespace
} // namespace bronzeward
