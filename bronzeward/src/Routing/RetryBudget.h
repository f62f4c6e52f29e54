#pragma once

#include <algorithm>
#include <cstdint>

namespace bronzeward {

/// \ingroup Routing
/// \brief Limits retries to a percentage of first attempts, so that they cannot
/// multiply the load of a failing service. It is a token bucket that each first
/// attempt refills.
class RetryBudget {
public:
  /// \param RetryPercent retries allowed for each hundred first attempts.
  explicit RetryBudget(std::int64_t RetryPercent) : Percent(RetryPercent) {}

  /// \brief Adds the credit that one first attempt earns.
  void onFirstTry() { Credit = std::min(Credit + Percent, MaxCredit); }

  /// \brief Takes one retry from the budget.
  /// \returns false if the budget does not cover it.
  [[nodiscard]] bool takeRetry() {
    if (Credit < RetryCost)
      return false;
    Credit -= RetryCost;
    return true;
  }

private:
  /// Credit of one retry, in hundredths of a retry.
  static constexpr std::int64_t RetryCost = 100;
  /// Maximum credit that a service may accumulate, in the same unit.
  static constexpr std::int64_t MaxCredit = 1000;

  std::int64_t Percent;
  std::int64_t Credit = MaxCredit;
};

} // namespace bronzeward
