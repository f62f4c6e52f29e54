#include "bronzeward/src/Budget/ChargeParts.h"

#include <algorithm>

namespace bronzeward {

std::vector<Money> shareCost(std::span<const ChargePart> Parts, Money Cost) {
  std::vector<Money> Costs;
  Costs.reserve(Parts.size());
  for (const ChargePart &Part : Parts) {
    Costs.push_back(std::min(Part.Amount, Cost));
    Cost -= Costs.back();
  }
  return Costs;
}

/// Moves tokens that cost at least an amount from one count to another.
/// \returns the cost of the tokens that were moved.
static Money moveTokens(Money Amount, Money TokenPrice, std::int64_t &From,
                        std::int64_t &To) {
  if (Amount <= Money() || From == 0)
    return {};
  const std::int64_t Price = std::max<std::int64_t>(1, TokenPrice.micros());
  const std::int64_t Moved =
      std::min(From, (Amount.micros() + Price - 1) / Price);
  From -= Moved;
  To += Moved;
  return scaled(TokenPrice, Moved);
}

std::vector<std::pair<Bill, std::size_t>>
splitBill(const Bill &Whole, std::span<const Money> Costs) {
  std::vector<std::pair<Bill, std::size_t>> Bills;
  Usage Left = Whole.Tokens;
  for (std::size_t Index = 0; Index < Costs.size(); ++Index) {
    if (Costs[Index].isZero())
      continue;
    Bill Part = Whole;
    Part.Cost = Costs[Index];
    Part.Tokens = Usage();
    Money Missing = Part.Cost;
    Missing -= moveTokens(Missing, Whole.Rate.InputToken, Left.InputTokens,
                          Part.Tokens.InputTokens);
    moveTokens(Missing, Whole.Rate.OutputToken, Left.OutputTokens,
               Part.Tokens.OutputTokens);
    if (!Bills.empty())
      Part.Key.Value += "/" + std::to_string(Bills.size() + 1);
    Bills.emplace_back(std::move(Part), Index);
  }
  if (Bills.empty()) {
    Bills.emplace_back(Whole, 0);
    return Bills;
  }
  Usage &First = Bills.front().first.Tokens;
  First.InputTokens += Left.InputTokens;
  First.OutputTokens += Left.OutputTokens;
  return Bills;
}

} // namespace bronzeward
