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
    Congestion.onReached(Start + 100ms);
  CHECK(Congestion.congested(Start + 100ms));
  Congestion.onReached(Start + 100ms);
  CHECK_FALSE(Congestion.congested(Start + 100ms));
}

TEST_CASE("A few unreachable upstreams are not local congestion",
          "[LocalCongestion]") {
  LocalCongestion Congestion;
  for (int Call = 0; Call < 50; ++Call)
    Congestion.onConnectTimeout(upstream(Call % 3), Start);
  CHECK_FALSE(Congestion.congested(Start));
}

} // namespace
} // namespace bronzeward
