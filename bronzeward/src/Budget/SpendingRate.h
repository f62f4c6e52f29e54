#pragma once

#include "bronzeward/Base"

#include <optional>

namespace bronzeward {

/// \ingroup Budget
/// \brief Exponentially weighted average of the spending per second.
class SpendingRate {
public:
  /// \brief Adds spending at a time.
  /// \param Window time constant of the decay.
  void record(Money Spent, Duration Window, TimePoint Now);

  /// \returns micro-units per second; zero before any spending.
  [[nodiscard]] double perSecond(Duration Window, TimePoint Now) const;

private:
  [[nodiscard]] double decayed(Duration Window, TimePoint Now) const;

  /// Average in micro-units per second at the time Last.
  double Sum = 0.0;
  TimePoint Last;
  std::optional<TimePoint> First;
};

} // namespace bronzeward
