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

/// \returns the sum of an account's grants.
[[nodiscard]] Money outstanding(const Account &Budget);

/// \returns the amount that is neither settled nor granted.
[[nodiscard]] Money available(const Account &Budget);

/// \returns the next link of the hash chain over bills.
[[nodiscard]] std::string chainLink(const std::string &Before,
                                    const Bill &Settled);

/// \brief Checks a slot's whole history for consistency with its head record.
/// \param Head the head record.
/// \param Older all segments, oldest first.
/// \returns descriptions of violations, empty if there are none: of sums, of
/// the order, of one bill per key, of the hash chain and of the budget
/// invariant.
[[nodiscard]] std::vector<std::string>
verifySlot(const SlotRecord &Head, const std::vector<Segment> &Older);

/// @}

} // namespace bronzeward
