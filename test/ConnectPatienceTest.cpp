#include "bronzeward/Net"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

/// \returns connections that were begun until one opened.
int attempts(ConnectPatience &Item, Duration Delay) {
  int Begun = 1;
  while (Delay >= Item.timeout() && Begun < 100) {
    Item.onTimedOut();
    ++Begun;
  }
  return Begun;
}

// Load pattern: the own link holds connections back for half a second.
TEST_CASE("A store behind a full link is reached", "[ConnectPatience]") {
  ConnectPatience Item(300ms, 900ms);
  CHECK(attempts(Item, 10ms) == 1);
  CHECK(attempts(Item, 500ms) == 2);
  // What suffices now is kept.
  CHECK(attempts(Item, 500ms) == 1);
  CHECK(attempts(Item, 10ms) == 1);
}

// Load pattern: the store is cut off; a packet sent in vain is sent again after
// a second.
TEST_CASE("Every second connection to a lost store is short",
          "[ConnectPatience]") {
  ConnectPatience Item(300ms, 900ms);
  for (int Round = 0; Round < 5; ++Round) {
    CHECK(Item.timeout() == Duration(300ms));
    Item.onTimedOut();
    CHECK(Item.timeout() == Duration(900ms));
    Item.onTimedOut();
  }
}

} // namespace
} // namespace bronzeward
