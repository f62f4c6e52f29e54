#include "bronzeward/src/Budget/BudgetForecast.h"

#include <algorithm>

namespace bronzeward {

/// Minimum time that grants cover, so that the last of a budget is not drawn
/// request by request: two commits of a busy slot.
constexpr Duration MinHorizon = 1s;

void BudgetForecast::onBalance(const AccountBalance &Balance,
                               const BudgetPolicy &Policy, TimePoint Now) {
  // Settled and prepaid amounts only grow, so a lower one is out of date.
  if (Latest &&
      (Balance.Settled < Latest->Settled || Balance.Prepaid < Latest->Prepaid))
    return;
  if (Latest && Balance.Settled > Latest->Settled)
    FleetRate.record(Balance.Settled - Latest->Settled, Policy.RateWindow, Now);
  Latest = Balance;
}

Duration BudgetForecast::horizon(const BudgetPolicy &Policy,
                                 TimePoint Now) const {
  const double Rate = FleetRate.perSecond(Policy.RateWindow, Now);
  if (!Latest || Rate <= 0.0 || Policy.MaxGrantedFraction >= 1.0)
    return Policy.GrantHorizon;
  // Limits all grants to that fraction of the sum of grants and free budget.
  const double GrantedToFree =
      Policy.MaxGrantedFraction / (1.0 - Policy.MaxGrantedFraction);
  const std::chrono::duration<double> Affordable(
      static_cast<double>(Latest->free().micros()) * GrantedToFree / Rate);
  const std::chrono::duration<double> MaxCovered = Policy.GrantHorizon;
  const Duration Covered =
      std::chrono::duration_cast<Duration>(std::min(Affordable, MaxCovered));
  return std::max(Covered, std::min(MinHorizon, Policy.GrantHorizon));
}

} // namespace bronzeward
