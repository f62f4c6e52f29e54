#include "bronzeward/src/Budget/LoanBook.h"

namespace bronzeward {

void LoanBook::credit(const WorkspaceId &Workspace, const Incarnation &Lender,
                      Money Amount) {
  if (!Amount.isZero())
    Loans[Workspace][Lender] += Amount;
}

std::optional<Incarnation> LoanBook::reserve(const WorkspaceId &Workspace,
                                             Money Amount) {
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return std::nullopt;
  std::map<Incarnation, Money> &Pots = Found->second;
  // The smallest that is enough, so that large requests find one later.
  auto Best = Pots.end();
  for (auto Pot = Pots.begin(); Pot != Pots.end(); ++Pot)
    if (Pot->second >= Amount &&
        (Best == Pots.end() || Pot->second < Best->second))
      Best = Pot;
  if (Best == Pots.end())
    return std::nullopt;
  const Incarnation Lender = Best->first;
  Best->second -= Amount;
  if (Best->second.isZero())
    Pots.erase(Best);
  return Lender;
}

std::map<Incarnation, Money> LoanBook::take(const WorkspaceId &Workspace) {
  std::map<Incarnation, Money> Taken;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Taken;
  Taken.swap(Found->second);
  Loans.erase(Found);
  return Taken;
}

Money LoanBook::free(const WorkspaceId &Workspace) const {
  Money Sum;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Sum;
  for (const auto &[Lender, Free] : Found->second)
    Sum += Free;
  return Sum;
}

} // namespace bronzeward
