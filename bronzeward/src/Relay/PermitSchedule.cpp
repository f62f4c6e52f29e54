#include "bronzeward/src/Relay/PermitSchedule.h"

namespace bronzeward {

/// Bounds that keep the interval within the range of its type, in calls per
/// second.
constexpr double MinRate = 1e-6;
constexpr double MaxRate = 1e6;

/// Times that passed without a call are made up for if they are not older.
constexpr Duration MaxCredit = 500ms;

Duration PermitSchedule::interval(CallRate Rate) {
  const std::chrono::duration<double> Seconds(
      1.0 / std::clamp(Rate.PerSecond, MinRate, MaxRate));
  return std::chrono::duration_cast<Duration>(Seconds);
}

TimePoint PermitSchedule::take(CallRate Rate, TimePoint Now) {
  Last = std::max(next(Rate), Now - MaxCredit);
  return std::max(Last, Now);
}

void PermitSchedule::skipTo(CallRate Rate, TimePoint Begin) {
  const Duration Interval = interval(Rate);
  if (Last < Begin)
    Last += (Begin - Last) / Interval * Interval;
}

} // namespace bronzeward
