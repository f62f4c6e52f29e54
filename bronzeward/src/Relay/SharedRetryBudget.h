#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <deque>

namespace bronzeward {

/// \ingroup Relay
/// \brief What all instances together may send beyond the first try of each
/// call to one service.
struct RetryAllowance {
  /// Repeats for each call, in any window.
  double Ratio = 0.1;
  /// Repeats beyond that, in any window.
  double Extra = 0.0;
  Duration Window = 10s;
};

/// \ingroup Relay
/// \brief This instance's share of a service's retry allowance.
///
/// Answers the load pattern in which a failing service makes every instance
/// repeat every call: repeats stay a fixed part of the calls, over all
/// instances and any window, without a word between them. The ratio applies to
/// this instance's own calls; the extra is split evenly.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(RetryAllowance Fleet) : Allowance(Fleet) {}

  void onCall(TimePoint Now);
  /// \param Instances live instances, for this one's share of the extra.
  /// \returns whether a repeat is allowed; takes it from the budget.
  [[nodiscard]] bool take(std::size_t Instances, TimePoint Now);

private:
  /// Calls and repeats that began in one step of the window.
  struct Step {
    TimePoint Begin;
    std::int64_t Calls = 0;
    std::int64_t Repeats = 0;
  };
  Step &current(TimePoint Now);

  RetryAllowance Allowance;
  std::deque<Step> Steps;
};

} // namespace bronzeward
