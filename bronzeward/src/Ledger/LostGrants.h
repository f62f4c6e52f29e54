#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <cstdint>
#include <map>

namespace bronzeward {

/// \ingroup Ledger
/// \brief Finds the grants in a slot that former incarnations hold.
///
/// An instance that restarts draws grants as a new incarnation. The grants of
/// the one before stay in the record, because it may have spent what it had not
/// billed yet.
class LostGrants {
public:
  /// \param Record the slot's record.
  explicit LostGrants(const SlotRecord &Record);

  /// \returns the sum of an account's grants whose holder has a later
  /// incarnation in the slot; takes O(holders).
  [[nodiscard]] Money sum(const Account &Budget) const;

private:
  std::map<InstanceId, std::uint64_t> LatestEpochs;
};

} // namespace bronzeward
