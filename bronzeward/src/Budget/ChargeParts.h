#pragma once

#include "bronzeward/src/Budget/LoanBook.h"
#include "bronzeward/src/Ledger/Bill.h"

#include <span>
#include <vector>

namespace bronzeward {

/// \addtogroup Budget
/// @{

/// \brief Distributes a cost over the parts of a reservation, filling them in
/// order.
/// \returns one cost for each part.
[[nodiscard]] std::vector<Money> shareCost(std::span<const ChargePart> Parts,
                                           Money Cost);

/// \brief Splits a bill into one for each cost above zero, since a bill names
/// the holder of one grant. Each has its own key; their tokens and costs add up
/// to those of the bill.
/// \param Costs costs of the parts; their sum is the cost of the bill.
/// \returns pairs of a bill and the index of its cost; one pair at least. Of a
/// bill whose tokens cost more than they are charged for, the first gets the
/// rest of the tokens.
[[nodiscard]] std::vector<std::pair<Bill, std::size_t>>
splitBill(const Bill &Whole, std::span<const Money> Costs);

/// @}

} // namespace bronzeward
