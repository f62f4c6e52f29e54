#pragma once

#include "bronzeward/src/Budget/PeerPort.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief Whose grant borrowed budget is a part of, and since when it is lent.
/// The age goes wherever the budget goes: the lender's line in the record may
/// be reclaimed, and nothing may be spent from it then.
struct LoanOrigin {
  Incarnation Lender;
  TimePoint Since;
};

/// \ingroup Budget
/// \brief Parts of other instances' grants that this one may spend.
///
/// Answers the load pattern in which one instance gets most of a workspace's
/// requests while the store is away: the others' grants would lie idle.
class LoanBook {
public:
  /// \brief Adds an amount: a new loan, or what a request did not use of one.
  /// Amounts of one lender count as old as the oldest.
  void credit(const WorkspaceId &Workspace, const LoanOrigin &From,
              Money Amount);
  /// \returns where the amount was taken from; nothing where no single loan
  /// covers it.
  [[nodiscard]] std::optional<LoanOrigin> reserve(const WorkspaceId &Workspace,
                                                  Money Amount);

  /// \brief Takes a workspace's loans out, to be given back.
  [[nodiscard]] std::vector<Loan> take(const WorkspaceId &Workspace,
                                       TimePoint Now);
  /// \brief Takes out the loans of at least an age.
  [[nodiscard]] std::vector<Loan> takeOlder(Duration Age, TimePoint Now);

  /// \returns what is left of all loans of a workspace.
  [[nodiscard]] Money free(const WorkspaceId &Workspace) const;

private:
  struct Pot {
    Money Free;
    TimePoint Since;
  };
  using Pots = std::map<Incarnation, Pot>;

  std::map<WorkspaceId, Pots> Loans;
};

/// \ingroup Budget
/// \returns the message that hands an amount on.
[[nodiscard]] Loan loanOf(const WorkspaceId &Workspace, const LoanOrigin &From,
                          Money Amount, TimePoint Now);

/// \ingroup Budget
/// \returns where a received loan comes from.
[[nodiscard]] LoanOrigin originOf(const Loan &Given, TimePoint Now);

} // namespace bronzeward
