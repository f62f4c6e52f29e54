#include "bronzeward/src/Router/InstanceCore.h"

namespace bronzeward {

RouterStatus commonStatus(const RouterIdentity &Who, std::string NotReadyReason,
                          const StoreClient &Store, const Membership &Members) {
  RouterStatus Status;
  Status.Instance = Who.Instance;
  Status.Domain = Who.Domain;
  Status.NotReadyReason = std::move(NotReadyReason);
  Status.Ready = Status.NotReadyReason.empty();
  Status.Store = Store.counters();
  Status.Members = Members.members();
  return Status;
}

void addBudgetStatus(RouterStatus &Status, const BudgetAgent &Budgets) {
  Status.PendingOperations = Budgets.pendingOperations();
  Status.CarriedBills = Budgets.carriedBills();
  Status.HeldGrants = Budgets.held();
  for (const auto &[Workspace, Lost] : Budgets.lostGrants())
    Status.LostGrants += Lost;
}

} // namespace bronzeward
