#pragma once

#include "bronzeward/src/Budget/Membership.h"
#include "bronzeward/src/Config/BudgetPolicy.h"

#include <vector>

namespace bronzeward {

/// \addtogroup Budget
/// @{

/// \returns the instances that hold grants of a workspace for the whole fleet,
/// in order of preference; leaving instances are left out. Weighted rendezvous
/// hashing: an instance is chosen in proportion to its capacity, and a change
/// of the list moves few workspaces.
[[nodiscard]] std::vector<InstanceId>
custodiansOf(const std::vector<Member> &Members, const WorkspaceId &Workspace,
             std::size_t Count);

/// \brief Decides whether a workspace's budget is held by its custodians
/// instead of every instance that serves its requests.
///
/// Load pattern: a budget that, split over the instances of a large fleet, is
/// worth few requests at each. Every instance would hold less than its next
/// request needs, although all of them together hold plenty.
/// \param Bound maximum cost of a typical request.
[[nodiscard]] bool needsCustody(const BudgetPolicy &Policy,
                                std::size_t Instances, Money Prepaid,
                                Money Bound);

/// @}

} // namespace bronzeward
