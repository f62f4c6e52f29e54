#include "bronzeward/src/Budget/Membership.h"

#include <algorithm>

namespace bronzeward {

InstanceId Membership::committerOf(SlotId Slot, const InstanceId &Self) const {
  InstanceId Best = Self;
  std::uint64_t BestWeight = 0;
  for (const Member &Item : Members) {
    if (Item.Leaving)
      continue;
    const std::uint64_t Weight =
        hash64(Item.Life.Instance.Value, Slot.Index + 1);
    if (Weight < BestWeight)
      continue;
    BestWeight = Weight;
    Best = Item.Life.Instance;
  }
  return Best;
}

const Member *Membership::find(const InstanceId &Instance) const {
  const auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const Member &Item) {
        return Item.Life.Instance == Instance;
      });
  return Found == Members.end() ? nullptr : &*Found;
}

bool Membership::lists(const Incarnation &Life) const {
  const Member *Found = find(Life.Instance);
  return Found != nullptr &&
         registrationOf(Found->Life) == registrationOf(Life);
}

} // namespace bronzeward
