#include "bronzeward/src/Budget/GrantReclaimer.h"

#include <set>

namespace bronzeward {

/// A longer gap between two updates of the list restarts all times of absence.
constexpr Duration MaxListGap = 15s;

GrantReclaimer::GrantReclaimer(InstanceId Name, OperationRouter &Operations,
                               const Membership &Listed,
                               const BudgetPolicy &Settings)
    : Self(std::move(Name)), Router(Operations), Members(Listed),
      Policy(Settings) {}

void GrantReclaimer::onMembersUpdated(TimePoint Now) {
  if (Now > LastUpdate + MaxListGap)
    MissingSince.clear();
  LastUpdate = Now;
  std::erase_if(MissingSince, [this](const auto &Entry) {
    return Members.lists(Entry.first);
  });
  for (std::uint32_t Index = 0; Index < Policy.Slots; ++Index)
    if (Members.committerOf(SlotId{Index}, Self) == Self)
      check(SlotId{Index}, Now);
}

void GrantReclaimer::check(SlotId Slot, TimePoint Now) {
  const SlotRecord *Record = Router.committer(Slot).record();
  if (Record == nullptr) {
    // Has no effect on the record, but makes the committer read it.
    Router.submit(Slot, ReclaimGrants{Incarnation{}}, Now,
                  [](const OperationResult &, TimePoint) {});
    return;
  }
  std::set<Incarnation> Gone;
  for (const Account &Budget : Record->Accounts)
    for (const GrantLine &Line : Budget.Grants)
      if (missingLongEnough(Line.Holder, Now))
        Gone.insert(Line.Holder);
  for (const Incarnation &Holder : Gone)
    Router.submit(Slot, ReclaimGrants{Holder}, Now,
                  [](const OperationResult &, TimePoint) {});
}

std::map<WorkspaceId, Money> GrantReclaimer::lostGrants() const {
  std::map<WorkspaceId, Money> Sums;
  for (std::uint32_t Index = 0; Index < Policy.Slots; ++Index) {
    if (Members.committerOf(SlotId{Index}, Self) != Self)
      continue;
    const SlotRecord *Record = Router.committer(SlotId{Index}).record();
    if (Record == nullptr)
      continue;
    const LostGrants Lost(*Record);
    for (const Account &Budget : Record->Accounts)
      if (const Money Sum = Lost.sum(Budget); !Sum.isZero())
        Sums[Budget.Workspace] = Sum;
  }
  return Sums;
}

bool GrantReclaimer::missingLongEnough(const Incarnation &Holder,
                                       TimePoint Now) {
  if (Members.lists(Holder))
    return false;
  const TimePoint Since = MissingSince.try_emplace(Holder, Now).first->second;
  return Now >= Since + Policy.ReclaimAfter;
}

} // namespace bronzeward
