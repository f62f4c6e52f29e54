#pragma once

#include "bronzeward/Base"

#include <algorithm>

namespace bronzeward {

/// \ingroup Relay
/// \brief Evenly spaced times at which calls may be sent to an upstream: the
/// generic cell rate algorithm, which allows short bursts after a pause.
class PermitSchedule {
public:
  /// \param Begin the first time follows one interval later.
  explicit PermitSchedule(TimePoint Begin) : Last(Begin) {}

  /// \returns the time that was taken last.
  [[nodiscard]] TimePoint last() const { return Last; }
  /// \returns the earliest time that is not taken yet; may have passed.
  [[nodiscard]] TimePoint next(CallRate Rate) const {
    return Last + interval(Rate);
  }
  /// \brief Takes the earliest free time.
  /// \returns that time, or Now if it has passed.
  TimePoint take(CallRate Rate, TimePoint Now);
  /// \brief Drops the times before a point in time, as if they had been taken.
  void skipTo(CallRate Rate, TimePoint Begin);

  /// \returns the time between two calls.
  [[nodiscard]] static Duration interval(CallRate Rate);

private:
  TimePoint Last;
};

} // namespace bronzeward
