#include "bronzeward/src/Budget/BudgetForecast.h"

#include <algorithm>

namespace bronzeward {

/// Minimum time that grants cover, so that the last of a budget is not drawn
/// request by request: two commits of a busy slot.
constexpr Duration MinHorizon = 1s;
/// Reserve of a whole fleet as a multiple of its expected spending, which is
/// uneven where a workspace has few requests in the horizon.
constexpr double FleetReserveMargin = 1.5;

/// \returns the largest ratio of all grants to the free budget; infinite if the
/// policy does not limit grants.
static double grantedToFree(const BudgetPolicy &Policy) {
  return Policy.MaxGrantedFraction / (1.0 - Policy.MaxGrantedFraction);
}

void BudgetForecast::onBalance(const AccountBalance &Balance,
                               const BudgetPolicy &Policy, TimePoint Now) {
  // Settled and prepaid amounts only grow, so a lower one is out of date.
  if (Latest &&
      (Balance.Settled < Latest->Settled || Balance.Prepaid < Latest->Prepaid))
    return;
  if (Latest && Balance.Settled > Latest->Settled)
    FleetRate.record(Balance.Settled - Latest->Settled, Policy.RateWindow, Now);
  Latest = Balance;
  FleetReserve = reserveAt(Policy, Now);
}

Duration BudgetForecast::horizon(const BudgetPolicy &Policy,
                                 TimePoint Now) const {
  const double Rate = FleetRate.perSecond(Policy.RateWindow, Now);
  if (!Latest || Rate <= 0.0 || Policy.MaxGrantedFraction >= 1.0)
    return Policy.GrantHorizon;
  const std::chrono::duration<double> Affordable(
      static_cast<double>(Latest->free().micros()) * grantedToFree(Policy) /
      Rate);
  const std::chrono::duration<double> MaxCovered = Policy.GrantHorizon;
  const Duration Covered =
      std::chrono::duration_cast<Duration>(std::min(Affordable, MaxCovered));
  return std::max(Covered, std::min(MinHorizon, Policy.GrantHorizon));
}

Money BudgetForecast::maxReserve(const BudgetPolicy &Policy) const {
  if (!Latest)
    return Money();
  return Money(static_cast<std::int64_t>(
      static_cast<double>(Latest->unsettled().micros()) *
      Policy.MaxGrantedFraction));
}

Money BudgetForecast::reserveAt(const BudgetPolicy &Policy,
                                TimePoint Now) const {
  const std::chrono::duration<double> Covered = Policy.GrantHorizon;
  const double Expected = FleetRate.perSecond(Policy.RateWindow, Now) *
                          Covered.count() * FleetReserveMargin;
  return std::min(Money(static_cast<std::int64_t>(std::min(Expected, 1e17))),
                  maxReserve(Policy));
}

} // namespace bronzeward
