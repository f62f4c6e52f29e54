#pragma once

#include "bronzeward/src/Budget/PeerPort.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief Parts of other instances' grants that this one may spend.
///
/// Answers the load pattern in which one instance gets most of a workspace's
/// requests while the store is away: the others' grants would lie idle.
class LoanBook {
public:
  /// \brief Adds an amount: a new loan, or what a request did not use of one.
  void credit(const WorkspaceId &Workspace, const Incarnation &Lender,
              Money Amount, TimePoint Now);
  /// \returns whose grant the amount was taken from; nothing where no single
  /// loan covers it.
  [[nodiscard]] std::optional<Incarnation> reserve(const WorkspaceId &Workspace,
                                                   Money Amount);

  /// \brief Takes a workspace's loans out, to be given back.
  /// \returns what is left of each, by lender.
  [[nodiscard]] std::map<Incarnation, Money> take(const WorkspaceId &Workspace);

  /// \brief Takes out the loans first credited before a time.
  [[nodiscard]] std::vector<Loan> takeOlder(TimePoint Oldest);

  /// \returns what is left of all loans of a workspace.
  [[nodiscard]] Money free(const WorkspaceId &Workspace) const;

private:
  struct Pot {
    Money Free;
    TimePoint Since;
  };
  std::map<WorkspaceId, std::map<Incarnation, Pot>> Loans;
};

} // namespace bronzeward
