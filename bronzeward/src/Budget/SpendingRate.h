#pragma once

#include "bronzeward/Base"

#include <optional>

namespace bronzeward {

/// \ingroup Budget
/// \brief Spending a second, averaged over a window that forgets exponentially.
class SpendingRate {
public:
  void note(Money Spent, Duration Window, TimePoint Now);

  /// \returns micro-units a second; zero before anything was spent.
  [[nodiscard]] double perSecond(Duration Window, TimePoint Now) const;

private:
  [[nodiscard]] double decayed(Duration Window, TimePoint Now) const;

  /// Micro-units a second, decayed to Last.
  double Sum = 0.0;
  TimePoint Last;
  std::optional<TimePoint> First;
};

} // namespace bronzeward
