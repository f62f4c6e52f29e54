#include "bronzeward/src/Relay/SharedRetryBudget.h"

#include <algorithm>

namespace bronzeward {

/// Number of steps into which the sliding window is divided.
constexpr int StepsPerWindow = 20;
/// Fraction of the allowance that is used. The rest is a margin for instances
/// with outdated views of the number of instances, and for windows that begin
/// within a step.
constexpr double SafetyFraction = 0.7;

SharedRetryBudget::Step &SharedRetryBudget::current(TimePoint Now) {
  const Duration Length = Allowance.Window / StepsPerWindow;
  // Steps are kept for one step longer than the window, because the oldest step
  // overlaps its start.
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
  std::int64_t Retries = 0;
  for (const Step &Item : Steps) {
    Calls += Item.Calls;
    Retries += Item.Retries;
  }
  const double Sharers =
      static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Limit =
      Allowance.Ratio * static_cast<double>(Calls) + Allowance.Extra / Sharers;
  if (static_cast<double>(Retries + 1) > SafetyFraction * Limit)
    return false;
  ++Latest.Retries;
  return true;
}

} // namespace bronzeward
