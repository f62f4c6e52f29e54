#pragma once

#include "bronzeward/src/Budget/OperationRouter.h"

#include <map>

namespace bronzeward {

/// \ingroup Budget
/// \brief Reclaims grants of holders that have been gone for long enough.
///
/// The list of members is only a hint. If a holder is alive after all, its
/// bills are charged to free budget, or fenced.
class GrantReclaimer {
public:
  GrantReclaimer(InstanceId Name, OperationRouter &Operations,
                 const Membership &Listed, const BudgetPolicy &Settings);

  /// \brief Compares the holders in the slots that this instance commits with
  /// the updated list of live instances.
  void onMembersUpdated(TimePoint Now);

  /// \returns the workspaces with grants of former incarnations, and their
  /// sums, in the slots that this instance commits and has read; as of the
  /// latest list of members.
  [[nodiscard]] const std::map<WorkspaceId, Money> &lostGrants() const {
    return Lost;
  }

private:
  void check(SlotId Slot, TimePoint Now);
  void sumLostGrants(const SlotRecord &Record);
  /// \returns whether a holder has been unlisted for ReclaimAfter.
  [[nodiscard]] bool missingLongEnough(const Incarnation &Holder,
                                       TimePoint Now);

  InstanceId Self;
  OperationRouter &Router;
  const Membership &Members;
  const BudgetPolicy &Policy;
  std::map<Incarnation, TimePoint> MissingSince;
  std::map<WorkspaceId, Money> Lost;
  TimePoint LastUpdate;
};

} // namespace bronzeward
