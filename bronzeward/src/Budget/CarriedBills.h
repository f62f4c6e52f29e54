#pragma once

#include "bronzeward/src/Budget/OperationRouter.h"

#include <map>
#include <utility>

namespace bronzeward {

/// \ingroup Budget
/// \brief Holds copies of other instances' bills while the store is unreachable
/// and commits those that their origin does not commit.
class CarriedBills {
public:
  CarriedBills(OperationRouter &Operations, PeerPort &Messages,
               TimerQueue &EventTimers, const StoreClient &Client,
               const BudgetPolicy &Settings);

  /// \brief Stores a copy and confirms it; ignored if too many are held.
  void onCarry(const InstanceId &From, const CarryBill &Message, TimePoint Now);
  /// \brief Drops copies of bills that their origin settled.
  void onForget(const InstanceId &From, const ForgetBills &Message);
  /// \brief Commits every copy without waiting for its origin.
  void commitAll(TimePoint Now);

  /// \returns the number of copies held.
  [[nodiscard]] std::size_t carried() const { return Bills.size(); }

private:
  using CopyKey = std::pair<InstanceId, std::uint64_t>;
  struct Copy {
    Bill Settled;
    bool Submitted = false;
  };

  /// Commits a copy, or checks again later if the store is unreachable.
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
