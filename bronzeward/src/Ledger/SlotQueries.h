#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Ledger
/// @{

/// \returns the account of a workspace, or null.
[[nodiscard]] const Account *findAccount(const SlotRecord &Record,
                                         const WorkspaceId &Workspace);

/// \returns the sum of what is set aside for holders.
[[nodiscard]] Money outstanding(const Account &Budget);

/// \returns what is neither settled nor set aside.
[[nodiscard]] Money available(const Account &Budget);

/// \returns the next link of the hash chain over bills.
[[nodiscard]] std::string chainLink(const std::string &Before,
                                    const Bill &Settled);

/// \brief Checks a slot's whole history against its head record.
/// \param Head the head record.
/// \param Older every segment, oldest first.
/// \returns what disagrees, empty where all agrees: sums, order, one bill a
/// key, the hash chain and the budget invariant.
[[nodiscard]] std::vector<std::string>
verifySlot(const SlotRecord &Head, const std::vector<Segment> &Older);

/// @}

} // namespace bronzeward
