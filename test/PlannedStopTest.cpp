#include "test/support/FleetNetwork.h"

#include <algorithm>
#include <map>

namespace bronzeward {
namespace {

/// Time from the stop's signal to the end of the process.
constexpr Duration StopTime = 8s;
/// A call that was sent later after the signal may not be cut off.
constexpr Duration LateTime = 3s;

/// \brief A calm fleet of which one instance stops.
class PlannedStopFixture {
public:
  PlannedStopFixture() : Fleet(8, 3, 1.25e6) {
    Fleet.configure(1, 4);
    for (int Number = 0; Number < 18; ++Number)
      Fleet.writeUpstream("u" + std::to_string(Number));
    Fleet.runFor(8s);
    Stopped = Fleet.now();
    Fleet.drain(0);
  }

  /// Sends a call to the stopping instance every 100 ms until a time after the
  /// signal, while it runs.
  void callUntil(Duration Time, std::chrono::milliseconds TimeLimit) {
    while (Fleet.now() < Stopped + Time && !Fleet.drained(0)) {
      const std::string Own = std::to_string(SentAt.size());
      SentAt.emplace(Fleet.request(0, {"p", Own}, TimeLimit), Fleet.now());
      Fleet.runFor(100ms);
    }
  }

  /// \returns the status of each call that was answered before the process
  /// ends; 0 for a stream that was cut off.
  [[nodiscard]] std::map<std::uint64_t, std::uint16_t> statuses() const {
    std::map<std::uint64_t, std::uint16_t> Given;
    for (const fakes::CallerAnswer &Item : Fleet.answers())
      if (Item.At < Stopped + StopTime)
        Given[Item.Ticket] = Item.Status;
    return Given;
  }

  fakes::FleetNetwork Fleet;
  TimePoint Stopped;
  /// Tickets of the calls.
  std::map<std::uint64_t, TimePoint> SentAt;
};

// Load pattern: callers go on using an instance until its process is gone, with
// calls that last longer than the stop.
TEST_CASE("Calls that come late in a planned stop are answered",
          "[PlannedStop]") {
  PlannedStopFixture Fixture;
  Fixture.Fleet.setWritingTime(20s);
  Fixture.callUntil(StopTime, 12s);
  Fixture.Fleet.runFor(1s);
  const std::map<std::uint64_t, std::uint16_t> Statuses = Fixture.statuses();
  REQUIRE(Fixture.SentAt.size() > 50);
  for (const auto &[Ticket, SentAt] : Fixture.SentAt) {
    CAPTURE(Ticket, (SentAt - Fixture.Stopped).count());
    const auto Found = Statuses.find(Ticket);
    // One sent in the last moment may find a closed connection.
    if (SentAt < Fixture.Stopped + StopTime - 1s)
      REQUIRE(Found != Statuses.end());
    if (Found != Statuses.end() && SentAt > Fixture.Stopped + LateTime)
      CHECK(Found->second == 503);
  }
}

TEST_CASE("Calls that end before a planned stop are still served",
          "[PlannedStop]") {
  PlannedStopFixture Fixture;
  Fixture.Fleet.setWritingTime(300ms);
  Fixture.callUntil(6s, 800ms);
  Fixture.Fleet.runFor(3s);
  for (const auto &[Ticket, Status] : Fixture.statuses())
    CHECK(Status == 200);
  CHECK(Fixture.Fleet.drained(0));
}

} // namespace
} // namespace bronzeward
