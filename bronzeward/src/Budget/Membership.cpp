#include "bronzeward/src/Budget/Membership.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace bronzeward {

/// Capacity, hash and list index of a member.
using Ranked = std::tuple<double, std::uint64_t, std::size_t>;

static Ranked rankOf(const std::vector<Member> &Members, std::size_t Index,
                     SlotId Slot) {
  const Member &Item = Members[Index];
  return {Item.Capacity, hash64(Item.Identity.Instance.Value, Slot.Index + 1),
          Index};
}

std::vector<InstanceId> Membership::committersOf(SlotId Slot,
                                                 std::size_t Count) const {
  std::vector<Ranked> Order;
  Order.reserve(Members.size());
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    if (!Members[Index].Leaving)
      Order.push_back(rankOf(Members, Index, Slot));
  const std::size_t Selected = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Selected),
                    Order.end(), std::greater<>());
  std::vector<InstanceId> Chosen;
  for (std::size_t Index = 0; Index < Selected; ++Index)
    Chosen.push_back(Members[std::get<2>(Order[Index])].Identity.Instance);
  return Chosen;
}

InstanceId Membership::committerOf(SlotId Slot, const InstanceId &Self) const {
  const std::vector<InstanceId> First = committersOf(Slot, 1);
  return First.empty() ? Self : First.front();
}

const Member *Membership::find(const InstanceId &Instance) const {
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const Member &Item) {
        return Item.Identity.Instance == Instance;
      });
  return Found == Members.end() ? nullptr : &*Found;
}

bool Membership::lists(const Incarnation &Holder) const {
  const Member *Found = find(Holder.Instance);
  return Found != nullptr &&
         registrationOf(Found->Identity) == registrationOf(Holder);
}

} // namespace bronzeward
