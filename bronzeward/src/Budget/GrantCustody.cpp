#include "bronzeward/src/Budget/GrantCustody.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bronzeward {

/// Capacity below which an instance counts as having this much.
constexpr double MinCapacity = 0.01;

/// \returns the rendezvous distance; the smallest is the first choice.
static double distanceOf(const Member &Item, const WorkspaceId &Workspace) {
  constexpr double Scale =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const std::uint64_t Hash =
      hash64(Item.Identity.Instance.Value, hash64(Workspace.Value));
  const double Uniform = (static_cast<double>(Hash) + 1.0) / (Scale + 2.0);
  return -std::log(Uniform) / std::max(MinCapacity, Item.Capacity);
}

std::vector<InstanceId> custodiansOf(const std::vector<Member> &Members,
                                     const WorkspaceId &Workspace,
                                     std::size_t Count) {
  std::vector<std::pair<double, const Member *>> Order;
  for (const Member &Item : Members)
    if (!Item.Leaving)
      Order.emplace_back(distanceOf(Item, Workspace), &Item);
  const std::size_t Selected = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Selected),
                    Order.end(), [](const auto &Left, const auto &Right) {
                      return Left.first < Right.first;
                    });
  std::vector<InstanceId> Chosen;
  for (std::size_t Index = 0; Index < Selected; ++Index)
    Chosen.push_back(Order[Index].second->Identity.Instance);
  return Chosen;
}

bool needsCustody(const BudgetPolicy &Policy, std::size_t Instances,
                  Money Prepaid, Money Bound) {
  if (Policy.Custodians == 0 || Instances <= SmallFleet)
    return false;
  // Before the first request, its size is unknown.
  if (Bound.isZero())
    return true;
  const double Share = static_cast<double>(Prepaid.micros()) *
                       Policy.MaxGrantedFraction /
                       static_cast<double>(Instances);
  const Money Enough = scaled(Bound, Policy.MinGrantRequests);
  return Share < static_cast<double>(Enough.micros());
}

} // namespace bronzeward
