#include "test/support/FakeFleet.h"

#include <catch2/catch.hpp>

namespace bronzeward::fakes {
namespace {

const WorkspaceId Khan{"khan"};
constexpr double MaxGrantedFraction = 0.35;

BudgetPolicy fleetPolicy() {
  BudgetPolicy Policy;
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = 9s;
  Policy.MaxGrantedFraction = MaxGrantedFraction;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.ReturnMultiple = 1.2;
  Policy.MinDrawDivisor = 18;
  Policy.DrawAhead = true;
  Policy.Lending = true;
  Policy.AwaitMembers = true;
  Policy.CommitterTimeout = 2500ms;
  Policy.BudgetWait = 250ms;
  Policy.Carriers = 0;
  Policy.ReclaimAfter = 24h;
  return Policy;
}

/// A fleet whose instances are lost again and again.
struct LossRun {
  LossRun(std::size_t Size, Money Prepaid)
      : Policy(fleetPolicy()), Fleet(Size, Policy, 1) {
    Fleet.topUp(Khan, Prepaid);
    Fleet.runFor(3s);
  }

  /// Sends requests for some time; returns the part that was granted.
  double send(Duration Length, Duration Pause, Money Cost) {
    int Sent = 0;
    std::vector<std::string> Ids;
    for (Duration Spent{}; Spent < Length; Spent += Pause, ++Sent) {
      FakeRequest Request;
      Request.Id.Value = Request.Key = "r" + std::to_string(++Last);
      Request.Node = Fleet.random().below(Fleet.size());
      Request.Workspace = Khan;
      Request.Bound = Request.Cost = Cost;
      Request.Work = 200ms;
      Request.Released = true;
      Fleet.start(Request);
      Ids.push_back(Request.Id.Value);
      Fleet.runFor(Pause);
    }
    Fleet.runFor(300ms);
    int Granted = 0;
    for (const std::string &Id : Ids)
      Granted += Fleet.outcome(Id).Reserve == ReserveOutcome::Granted ? 1 : 0;
    return static_cast<double>(Granted) / Sent;
  }

  void loseAll() {
    Fleet.restartAll();
    Fleet.runFor(3s);
  }

  [[nodiscard]] Account account() {
    return *findAccount(Fleet.store().slot(SlotId{0}), Khan);
  }

  BudgetPolicy Policy;
  FakeFleet Fleet;
  int Last = 0;
};

// Each further loss may lock up a twentieth of the rest.
TEST_CASE("Repeated losses of busy instances lock up a bounded part",
          "[GrantLoss]") {
  const std::size_t Size = GENERATE(8, 91);
  CAPTURE(Size);
  LossRun Run(Size, Money(2'000'000));
  Run.send(4s, 40ms, Money(1'500));
  const Account First = Run.account();
  constexpr int FurtherLosses = 3;
  for (int Loss = 0; Loss < FurtherLosses; ++Loss) {
    Run.loseAll();
    Run.send(4s, 40ms, Money(1'500));
  }
  const Money Growth = outstanding(Run.account()) - outstanding(First);
  CAPTURE(Growth.micros());
  CHECK(Growth <= Money(available(First).micros() * FurtherLosses / 20));
  Run.loseAll();
  CHECK(Run.send(6s, 40ms, Money(1'500)) >= 0.9);
  CHECK(Run.Fleet.violations().empty());
}

TEST_CASE("A draw after a loss covers the requests that wait", "[GrantLoss]") {
  SlotLedger Ledger{SlotRecord(), std::make_shared<BilledKeys>(),
                    MaxGrantedFraction};
  const InstanceId Name{"a"};
  Ledger.apply(TopUp{Khan, OperationId{"t1"}, Money(1'000)});
  Ledger.apply(DrawGrant{Khan, {Name, 1}, 1, Money(500), Money(500), 1});
  // The former incarnation holds more than the limit.
  const OperationResult First =
      Ledger.apply(DrawGrant{Khan, {Name, 2}, 1, Money(40), Money(400), 1});
  CHECK(First.Status == OperationStatus::Applied);
  CHECK(First.Amount == Money(40));
  const OperationResult Reserve =
      Ledger.apply(DrawGrant{Khan, {Name, 2}, 2, Money(1), Money(400), 1});
  CHECK(Reserve.Amount == Money(1));
}

} // namespace
} // namespace bronzeward::fakes
