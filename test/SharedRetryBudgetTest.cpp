#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

constexpr std::size_t Instances = 8;
const RetryAllowance Fleet{0.2, 54.0, 10s};

/// Simulates a failing service: every call at every instance requests a retry.
/// \param Limit receives the allowance of all instances in one window.
/// \returns the maximum number of retries of all instances in any window.
std::int64_t maxRetries(Duration Interval, Duration Length, double &Limit) {
  std::vector<SharedRetryBudget> Budgets(Instances, SharedRetryBudget(Fleet));
  std::deque<TimePoint> Retries;
  std::size_t MaxRetries = 0;
  std::size_t Calls = 0;
  const TimePoint Start(1h);
  for (TimePoint Now = Start; Now < Start + Length; Now += Interval) {
    SharedRetryBudget &Budget = Budgets[Calls++ % Instances];
    Budget.onCall(Now);
    if (Budget.take(Instances, Now))
      Retries.push_back(Now);
    while (!Retries.empty() && Retries.front() <= Now - Fleet.Window)
      Retries.pop_front();
    MaxRetries = std::max(MaxRetries, Retries.size());
  }
  const double InWindow = std::chrono::duration<double>(Fleet.Window) /
                          std::chrono::duration<double>(Interval);
  Limit = Fleet.Ratio * InWindow + Fleet.Extra;
  return static_cast<std::int64_t>(MaxRetries);
}

TEST_CASE("Retries of all instances stay within the fleet's allowance",
          "[SharedRetryBudget]") {
  double Limit = 0.0;
  const std::int64_t MaxRetries = maxRetries(10ms, 60s, Limit);
  CHECK(static_cast<double>(MaxRetries) <= Limit);
  CHECK(static_cast<double>(MaxRetries) >= 0.5 * Limit);
}

TEST_CASE("A service with few calls may still retry some of them",
          "[SharedRetryBudget]") {
  SharedRetryBudget Budget(Fleet);
  const TimePoint Now(1h);
  Budget.onCall(Now);
  CHECK(Budget.take(Instances, Now));
}

TEST_CASE("An instance uses no more than its share of the extra retries",
          "[SharedRetryBudget]") {
  SharedRetryBudget Budget(Fleet);
  const TimePoint Now(1h);
  int Taken = 0;
  while (Budget.take(Instances, Now))
    ++Taken;
  CHECK(Taken <= 54 / static_cast<int>(Instances));
}

} // namespace
} // namespace bronzeward
