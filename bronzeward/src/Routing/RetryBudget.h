#pragma once

#include <algorithm>
#include <cstdint>

namespace bronzeward {

/// \ingroup Routing
/// \brief Allows retries as a share of first tries, so that retries cannot
/// multiply the load of a failing service.
class RetryBudget {
public:
  /// \param RetryPercent retries for each hundred first tries.
  explicit RetryBudget(std::int64_t RetryPercent) : Percent(RetryPercent) {}

  void onFirstTry() { Credit = std::min(Credit + Percent, MaxCredit); }

  /// \returns whether a retry is allowed; takes it from the budget.
  [[nodiscard]] bool takeRetry() {
    if (Credit < RetryCost)
      return false;
    Credit -= RetryCost;
    return true;
  }

private:
  /// One retry in hundredths of a first try.
  static constexpr std::int64_t RetryCost = 100;
  /// Retries that an idle service may save up, in the same unit.
  static constexpr std::int64_t MaxCredit = 1000;

  std::int64_t Percent;
  std::int64_t Credit = MaxCredit;
};

} // namespace bronzeward
