#include "bronzeward/src/Budget/SpendingRate.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// One part in this many of the window is the least history that a rate is
/// taken from.
constexpr int MinHistoryPart = 6;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void SpendingRate::note(Money Spent, Duration Window, TimePoint Now) {
  Sum = decayed(Window, Now) +
        static_cast<double>(Spent.micros()) / seconds(Window);
  Last = Now;
  if (!First)
    First = Now;
}

double SpendingRate::decayed(Duration Window, TimePoint Now) const {
  return Sum * std::exp(-seconds(Now - Last) / seconds(Window));
}

double SpendingRate::perSecond(Duration Window, TimePoint Now) const {
  if (!First)
    return 0.0;
  // A short history is a part of the window only.
  const Duration Seen = std::max(Now - *First, Window / MinHistoryPart);
  return decayed(Window, Now) /
         (1.0 - std::exp(-seconds(Seen) / seconds(Window)));
}

} // namespace bronzeward
