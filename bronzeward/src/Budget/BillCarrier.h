#pragma once

#include "bronzeward/src/Budget/OperationRouter.h"

#include <map>
#include <utility>

namespace bronzeward {

/// \ingroup Budget
/// \brief Keeps copies of other instances' bills while the store is away and
/// commits those whose origin does not.
class BillCarrier {
public:
  BillCarrier(OperationRouter &Operations, PeerPort &Out, TimerQueue &Queue,
              const StoreClient &Client, const BudgetPolicy &Settings);

  void onCarry(const InstanceId &From, const CarryBill &Message, TimePoint Now);
  void onForget(const InstanceId &From, const ForgetBills &Message);
  /// \brief Commits every carried bill without waiting for its origin.
  void commitAll(TimePoint Now);

  [[nodiscard]] std::size_t carried() const { return Bills.size(); }

private:
  using CopyKey = std::pair<InstanceId, std::uint64_t>;
  struct Copy {
    Bill Settled;
    bool Submitted = false;
  };

  void check(const CopyKey &Key, TimePoint Now);
  void commit(const CopyKey &Key, TimePoint Now);

  OperationRouter &Router;
  PeerPort &Peers;
  TimerQueue &Timers;
  const StoreClient &Store;
  const BudgetPolicy &Policy;
  std::map<CopyKey, Copy> Bills;
};

} // namespace bronzeward
