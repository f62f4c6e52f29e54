#include "bronzeward/src/Ledger/LostGrants.h"

#include "bronzeward/src/Ledger/SlotQueries.h"

#include <algorithm>

namespace bronzeward {

/// Part of the budget outside lost grants that live holders may keep however
/// much was lost; otherwise each request would wait for a draw of its own.
constexpr double MinReserveFraction = 0.05;

static Money part(Money Amount, double Fraction) {
  return Money(static_cast<std::int64_t>(static_cast<double>(Amount.micros()) *
                                         Fraction));
}

static bool holdsGrant(const Account &Budget, const Incarnation &Holder) {
  return std::any_of(
      Budget.Grants.begin(), Budget.Grants.end(),
      [&](const GrantLine &Line) { return Line.Holder == Holder; });
}

LostGrants::LostGrants(const SlotRecord &Record) {
  for (const Account &Budget : Record.Accounts)
    for (const GrantLine &Line : Budget.Grants)
      add(Line.Holder);
}

void LostGrants::add(const Incarnation &Holder) {
  std::uint64_t &Latest = LatestEpochs[Holder.Instance];
  Latest = std::max(Latest, Holder.Epoch);
}

Money LostGrants::sum(const Account &Budget) const {
  Money Sum;
  for (const GrantLine &Line : Budget.Grants) {
    if (Line.Remaining.isZero())
      continue;
    const auto Found = LatestEpochs.find(Line.Holder.Instance);
    if (Found != LatestEpochs.end() && Line.Holder.Epoch < Found->second)
      Sum += Line.Remaining;
  }
  return Sum;
}

Money LostGrants::reserveRoom(const Account &Budget, const Incarnation &Holder,
                              double MaxGrantedFraction) const {
  const Money Lost = sum(Budget);
  if (Lost.isZero())
    return available(Budget);
  const Money Unsettled = Budget.Prepaid - Budget.Settled;
  Money MaxLive = part(Unsettled, MaxGrantedFraction) - Lost;
  // A first grant is drawn before requests are known to need it.
  if (holdsGrant(Budget, Holder))
    MaxLive = std::max(MaxLive, part(Unsettled - Lost, MinReserveFraction));
  const Money Live = outstanding(Budget) - Lost;
  return Live < MaxLive ? MaxLive - Live : Money();
}

} // namespace bronzeward
