#include "bronzeward/src/Budget/LoanBook.h"

#include <algorithm>

namespace bronzeward {

Loan loanOf(const WorkspaceId &Workspace, const LoanOrigin &From, Money Amount,
            TimePoint Now) {
  return {Workspace, From.Lender, Amount,
          std::chrono::ceil<std::chrono::milliseconds>(Now - From.Since)};
}

LoanOrigin originOf(const Loan &Received, TimePoint Now) {
  return {Received.Lender, Now - Received.Age};
}

void LoanBook::credit(const WorkspaceId &Workspace, const LoanOrigin &From,
                      Money Amount) {
  if (Amount.isZero())
    return;
  LenderBalance &Item =
      Loans[Workspace]
          .try_emplace(From.Lender, LenderBalance{Money(), From.Since})
          .first->second;
  Item.Free += Amount;
  Item.Since = std::min(Item.Since, From.Since);
}

std::optional<LoanOrigin> LoanBook::reserve(const WorkspaceId &Workspace,
                                            Money Amount) {
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return std::nullopt;
  LenderBalances &Items = Found->second;
  // The smallest sufficient loan, to keep larger ones for larger requests.
  auto Best = Items.end();
  for (auto Item = Items.begin(); Item != Items.end(); ++Item)
    if (Item->second.Free >= Amount &&
        (Best == Items.end() || Item->second.Free < Best->second.Free))
      Best = Item;
  if (Best == Items.end())
    return std::nullopt;
  const LoanOrigin From{Best->first, Best->second.Since};
  Best->second.Free -= Amount;
  if (Best->second.Free.isZero())
    Items.erase(Best);
  return From;
}

std::vector<ChargePart> LoanBook::reserveParts(const WorkspaceId &Workspace,
                                               Money Amount) {
  std::vector<ChargePart> Parts;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Parts;
  for (const auto &[Lender, Item] : Found->second)
    Parts.push_back({Item.Free, LoanOrigin{Lender, Item.Since}});
  // Few large parts need few bills.
  std::stable_sort(Parts.begin(), Parts.end(),
                   [](const ChargePart &Left, const ChargePart &Right) {
                     return Left.Amount > Right.Amount;
                   });
  for (ChargePart &Part : Parts) {
    Part.Amount = std::min(Part.Amount, Amount);
    Amount -= Part.Amount;
    const auto Item = Found->second.find(Part.Borrowed->Lender);
    Item->second.Free -= Part.Amount;
    if (Item->second.Free.isZero())
      Found->second.erase(Item);
  }
  std::erase_if(Parts,
                [](const ChargePart &Part) { return Part.Amount.isZero(); });
  return Parts;
}

std::vector<Loan> LoanBook::take(const WorkspaceId &Workspace, TimePoint Now) {
  std::vector<Loan> Taken;
  const auto Found = Loans.find(Workspace);
  if (Found == Loans.end())
    return Taken;
  for (const auto &[Lender, Item] : Found->second)
    Taken.push_back(loanOf(Workspace, {Lender, Item.Since}, Item.Free, Now));
  Loans.erase(Found);
  return Taken;
}

std::vector<Loan> LoanBook::takeOlder(Duration Age, TimePoint Now) {
  std::vector<Loan> Taken;
  for (auto &[Workspace, Items] : Loans)
    for (auto Item = Items.begin(); Item != Items.end();) {
      const LoanOrigin From{Item->first, Item->second.Since};
      if (Now < From.Since + Age) {
        ++Item;
        continue;
      }
      Taken.push_back(loanOf(Workspace, From, Item->second.Free, Now));
      Item = Items.erase(Item);
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
