#include "bronzeward/src/Budget/LoanBook.h"

namespace bronzeward {

void LoanBook::credit(const WorkspaceId &Workspace, const Incarnation &Lender,
                      Money Amount, TimePoint Now) {
  if (Amount.isZero())
    return;
  const auto Placed = Loans[Workspace].try_emplace(Lender, Pot{Money(), Now});
  Placed.first->second.Free += Amount;
}

std::optional<Incarnation> LoanBook::reserve(const WorkspaceId &Workspace,
                                             Money Amount) {
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return std::nullopt;
  std::map<Incarnation, Pot> &Pots = Found->second;
  // The smallest that is enough, so that large requests find one later.
  auto Best = Pots.end();
  for (auto Item = Pots.begin(); Item != Pots.end(); ++Item)
    if (Item->second.Free >= Amount &&
        (Best == Pots.end() || Item->second.Free < Best->second.Free))
      Best = Item;
  if (Best == Pots.end())
    return std::nullopt;
  const Incarnation Lender = Best->first;
  Best->second.Free -= Amount;
  if (Best->second.Free.isZero())
    Pots.erase(Best);
  return Lender;
}

std::map<Incarnation, Money> LoanBook::take(const WorkspaceId &Workspace) {
  std::map<Incarnation, Money> Taken;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Taken;
  for (const auto &[Lender, Item] : Found->second)
    Taken[Lender] = Item.Free;
  Loans.erase(Found);
  return Taken;
}

std::vector<Loan> LoanBook::takeOlder(TimePoint Oldest) {
  std::vector<Loan> Taken;
  for (auto &[Workspace, Pots] : Loans) {
    for (const auto &[Lender, Item] : Pots)
      if (Item.Since < Oldest)
        Taken.push_back({Workspace, Lender, Item.Free});
    std::erase_if(Pots, [Oldest](const auto &Entry) {
      return Entry.second.Since < Oldest;
    });
  }
  return Taken;
}

Money LoanBook::free(const WorkspaceId &Workspace) const {
  Money Sum;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Sum;
  for (const auto &[Lender, Item] : Found->second)
    Sum += Item.Free;
  return Sum;
}

} // namespace bronzeward
