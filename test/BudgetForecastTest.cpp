#include "bronzeward/Budget"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

BudgetPolicy policy() {
  BudgetPolicy Policy;
  Policy.GrantHorizon = 9s;
  Policy.RateWindow = 6s;
  Policy.MaxGrantedFraction = 0.4;
  return Policy;
}

/// \returns a forecast after some seconds in which an account without grants
/// settled 1,000 per second.
BudgetForecast spending(Money Prepaid, int Seconds) {
  BudgetForecast Forecast;
  for (int Second = 0; Second <= Seconds; ++Second)
    Forecast.onBalance({Prepaid, scaled(Money(1'000), Second), Money(), 0},
                       policy(), Start + Second * 1s);
  return Forecast;
}

TEST_CASE("With plenty of budget, grants cover the policy's horizon",
          "[BudgetForecast]") {
  const BudgetForecast Forecast = spending(Money(100'000), 12);
  CHECK(Forecast.horizon(policy(), Start + 12s) == 9s);
}

// Load pattern: every instance is lost near the end of a budget, and the
// granted amounts with them.
TEST_CASE("Near the end of a budget, grants are a bounded fraction of the rest",
          "[BudgetForecast]") {
  const BudgetForecast Forecast = spending(Money(18'000), 12);
  // The rest lasts six seconds. Grants of four seconds are 40 % of grants and
  // rest together.
  const Duration Covered = Forecast.horizon(policy(), Start + 12s);
  CHECK(Covered > 3500ms);
  CHECK(Covered < 4500ms);
}

TEST_CASE("An exhausted budget leaves the minimum horizon",
          "[BudgetForecast]") {
  const BudgetForecast Forecast = spending(Money(12'000), 12);
  CHECK(Forecast.horizon(policy(), Start + 12s) == 1s);
}

TEST_CASE("A balance that arrives late has no effect", "[BudgetForecast]") {
  BudgetForecast Forecast = spending(Money(18'000), 12);
  const Duration Before = Forecast.horizon(policy(), Start + 12s);
  Forecast.onBalance({Money(18'000), Money(2'000), Money(), 0}, policy(),
                     Start + 12s);
  CHECK(Forecast.horizon(policy(), Start + 12s) == Before);
}

TEST_CASE("Without a balance the policy's horizon applies",
          "[BudgetForecast]") {
  CHECK(BudgetForecast().horizon(policy(), Start) == 9s);
}

} // namespace
} // namespace bronzeward
