#include "test/support/FakeFleet.h"

#include <catch2/catch.hpp>

namespace bronzeward::fakes {
namespace {

const WorkspaceId Khan{"khan"};

FakeRequest requestOf(const std::string &Id, std::size_t Node,
                      const std::string &Key, bool Claimed) {
  FakeRequest Request;
  Request.Id.Value = Id;
  Request.Node = Node;
  Request.Workspace = Khan;
  Request.Key = Key;
  Request.Bound = Money(100);
  Request.Cost = Money(60);
  Request.Claimed = Claimed;
  Request.Work = 100ms;
  return Request;
}

void checkGuarantees(const FakeFleet &Fleet) {
  const std::vector<std::string> Problems = Fleet.violations();
  CAPTURE(Problems);
  CHECK(Problems.empty());
}

Money settledOf(FakeFleet &Fleet) {
  return findAccount(Fleet.store().slot(SlotId{0}), Khan)->Settled;
}

TEST_CASE("A request is reserved, run and billed", "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(1000));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(1s);
  CHECK(Fleet.outcome("r1").Settle == SettleOutcome::Committed);
  CHECK(settledOf(Fleet) == Money(60));
  checkGuarantees(Fleet);
}

TEST_CASE("A request beyond the budget is refused at once", "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(99));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(200ms);
  CHECK(Fleet.outcome("r1").Reserve == ReserveOutcome::Exhausted);
  CHECK_FALSE(Fleet.outcome("r1").Executed);
  checkGuarantees(Fleet);
}

TEST_CASE("The last of a budget is recalled from an idle holder",
          "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(220));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(2s);
  Fleet.start(requestOf("r2", 1, "k2", false));
  Fleet.runFor(2s);
  Fleet.start(requestOf("r3", 2, "k3", false));
  Fleet.runFor(2s);
  CHECK(Fleet.outcome("r3").Settle == SettleOutcome::Committed);
  CHECK(settledOf(Fleet) == Money(180));
  checkGuarantees(Fleet);
}

TEST_CASE("A request claimed at two instances runs once", "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("r1", 0, "permit", true));
  Fleet.start(requestOf("r2", 1, "permit", true));
  Fleet.runFor(80ms);
  // The claim that reached the committer first is opened, the other one held.
  const bool FirstHeld = Fleet.outcome("r1").Claim == ClaimOutcome::Held;
  const bool SecondHeld = Fleet.outcome("r2").Claim == ClaimOutcome::Held;
  CHECK(FirstHeld != SecondHeld);
  Fleet.runFor(2s);
  CHECK(Fleet.executions().at("permit") == 1);
  Fleet.start(requestOf("r3", 2, "permit", true));
  Fleet.runFor(2s);
  CHECK(Fleet.outcome("r3").Claim == ClaimOutcome::Finished);
  CHECK(Fleet.outcome("r3").Answered);
  CHECK(settledOf(Fleet) == Money(60));
  checkGuarantees(Fleet);
}

TEST_CASE("A claim of an ended instance stays held", "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("r1", 0, "permit", true));
  Fleet.runFor(60ms);
  REQUIRE(Fleet.outcome("r1").Executed);
  Fleet.end(0);
  Fleet.runFor(10s);
  Fleet.start(requestOf("r2", 1, "permit", true));
  Fleet.runFor(2s);
  CHECK(Fleet.outcome("r2").Claim == ClaimOutcome::Held);
  CHECK(Fleet.executions().at("permit") == 1);
  checkGuarantees(Fleet);
}

TEST_CASE("With the store unreachable a claim is refused and does not run",
          "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("r0", 0, "k0", false));
  Fleet.runFor(2s);
  Fleet.setStoreUnreachable(true);
  Fleet.start(requestOf("r1", 0, "permit", true));
  Fleet.runFor(10s);
  CHECK(Fleet.outcome("r1").Claim == ClaimOutcome::Unavailable);
  CHECK_FALSE(Fleet.outcome("r1").Executed);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(10s);
  // The refused claim does not block the key.
  Fleet.start(requestOf("r2", 1, "permit", true));
  Fleet.runFor(3s);
  CHECK(Fleet.outcome("r2").Claim == ClaimOutcome::Opened);
  checkGuarantees(Fleet);
}

TEST_CASE("Grants cover an outage of the store and every bill is committed",
          "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(1000000));
  for (int Number = 0; Number < 50; ++Number) {
    Fleet.start(requestOf("w" + std::to_string(Number), 0,
                          "w" + std::to_string(Number), false));
    Fleet.runFor(200ms);
  }
  Fleet.setStoreUnreachable(true);
  Fleet.runFor(2s);
  for (int Number = 0; Number < 20; ++Number) {
    const std::string Id = "o" + std::to_string(Number);
    Fleet.start(requestOf(Id, 0, Id, false));
    Fleet.runFor(2s);
    CHECK(Fleet.outcome(Id).Settle == SettleOutcome::Carried);
  }
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(30s);
  CHECK(settledOf(Fleet) == Money(4200));
  checkGuarantees(Fleet);
}

TEST_CASE("A carrier commits a bill whose origin ended during the outage",
          "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("w", 0, "w", false));
  Fleet.runFor(2s);
  Fleet.setStoreUnreachable(true);
  Fleet.start(requestOf("o", 0, "o", false));
  Fleet.runFor(3s);
  REQUIRE(Fleet.outcome("o").Settle == SettleOutcome::Carried);
  Fleet.end(0);
  Fleet.runFor(20s);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(30s);
  CHECK(settledOf(Fleet) == Money(120));
  checkGuarantees(Fleet);
}

TEST_CASE(
    "An instance without store and peers withholds answers it cannot bill",
    "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("w", 0, "w", false));
  Fleet.runFor(2s);
  Fleet.setCutFromStore(0, true);
  Fleet.setCutFromPeers(0, true);
  Fleet.start(requestOf("o", 0, "o", false));
  Fleet.runFor(5s);
  CHECK(Fleet.outcome("o").Settle == SettleOutcome::Undecided);
  CHECK_FALSE(Fleet.outcome("o").Answered);
  CHECK_FALSE(Fleet.agent(0).serving(Fleet.now()));
  // The caller retries at another instance with its key and is billed once.
  Fleet.start(requestOf("again", 1, "o", false));
  Fleet.runFor(3s);
  CHECK(Fleet.outcome("again").Answered);
  Fleet.setCutFromStore(0, false);
  Fleet.setCutFromPeers(0, false);
  Fleet.runFor(30s);
  CHECK(settledOf(Fleet) == Money(120));
  checkGuarantees(Fleet);
}

TEST_CASE(
    "A holder paused until its grant is reclaimed is fenced, and nothing is "
    "overspent",
    "[BudgetFailure]") {
  BudgetPolicy Policy;
  Policy.ReclaimAfter = 5s;
  FakeFleet Fleet(3, Policy, 1);
  Fleet.topUp(Khan, Money(200));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(50ms);
  REQUIRE(Fleet.outcome("r1").Executed);
  Fleet.setPaused(0, true);
  Fleet.runFor(20s);
  FakeRequest Other = requestOf("r2", 1, "k2", false);
  Other.Bound = Money(200);
  Other.Cost = Money(190);
  Fleet.start(Other);
  Fleet.runFor(5s);
  CHECK(Fleet.outcome("r2").Settle == SettleOutcome::Committed);
  Fleet.setPaused(0, false);
  Fleet.runFor(10s);
  CHECK(Fleet.outcome("r1").Settle == SettleOutcome::Fenced);
  CHECK_FALSE(Fleet.outcome("r1").Answered);
  CHECK(settledOf(Fleet) == Money(190));
  checkGuarantees(Fleet);
}

TEST_CASE("The grant of a lost instance becomes available again",
          "[BudgetFailure]") {
  BudgetPolicy Policy;
  Policy.ReclaimAfter = 10s;
  FakeFleet Fleet(3, Policy, 1);
  Fleet.topUp(Khan, Money(150));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(30ms);
  Fleet.end(0);
  Fleet.runFor(20s);
  FakeRequest Rest = requestOf("r2", 1, "k2", false);
  Rest.Bound = Money(150);
  Fleet.start(Rest);
  Fleet.runFor(5s);
  CHECK(Fleet.outcome("r2").Answered);
  checkGuarantees(Fleet);
}

TEST_CASE("A drain returns all grants", "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(100000));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(2s);
  Fleet.agent(0).drain(Fleet.now());
  Fleet.runFor(2s);
  CHECK(Fleet.agent(0).drained());
  const SlotRecord Head = Fleet.store().slot(SlotId{0});
  CHECK(outstanding(*findAccount(Head, Khan)).isZero());
  checkGuarantees(Fleet);
}

TEST_CASE("A top-up is available at once at an instance that did not make it",
          "[BudgetFailure]") {
  FakeFleet Fleet(3, BudgetPolicy(), 1);
  Fleet.topUp(Khan, Money(50));
  Fleet.start(requestOf("r1", 0, "k1", false));
  Fleet.runFor(1s);
  CHECK(Fleet.outcome("r1").Reserve == ReserveOutcome::Exhausted);
  Fleet.topUp(Khan, Money(1000));
  Fleet.start(requestOf("r2", 0, "k2", false));
  Fleet.runFor(1s);
  CHECK(Fleet.outcome("r2").Answered);
  checkGuarantees(Fleet);
}

} // namespace
} // namespace bronzeward::fakes
