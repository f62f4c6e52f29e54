#pragma once

#include "bronzeward/src/Budget/OperationRouter.h"

#include <map>

namespace bronzeward {

/// \ingroup Budget
/// \brief Takes back grants of holders that are gone for long enough.
///
/// Only a hint decides when; a holder that was alive after all finds its bills
/// charged to free budget, or fenced.
class HolderWatch {
public:
  HolderWatch(InstanceId Name, OperationRouter &Operations,
              const Membership &Listed, const BudgetPolicy &Settings);

  /// \brief Compares the records that this instance commits with a fresh list
  /// of live instances.
  void onListed(TimePoint Now);

private:
  void check(SlotId Slot, TimePoint Now);
  [[nodiscard]] bool missingLongEnough(const Incarnation &Holder,
                                       TimePoint Now);

  InstanceId Self;
  OperationRouter &Router;
  const Membership &Members;
  const BudgetPolicy &Policy;
  std::map<Incarnation, TimePoint> MissingSince;
  TimePoint LastListed;
};

} // namespace bronzeward
