#include "bronzeward/src/Budget/CarriedBills.h"

namespace bronzeward {

/// Time for the origin of a bill to commit it, before the carrier does.
constexpr Duration OriginGrace = 5s;

CarriedBills::CarriedBills(OperationRouter &Operations, PeerPort &Messages,
                           TimerQueue &EventTimers, const StoreClient &Client,
                           const BudgetPolicy &Settings)
    : Router(Operations), Peers(Messages), Timers(EventTimers), Store(Client),
      Policy(Settings) {}

void CarriedBills::onCarry(const InstanceId &From, const CarryBill &Message,
                           TimePoint Now) {
  if (Bills.size() >= Policy.MaxPendingOperations)
    return;
  const CopyKey Key{From, Message.Number};
  const bool Added = Bills.try_emplace(Key, Copy{Message.Settled}).second;
  if (Added)
    Timers.schedule(Now + OriginGrace,
                    [this, Key](TimePoint At) { check(Key, At); });
  Peers.send(From, BillCarried{Message.Number});
}

void CarriedBills::onForget(const InstanceId &From,
                            const ForgetBills &Message) {
  for (const std::uint64_t Number : Message.Numbers)
    Bills.erase(CopyKey{From, Number});
}

void CarriedBills::check(const CopyKey &Key, TimePoint Now) {
  if (!Bills.contains(Key))
    return;
  if (Store.failingSince()) {
    Timers.schedule(Now + OriginGrace,
                    [this, Key](TimePoint At) { check(Key, At); });
    return;
  }
  commit(Key, Now);
}

void CarriedBills::commit(const CopyKey &Key, TimePoint Now) {
  Copy &Item = Bills.at(Key);
  if (Item.Submitted)
    return;
  Item.Submitted = true;
  Router.submit(
      slotOf(Item.Settled.Workspace, Policy.Slots),
      CommitBill{Item.Settled, true}, Now,
      [this, Key](const OperationResult &, TimePoint) { Bills.erase(Key); });
}

void CarriedBills::commitAll(TimePoint Now) {
  std::vector<CopyKey> Keys;
  for (const auto &Entry : Bills)
    Keys.push_back(Entry.first);
  for (const CopyKey &Key : Keys)
    if (Bills.contains(Key))
      commit(Key, Now);
}

} // namespace bronzeward
