#include "bronzeward/src/Budget/BudgetOutlook.h"

#include <algorithm>

namespace bronzeward {

/// Least spending that grants cover, so that the last of a budget is not drawn
/// request by request: two commits of a busy slot.
constexpr Duration LeastHorizon = 1s;

void BudgetOutlook::onShown(const AccountBalance &Shown,
                            const BudgetPolicy &Policy, TimePoint Now) {
  // Settled and prepaid only grow, which tells older sums from newer ones.
  if (Known &&
      (Shown.Settled < Known->Settled || Shown.Prepaid < Known->Prepaid))
    return;
  if (Known && Shown.Settled > Known->Settled)
    Fleet.note(Shown.Settled - Known->Settled, Policy.RateWindow, Now);
  Known = Shown;
}

Duration BudgetOutlook::horizon(const BudgetPolicy &Policy,
                                TimePoint Now) const {
  const double Rate = Fleet.perSecond(Policy.RateWindow, Now);
  if (!Known || Rate <= 0.0 || Policy.JointLossPart >= 1.0)
    return Policy.GrantHorizon;
  // All grants are to be at most the part of grants and free budget together.
  const double Ratio = Policy.JointLossPart / (1.0 - Policy.JointLossPart);
  const std::chrono::duration<double> Lasting(
      static_cast<double>(Known->free().micros()) * Ratio / Rate);
  const std::chrono::duration<double> Longest = Policy.GrantHorizon;
  const Duration Covered =
      std::chrono::duration_cast<Duration>(std::min(Lasting, Longest));
  return std::max(Covered, std::min(LeastHorizon, Policy.GrantHorizon));
}

} // namespace bronzeward
