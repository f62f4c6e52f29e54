#pragma once

#include "bronzeward/src/Budget/SpendingRate.h"
#include "bronzeward/src/Config/BudgetPolicy.h"
#include "bronzeward/src/Ledger/Operation.h"

#include <optional>

namespace bronzeward {

/// \ingroup Budget
/// \brief Forecasts how long a workspace's budget lasts at the fleet's spending
/// rate, and limits the time that a grant may cover accordingly.
///
/// Two load patterns are covered: an outage of the store while there is plenty
/// of budget (grants last for all of it), and the loss of every instance near
/// the end of a budget (granted amounts are lost, so grants are small).
class BudgetForecast {
public:
  /// \brief Updates the forecast from an account's balance; ignores a balance
  /// that is older than the last one.
  void onBalance(const AccountBalance &Balance, const BudgetPolicy &Policy,
                 TimePoint Now);

  /// \returns the time of spending that a grant should cover: the policy's
  /// horizon, or less if all grants together would exceed the policy's fraction
  /// of the remaining budget.
  [[nodiscard]] Duration horizon(const BudgetPolicy &Policy,
                                 TimePoint Now) const;

  /// \returns the amount that all instances together should hold: their
  /// spending within the policy's horizon with a margin, or the policy's
  /// fraction of the remaining budget if that is less. Computed when a balance
  /// arrives: between two balances, nothing is known of others' spending.
  [[nodiscard]] Money fleetReserve() const { return FleetReserve; }

  /// \returns the most that all instances together may hold: the policy's
  /// fraction of the remaining budget. Zero before the first balance.
  [[nodiscard]] Money maxReserve(const BudgetPolicy &Policy) const;

  /// \returns the latest balance, if any.
  [[nodiscard]] const std::optional<AccountBalance> &balance() const {
    return Latest;
  }

private:
  [[nodiscard]] Money reserveAt(const BudgetPolicy &Policy,
                                TimePoint Now) const;

  std::optional<AccountBalance> Latest;
  Money FleetReserve;
  SpendingRate FleetRate;
};

} // namespace bronzeward
