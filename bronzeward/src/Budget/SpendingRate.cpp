#include "bronzeward/src/Budget/SpendingRate.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// A history shorter than the window divided by this counts as that long.
constexpr int MinHistoryDivisor = 6;

static double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void SpendingRate::record(Money Spent, Duration Window, TimePoint Now) {
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
  // Corrects the bias of a history that is short compared with the window.
  const Duration History = std::max(Now - *First, Window / MinHistoryDivisor);
  return decayed(Window, Now) /
         (1.0 - std::exp(-seconds(History) / seconds(Window)));
}

} // namespace bronzeward
