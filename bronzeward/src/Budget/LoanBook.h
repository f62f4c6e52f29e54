#pragma once

#include "bronzeward/src/Budget/PeerPort.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief Lender of borrowed budget and the time of the loan. Both are kept
/// when the budget is passed on, because the lender's grant may be reclaimed
/// after some time and nothing may be spent from it then.
struct LoanOrigin {
  Incarnation Lender;
  TimePoint Since;
};

/// \ingroup Budget
/// \brief Part of a reserved amount and the grant that it is charged to.
struct ChargePart {
  Money Amount;
  /// Lender whose grant is charged; empty for this instance's own grant.
  std::optional<LoanOrigin> Borrowed;
};

/// \ingroup Budget
/// \brief Amounts of other instances' grants that this instance may spend.
///
/// Covers the load pattern in which one instance gets most of a workspace's
/// requests while the store is unreachable and the others' grants are idle.
class LoanBook {
public:
  /// \brief Adds an amount: a new loan, or the unused rest of a reservation.
  /// All amounts of one lender get the age of the oldest.
  void credit(const WorkspaceId &Workspace, const LoanOrigin &From,
              Money Amount);
  /// \brief Reserves an amount from a single loan.
  /// \returns the loan's origin, or nothing if no single loan covers it.
  [[nodiscard]] std::optional<LoanOrigin> reserve(const WorkspaceId &Workspace,
                                                  Money Amount);

  /// \brief Reserves an amount from several loans, the largest first, or as
  /// much of it as there is.
  [[nodiscard]] std::vector<ChargePart>
  reserveParts(const WorkspaceId &Workspace, Money Amount);

  /// \brief Removes and returns a workspace's loans.
  [[nodiscard]] std::vector<Loan> take(const WorkspaceId &Workspace,
                                       TimePoint Now);
  /// \brief Removes and returns the loans of at least the given age.
  [[nodiscard]] std::vector<Loan> takeOlder(Duration Age, TimePoint Now);

  /// \returns the sum of a workspace's loans.
  [[nodiscard]] Money free(const WorkspaceId &Workspace) const;

private:
  struct LenderBalance {
    Money Free;
    TimePoint Since;
  };
  using LenderBalances = std::map<Incarnation, LenderBalance>;

  std::map<WorkspaceId, LenderBalances> Loans;
};

/// \ingroup Budget
/// \returns the message that passes an amount on.
[[nodiscard]] Loan loanOf(const WorkspaceId &Workspace, const LoanOrigin &From,
                          Money Amount, TimePoint Now);

/// \ingroup Budget
/// \returns the origin of a received loan.
[[nodiscard]] LoanOrigin originOf(const Loan &Received, TimePoint Now);

} // namespace bronzeward
