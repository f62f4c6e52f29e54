#include "test/support/FakeFleet.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace bronzeward::fakes {
namespace {

const WorkspaceId Khan{"khan"};

BudgetPolicy fleetPolicy() {
  BudgetPolicy Policy;
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = 9s;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.Lending = true;
  Policy.BudgetWait = 250ms;
  Policy.CommitterTimeout = 2500ms;
  Policy.Carriers = 0;
  return Policy;
}

FakeRequest requestOf(int Number, std::size_t Node) {
  FakeRequest Request;
  Request.Id.Value = "r" + std::to_string(Number);
  Request.Node = Node;
  Request.Workspace = Khan;
  Request.Key = "k" + std::to_string(Number);
  Request.Bound = Money(100);
  Request.Cost = Money(100);
  Request.Work = 50ms;
  Request.Released = true;
  return Request;
}

// Load pattern: the busiest instance of a large fleet settles 100 requests a
// second while the store is unreachable. Afterwards only peers reach the store,
// and its link carries 100 operations within the peers' delivery timeout.
// Guards against a backlog in one message, which is lost each time it is sent.
TEST_CASE("A backlog that is too long for one message is committed",
          "[SlowLinkCommit]") {
  constexpr std::size_t Instances = 20;
  FakeFleet Fleet(Instances, fleetPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000'000));
  Fleet.runFor(3s);
  const std::vector<InstanceId> Committers =
      Fleet.agent(0).membership().committersOf(SlotId{0}, 3);
  std::size_t Busy = 0;
  while (std::count(Committers.begin(), Committers.end(),
                    InstanceId{"node-" + std::to_string(Busy)}) > 0)
    ++Busy;
  int Last = 0;
  const auto RequestFor = [&](Duration Time) {
    for (Duration Spent{}; Spent < Time; Spent += 10ms) {
      Fleet.start(requestOf(++Last, Busy));
      Fleet.runFor(10ms);
    }
  };
  RequestFor(6s);
  Fleet.setMaxOperationsSent(Busy, 100);
  Fleet.setStoreUnreachable(true);
  RequestFor(6s);
  REQUIRE(Fleet.agent(Busy).pendingOperations() > 300);
  Fleet.setCutFromStore(Busy, true);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(10s);
  CHECK(Fleet.agent(Busy).pendingOperations() == 0);
  Fleet.start(requestOf(++Last, Busy));
  Fleet.runFor(1s);
  CHECK(Fleet.outcome("r" + std::to_string(Last)).Executed);
  CHECK(Fleet.violations().empty());
}

} // namespace
} // namespace bronzeward::fakes
