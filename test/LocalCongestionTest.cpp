#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

UpstreamName upstream(int Number) {
  return UpstreamName{"u" + std::to_string(Number)};
}

// Load pattern: a thousand calls wait for a link that carries a hundred.
TEST_CASE("The limit falls until connections open, then grows",
          "[LocalCongestion]") {
  LocalCongestion Item;
  std::size_t InFlight = 1000;
  TimePoint Now = Start;
  CHECK(Item.admits(InFlight, Now));
  while (InFlight > 100 && Now < Start + 5s) {
    Now += 30ms;
    Item.onConnectTimeout(
        upstream(static_cast<int>(Now.time_since_epoch() / 30ms % 50)),
        InFlight, Now);
    while (InFlight > 0 && !Item.admits(InFlight - 1, Now))
      --InFlight;
  }
  CHECK(InFlight <= 100);
  CHECK(Now < Start + 2s);
  CHECK_FALSE(Item.admits(100, Now));
  for (int Answer = 0; Answer < 600; ++Answer) {
    Now += 2ms;
    Item.onReached(Now);
  }
  CHECK_FALSE(Item.congested(Now));
  CHECK(Item.admits(100, Now));
  CHECK(Item.admits(100000, Now + 5s));
}

TEST_CASE("One upstream that cannot be reached is no congestion",
          "[LocalCongestion]") {
  LocalCongestion Item;
  for (int Call = 0; Call < 50; ++Call)
    CHECK_FALSE(Item.onConnectTimeout(upstream(Call % 3), 10, Start));
  CHECK_FALSE(Item.congested(Start));
  CHECK(Item.admits(100000, Start));
}

TEST_CASE("Some calls are carried however congested", "[LocalCongestion]") {
  LocalCongestion Item;
  TimePoint Now = Start;
  for (int Call = 0; Call < 500; ++Call) {
    Now += 20ms;
    Item.onConnectTimeout(upstream(Call % 20), 1, Now);
  }
  CHECK(Item.admits(7, Now));
  CHECK_FALSE(Item.admits(8, Now));
}

} // namespace
} // namespace bronzeward
