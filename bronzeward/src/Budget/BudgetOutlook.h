#pragma once

#include "bronzeward/src/Budget/SpendingRate.h"
#include "bronzeward/src/Config/BudgetPolicy.h"
#include "bronzeward/src/Ledger/Operation.h"

#include <optional>

namespace bronzeward {

/// \ingroup Budget
/// \brief How long a workspace's budget lasts at the whole fleet's rate, and so
/// how much of the future a grant may cover.
///
/// Answers two load patterns: an outage of the store while there is plenty of
/// budget (grants cover it whole), and a loss of every instance near the end of
/// a budget (what is set aside then is lost, so that grants are kept small).
class BudgetOutlook {
public:
  /// \brief Learns an account's sums; older ones may come late.
  void onShown(const AccountBalance &Shown, const BudgetPolicy &Policy,
               TimePoint Now);

  /// \returns the spending that a grant should cover: the policy's horizon, or
  /// less where all grants together would be more than the policy's part of
  /// what is left.
  [[nodiscard]] Duration horizon(const BudgetPolicy &Policy,
                                 TimePoint Now) const;

  /// \returns the sums last shown, if any.
  [[nodiscard]] const std::optional<AccountBalance> &balance() const {
    return Known;
  }

private:
  std::optional<AccountBalance> Known;
  SpendingRate Fleet;
};

} // namespace bronzeward
