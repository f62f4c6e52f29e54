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
  Lost.clear();
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
  sumLostGrants(*Record);
  std::set<Incarnation> Gone;
  for (const Account &Budget : Record->Accounts)
    for (const GrantLine &Line : Budget.Grants)
      if (missingLongEnough(Line.Holder, Now))
        Gone.insert(Line.Holder);
  for (const Incarnation &Holder : Gone)
    Router.submit(Slot, ReclaimGrants{Holder}, Now,
                  [](const OperationResult &, TimePoint) {});
}

void GrantReclaimer::sumLostGrants(const SlotRecord &Record) {
  const LostGrants Grants(Record);
  for (const Account &Budget : Record.Accounts)
    if (const Money Sum = Grants.sum(Budget); !Sum.isZero())
      Lost[Budget.Workspace] = Sum;
}

bool GrantReclaimer::missingLongEnough(const Incarnation &Holder,
                                       TimePoint Now) {
  if (Members.lists(Holder))
    return false;
  const TimePoint Since = MissingSince.try_emplace(Holder, Now).first->second;
  return Now >= Since + Policy.ReclaimAfter;
}

} // namespace bronzeward
