#include "bronzeward/Budget"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

BudgetPolicy policy() {
  BudgetPolicy Policy;
  Policy.GrantHorizon = 9s;
  Policy.RateWindow = 6s;
  Policy.JointLossPart = 0.4;
  return Policy;
}

/// Shows an account that spends a thousand a second, with everything but what
/// is settled free, for some seconds.
BudgetOutlook spending(Money Prepaid, int Seconds) {
  BudgetOutlook Outlook;
  for (int Second = 0; Second <= Seconds; ++Second)
    Outlook.onShown({Prepaid, scaled(Money(1'000), Second), Money(), 0},
                    policy(), Start + Second * 1s);
  return Outlook;
}

TEST_CASE("While there is plenty, grants cover the whole outage",
          "[BudgetOutlook]") {
  const BudgetOutlook Outlook = spending(Money(100'000), 12);
  CHECK(Outlook.horizon(policy(), Start + 12s) == 9s);
}

// Load pattern: every instance is lost near the end of a budget; what was set
// aside is lost with them.
TEST_CASE("Toward its end, grants are a bounded part of what is left",
          "[BudgetOutlook]") {
  const BudgetOutlook Outlook = spending(Money(18'000), 12);
  // Six seconds are left. Grants of four are 40 in 100 of grants and rest.
  const Duration Covered = Outlook.horizon(policy(), Start + 12s);
  CHECK(Covered > 3500ms);
  CHECK(Covered < 4500ms);
}

TEST_CASE("An exhausted budget leaves the least horizon", "[BudgetOutlook]") {
  const BudgetOutlook Outlook = spending(Money(12'000), 12);
  CHECK(Outlook.horizon(policy(), Start + 12s) == 1s);
}

TEST_CASE("Sums that come late change nothing", "[BudgetOutlook]") {
  BudgetOutlook Outlook = spending(Money(18'000), 12);
  const Duration Before = Outlook.horizon(policy(), Start + 12s);
  Outlook.onShown({Money(18'000), Money(2'000), Money(), 0}, policy(),
                  Start + 12s);
  CHECK(Outlook.horizon(policy(), Start + 12s) == Before);
}

TEST_CASE("Before anything is known the policy's horizon holds",
          "[BudgetOutlook]") {
  CHECK(BudgetOutlook().horizon(policy(), Start) == 9s);
}

} // namespace
} // namespace bronzeward
