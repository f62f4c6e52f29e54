#include "bronzeward/src/Relay/PeerRepetitions.h"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

// Load pattern: a peer behind a full link, to which messages are lost again and
// again while its own arrive.
TEST_CASE("State is repeated after a loss, and seldom to a full link",
          "[PeerRepetitions]") {
  const InstanceId Peer{"a"};
  PeerRepetitions Repetitions(2s);
  TimePoint Now{1h};
  CHECK_FALSE(Repetitions.onHeard(Peer, Now));
  int Repeated = 0;
  for (const TimePoint End = Now + 10s; Now < End; Now += 100ms) {
    Repetitions.onLost(Peer);
    Repeated += Repetitions.onHeard(Peer, Now) ? 1 : 0;
  }
  CHECK(Repeated == 5);
  // Nothing was lost since the last repetition.
  Repetitions.onLost(Peer);
  CHECK(Repetitions.onHeard(Peer, Now + 2s));
  CHECK_FALSE(Repetitions.onHeard(Peer, Now + 10s));
}

} // namespace
} // namespace bronzeward
