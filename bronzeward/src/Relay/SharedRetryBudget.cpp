#include "bronzeward/src/Relay/SharedRetryBudget.h"

#include <algorithm>

namespace bronzeward {

/// Steps in one window.
constexpr int StepsInWindow = 20;
/// Part of the allowance that is used. The rest covers instances that count
/// each other wrongly and windows that begin within a step.
constexpr double SafeShare = 0.7;

SharedRetryBudget::Step &SharedRetryBudget::current(TimePoint Now) {
  const Duration Length = Allowance.Window / StepsInWindow;
  // One step longer than the window, since the oldest ends within it.
  while (!Steps.empty() &&
         Now >= Steps.front().Begin + Allowance.Window + Length)
    Steps.pop_front();
  if (Steps.empty() || Now >= Steps.back().Begin + Length)
    Steps.push_back({Now, 0, 0});
  return Steps.back();
}

void SharedRetryBudget::onCall(TimePoint Now) { ++current(Now).Calls; }

bool SharedRetryBudget::take(std::size_t Instances, TimePoint Now) {
  Step &Latest = current(Now);
  std::int64_t Calls = 0;
  std::int64_t Repeats = 0;
  for (const Step &Item : Steps) {
    Calls += Item.Calls;
    Repeats += Item.Repeats;
  }
  const double Share = static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Limit =
      Allowance.Ratio * static_cast<double>(Calls) + Allowance.Extra / Share;
  if (static_cast<double>(Repeats + 1) > SafeShare * Limit)
    return false;
  ++Latest.Repeats;
  return true;
}

} // namespace bronzeward
