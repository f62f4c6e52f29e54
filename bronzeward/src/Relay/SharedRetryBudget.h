#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <deque>

namespace bronzeward {

/// \ingroup Relay
/// \brief Limit of the retries that all instances together may send to one
/// service.
struct RetryAllowance {
  /// Retries per call in any window.
  double Ratio = 0.1;
  /// Retries in any window in addition to that, of all instances together.
  double Extra = 0.0;
  Duration Window = 10s;
};

/// \ingroup Relay
/// \brief This instance's share of a service's retry allowance.
///
/// Load pattern: a failing service makes every instance retry every call. The
/// budget limits retries to a fixed ratio of the calls, over all instances and
/// in any window, without communication between instances. The ratio applies to
/// this instance's own calls; the extra retries are split evenly.
class SharedRetryBudget {
public:
  explicit SharedRetryBudget(RetryAllowance FleetAllowance)
      : Allowance(FleetAllowance) {}

  /// \brief Records the first attempt of a call.
  void onCall(TimePoint Now);
  /// \brief Takes one retry from the budget if there is one left.
  /// \param Instances number of live instances that share the extra retries.
  /// \returns whether a retry is allowed.
  [[nodiscard]] bool take(std::size_t Instances, TimePoint Now);

private:
  /// Calls and retries that began in one step of the sliding window.
  struct Step {
    TimePoint Begin;
    std::int64_t Calls = 0;
    std::int64_t Retries = 0;
  };
  Step &current(TimePoint Now);

  RetryAllowance Allowance;
  std::deque<Step> Steps;
};

} // namespace bronzeward
