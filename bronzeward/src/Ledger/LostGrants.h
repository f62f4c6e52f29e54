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

  /// \brief Adds a holder that draws its first grant.
  void add(const Incarnation &Holder);

  /// \returns the sum of an account's grants whose holder has a later
  /// incarnation in the slot; takes O(holders).
  [[nodiscard]] Money sum(const Account &Budget) const;

  /// \returns the amount by which one draw may exceed what requests need at
  /// once. If grants were lost, all grants together, lost ones included, are
  /// kept to a part of the unsettled budget.
  /// \param Holder incarnation that draws.
  /// \param MaxGrantedFraction that part, 0 to 1.
  [[nodiscard]] Money reserveRoom(const Account &Budget,
                                  const Incarnation &Holder,
                                  double MaxGrantedFraction) const;

private:
  std::map<InstanceId, std::uint64_t> LatestEpochs;
};

} // namespace bronzeward
