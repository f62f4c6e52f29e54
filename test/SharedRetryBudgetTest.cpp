#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

constexpr std::size_t Instances = 8;
const RetryAllowance Fleet{0.2, 54.0, 10s};

/// Replays a failing service: every call at every instance wants a repeat.
/// \returns the most repeats of all instances in any window.
std::int64_t mostRepeats(Duration Between, Duration For, double &Limit) {
  std::vector<SharedRetryBudget> Shares(Instances, SharedRetryBudget(Fleet));
  std::deque<TimePoint> Repeats;
  std::size_t Most = 0;
  std::size_t Calls = 0;
  const TimePoint Start(1h);
  for (TimePoint Now = Start; Now < Start + For; Now += Between) {
    SharedRetryBudget &Share = Shares[Calls++ % Instances];
    Share.onCall(Now);
    if (Share.take(Instances, Now))
      Repeats.push_back(Now);
    while (!Repeats.empty() && Repeats.front() <= Now - Fleet.Window)
      Repeats.pop_front();
    Most = std::max(Most, Repeats.size());
  }
  const double InWindow = std::chrono::duration<double>(Fleet.Window) /
                          std::chrono::duration<double>(Between);
  Limit = Fleet.Ratio * InWindow + Fleet.Extra;
  return static_cast<std::int64_t>(Most);
}

TEST_CASE("Repeats of all instances stay within the fleet's allowance",
          "[SharedRetryBudget]") {
  double Limit = 0.0;
  const std::int64_t Most = mostRepeats(10ms, 60s, Limit);
  CHECK(static_cast<double>(Most) <= Limit);
  CHECK(static_cast<double>(Most) >= 0.5 * Limit);
}

TEST_CASE("A quiet service may still repeat some calls",
          "[SharedRetryBudget]") {
  SharedRetryBudget Share(Fleet);
  const TimePoint Now(1h);
  Share.onCall(Now);
  CHECK(Share.take(Instances, Now));
}

TEST_CASE("One instance uses no more than its share", "[SharedRetryBudget]") {
  SharedRetryBudget Share(Fleet);
  const TimePoint Now(1h);
  int Taken = 0;
  while (Share.take(Instances, Now))
    ++Taken;
  CHECK(Taken <= 54 / static_cast<int>(Instances));
}

} // namespace
} // namespace bronzeward
