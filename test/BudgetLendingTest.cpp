#include "test/support/FakeFleet.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace bronzeward::fakes {
namespace {

const WorkspaceId Khan{"khan"};

BudgetPolicy lendingPolicy() {
  BudgetPolicy Policy;
  Policy.Lending = true;
  Policy.BudgetWait = 250ms;
  Policy.GrantHorizon = 5s;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.ReturnMultiple = 1.2;
  Policy.Carriers = 0;
  Policy.AnswerHold = 60s;
  return Policy;
}

FakeRequest requestOf(int Number, std::size_t Node, Money Bound) {
  FakeRequest Request;
  Request.Id.Value = "r" + std::to_string(Number);
  Request.Node = Node;
  Request.Workspace = Khan;
  Request.Key = "k" + std::to_string(Number);
  Request.Bound = Bound;
  Request.Cost = Bound;
  Request.Work = 50ms;
  return Request;
}

void checkGuarantees(const FakeFleet &Fleet) {
  const std::vector<std::string> Problems = Fleet.violations();
  CAPTURE(Problems);
  CHECK(Problems.empty());
}

// Load pattern: while the store is unreachable, one instance gets every request
// of a workspace and the others' grants are idle.
TEST_CASE("A hot instance spends idle grants while the store is unreachable",
          "[BudgetLending]") {
  FakeFleet Fleet(4, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(100'000));
  for (int Node = 0; Node < 4; ++Node)
    Fleet.start(requestOf(Node, static_cast<std::size_t>(Node), Money(1'000)));
  Fleet.runFor(2s);
  Fleet.setStoreUnreachable(true);
  const Money OwnShare = Fleet.agent(0).held();
  int Served = 0;
  for (int Number = 10; Number < 40; ++Number) {
    Fleet.start(requestOf(Number, 0, Money(500)));
    Fleet.runFor(300ms);
    const FakeOutcome &Outcome = Fleet.outcome("r" + std::to_string(Number));
    Served += Outcome.Reserve == ReserveOutcome::Granted ? 1 : 0;
  }
  CHECK(scaled(Money(500), Served) > OwnShare);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(10s);
  checkGuarantees(Fleet);
}

TEST_CASE("A loan covers the request that asked for it", "[BudgetLending]") {
  FakeFleet Fleet(2, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000));
  Fleet.start(requestOf(1, 1, Money(2'000)));
  Fleet.runFor(1s);
  Fleet.setStoreUnreachable(true);
  const Money Idle = Fleet.agent(1).held();
  REQUIRE(Idle > Money(0));
  Fleet.start(requestOf(2, 0, Idle));
  Fleet.runFor(200ms);
  CHECK(Fleet.outcome("r2").Reserve == ReserveOutcome::Granted);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(5s);
  checkGuarantees(Fleet);
}

TEST_CASE("A refusal distinguishes spent budget from budget held elsewhere",
          "[BudgetLending]") {
  FakeFleet Fleet(2, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(1'000));
  FakeRequest Long = requestOf(1, 0, Money(800));
  Long.Work = 3s;
  Fleet.start(Long);
  Fleet.runFor(500ms);
  Fleet.start(requestOf(2, 1, Money(500)));
  Fleet.runFor(500ms);
  CHECK(Fleet.outcome("r2").Reserve == ReserveOutcome::Held);
  Fleet.runFor(5s);
  Fleet.start(requestOf(3, 1, Money(500)));
  Fleet.runFor(500ms);
  CHECK(Fleet.outcome("r3").Reserve == ReserveOutcome::Exhausted);
  checkGuarantees(Fleet);
}

/// Starts requests of 100 units each, in turn at the first instances.
/// \returns the number of granted requests.
int grantedOf(FakeFleet &Fleet, std::size_t Instances, int Count) {
  int Granted = 0;
  for (int Index = 0; Index < Count; ++Index) {
    const int Number = 1'000 + Index;
    const std::size_t Node = static_cast<std::size_t>(Index) % Instances;
    Fleet.start(requestOf(Number, Node, Money(100)));
    Fleet.runFor(400ms);
    const FakeOutcome &Outcome = Fleet.outcome("r" + std::to_string(Number));
    Granted += Outcome.Reserve == ReserveOutcome::Granted ? 1 : 0;
  }
  return Granted;
}

// Load pattern: a rolling restart stops instances while the store is
// unreachable.
TEST_CASE("Budget that a stopping instance cannot return is lent to its peers",
          "[BudgetLending]") {
  FakeFleet Fleet(4, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000));
  for (int Node = 0; Node < 4; ++Node)
    Fleet.start(requestOf(Node, static_cast<std::size_t>(Node), Money(500)));
  Fleet.runFor(2s);
  Fleet.setStoreUnreachable(true);
  Fleet.runFor(2s);
  Fleet.stop(3, 7s);
  Fleet.stop(2, 7s);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(2s);
  // Four requests of 500 leave enough for 80 more. A reservation needs a single
  // grant or loan, so amounts that sum to one request may be split and useless.
  CHECK(grantedOf(Fleet, 2, 80) >= 79);
  checkGuarantees(Fleet);
}

TEST_CASE("Peers commit the bills of a stopping instance", "[BudgetLending]") {
  FakeFleet Fleet(3, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000));
  for (int Node = 0; Node < 3; ++Node)
    Fleet.start(requestOf(Node, static_cast<std::size_t>(Node), Money(500)));
  Fleet.runFor(2s);
  Fleet.setStoreUnreachable(true);
  FakeRequest Last = requestOf(9, 0, Money(100));
  Last.Released = true;
  Fleet.start(Last);
  Fleet.runFor(2s);
  REQUIRE(Fleet.outcome("r9").Answered);
  Fleet.stop(0, 7s);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(5s);
  CHECK(Fleet.billed("k9"));
  checkGuarantees(Fleet);
}

// Load pattern: the lender is lost, and the borrower uses the loan so rarely
// that it still holds it when the lender's grant is reclaimed.
TEST_CASE("A loan of a lost lender is dropped before its grant is reclaimed",
          "[BudgetLending]") {
  BudgetPolicy Policy = lendingPolicy();
  Policy.ReclaimAfter = 30s;
  FakeFleet Fleet(2, Policy, 1);
  Fleet.topUp(Khan, Money(20'000));
  Fleet.start(requestOf(1, 0, Money(1'000)));
  Fleet.start(requestOf(2, 1, Money(1'000)));
  Fleet.runFor(1s);
  Fleet.setStoreUnreachable(true);
  Fleet.start(requestOf(3, 0, Fleet.agent(0).held()));
  Fleet.start(requestOf(4, 0, Money(10)));
  Fleet.runFor(400ms);
  REQUIRE(Fleet.agent(0).describe(Khan).find("borrowed 0 ") ==
          std::string::npos);
  Fleet.setStoreUnreachable(false);
  Fleet.end(1);
  Fleet.runFor(10s);
  // Still usable, because the grant is not reclaimed yet.
  CHECK(Fleet.agent(0).describe(Khan).find("borrowed 0 ") == std::string::npos);
  Fleet.runFor(10s);
  CHECK(Fleet.agent(0).describe(Khan).find("borrowed 0 ") != std::string::npos);
  checkGuarantees(Fleet);
}

// Load pattern: few requests of a workspace, spread over many instances, all of
// which are lost at the same time.
TEST_CASE("A loss of all instances costs a small workspace little budget",
          "[BudgetLending]") {
  constexpr std::size_t Instances = 8;
  constexpr int Seconds = 24;
  const Money Bound(1'000);
  FakeFleet Fleet(Instances, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(60'000));
  for (int Number = 0; Number < Seconds; ++Number) {
    const std::size_t Node = static_cast<std::size_t>(Number) % Instances;
    Fleet.start(requestOf(Number, Node, Bound));
    Fleet.runFor(1s);
    CHECK(Fleet.outcome("r" + std::to_string(Number)).Answered);
  }
  const SlotRecord Head =
      Fleet.store().slot(slotOf(Khan, lendingPolicy().Slots));
  const Money Lost = outstanding(*findAccount(Head, Khan));
  CAPTURE(Lost.micros());
  // One request per second: the horizon of five seconds needs five. As much
  // again is allowed for rounding and uneven load.
  CHECK(Lost <= scaled(Bound, 10));
  // The horizon is covered: an outage of the store leaves five requests.
  CHECK(Lost >= scaled(Bound, 5));
  checkGuarantees(Fleet);
}

// Load pattern: every instance restarts after a day of bills, and requests
// arrive at once.
TEST_CASE("The first draw after a restart does not wait for the billed keys",
          "[BudgetLending]") {
  BudgetPolicy Policy = lendingPolicy();
  Policy.MaxHeadBills = 65;
  FakeFleet Fleet(2, Policy, 1);
  Fleet.topUp(Khan, Money(1'000'000));
  for (int Number = 0; Number < 200; ++Number) {
    Fleet.start(requestOf(Number, 0, Money(100)));
    Fleet.runFor(100ms);
  }
  REQUIRE(Fleet.store().segments(slotOf(Khan, Policy.Slots)).size() > 50);
  Fleet.StoreDelay = 10ms;
  Fleet.restart(0);
  Fleet.restart(1);
  Fleet.start(requestOf(1'000, 0, Money(100)));
  Fleet.start(requestOf(1'001, 1, Money(100)));
  Fleet.runFor(200ms);
  CHECK(Fleet.outcome("r1000").Reserve == ReserveOutcome::Granted);
  CHECK(Fleet.outcome("r1001").Reserve == ReserveOutcome::Granted);
  // Their bills are committed once the keys are loaded.
  Fleet.runFor(5s);
  CHECK(Fleet.outcome("r1000").Answered);
  CHECK(Fleet.outcome("r1001").Answered);
  // A key of an old segment is still detected.
  FakeRequest Again = requestOf(3, 0, Money(100));
  Again.Id.Value = "again";
  Fleet.start(Again);
  Fleet.runFor(2s);
  CHECK(Fleet.outcome("again").Settle == SettleOutcome::BilledBefore);
  checkGuarantees(Fleet);
}

TEST_CASE("Random loans under random failures never overspend",
          "[BudgetLending]") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    FakeFleet Fleet(4, lendingPolicy(), Seed);
    Fleet.topUp(Khan, Money(60'000));
    for (int Number = 1; Number <= 150; ++Number) {
      const std::size_t Node = Fleet.random().below(4);
      const Money Bound(
          static_cast<std::int64_t>(100 + Fleet.random().below(1'500)));
      if (Fleet.alive(Node))
        Fleet.start(requestOf(Number, Node, Bound));
      Fleet.runFor(std::chrono::milliseconds(Fleet.random().below(120)));
      if (Fleet.random().below(20) == 0)
        Fleet.setStoreUnreachable(Fleet.random().below(2) == 0);
      if (Fleet.random().below(40) == 0)
        Fleet.restart(Node);
    }
    Fleet.setStoreUnreachable(false);
    Fleet.runFor(10s);
    checkGuarantees(Fleet);
  }
}

/// \returns the number of store calls of twelve instances that start together,
/// each with a request of a different workspace.
std::uint64_t callsOfJointStart(bool AwaitMembers) {
  constexpr std::size_t Instances = 12;
  BudgetPolicy Policy = lendingPolicy();
  Policy.AwaitMembers = AwaitMembers;
  Policy.BudgetWait = 4s;
  FakeFleet Fleet(Instances, Policy, 1);
  for (std::size_t Node = 0; Node < Instances; ++Node)
    Fleet.topUp(WorkspaceId{"w" + std::to_string(Node)}, Money(10'000));
  Fleet.restartAll();
  const std::uint64_t Before = Fleet.store().Reads + Fleet.store().Writes;
  for (std::size_t Node = 0; Node < Instances; ++Node) {
    FakeRequest Request = requestOf(static_cast<int>(Node), Node, Money(100));
    Request.Workspace.Value = "w" + std::to_string(Node);
    Fleet.start(Request);
  }
  Fleet.runFor(4s);
  for (std::size_t Node = 0; Node < Instances; ++Node)
    CHECK(Fleet.outcome("r" + std::to_string(Node)).Answered);
  checkGuarantees(Fleet);
  return Fleet.store().Reads + Fleet.store().Writes - Before;
}

// Load pattern: all instances of a fleet start together and do not know each
// other yet.
TEST_CASE("Instances that start together commit through one of them",
          "[BudgetLending]") {
  const std::uint64_t Alone = callsOfJointStart(false);
  const std::uint64_t Together = callsOfJointStart(true);
  CAPTURE(Alone, Together);
  CHECK(Together <= 12);
  CHECK(Together * 3 <= Alone);
}

// Load pattern: a fleet has a backlog of bills and draws when the store becomes
// reachable again, for one instance after the other.
TEST_CASE("After an outage the backlog goes through one committer",
          "[BudgetLending]") {
  constexpr std::size_t Instances = 20;
  FakeFleet Fleet(Instances, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000'000));
  int Last = 0;
  const auto RequestEverywhere = [&] {
    for (std::size_t Node = 0; Node < Instances; ++Node)
      Fleet.start(requestOf(++Last, Node, Money(100)));
    Fleet.runFor(200ms);
  };
  for (int Round = 0; Round < 10; ++Round)
    RequestEverywhere();
  for (std::size_t Node = 0; Node < Instances; ++Node)
    Fleet.setCutFromStore(Node, true);
  for (int Round = 0; Round < 40; ++Round)
    RequestEverywhere();
  const std::uint64_t Before = Fleet.store().Reads + Fleet.store().Writes;
  // The preferred committer is the last to reach the store again.
  const InstanceId First =
      Fleet.agent(0).membership().committerOf(SlotId{0}, InstanceId{"none"});
  for (std::size_t Node = 0; Node < Instances; ++Node)
    if (First.Value != "node-" + std::to_string(Node))
      Fleet.setCutFromStore(Node, false);
  Fleet.runFor(1s);
  for (std::size_t Node = 0; Node < Instances; ++Node)
    Fleet.setCutFromStore(Node, false);
  Fleet.runFor(4s);
  const std::uint64_t Calls =
      Fleet.store().Reads + Fleet.store().Writes - Before;
  CHECK(Calls <= 5 * Instances);
  for (std::size_t Node = 0; Node < Instances; ++Node)
    CHECK(Fleet.agent(Node).pendingOperations() == 0);
  checkGuarantees(Fleet);
}

// Load pattern: an instance with a slow link to the store loses the connection
// to its committers for a while, and the rest of a large fleet commits several
// times a second.
TEST_CASE("A slow instance does not compete with the committer forever",
          "[BudgetLending]") {
  constexpr std::size_t Instances = 20;
  FakeFleet Fleet(Instances, lendingPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000'000));
  Fleet.runFor(3s);
  const std::vector<InstanceId> Committers =
      Fleet.agent(0).membership().committersOf(SlotId{0}, 3);
  std::size_t Slow = 0;
  while (std::count(Committers.begin(), Committers.end(),
                    InstanceId{"node-" + std::to_string(Slow)}) > 0)
    ++Slow;
  int Last = 0;
  const auto RequestElsewhere = [&](int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (std::size_t Node = 0; Node < Instances; ++Node)
        if (Node != Slow)
          Fleet.start(requestOf(++Last, Node, Money(100)));
      Fleet.runFor(100ms);
    }
  };
  Fleet.setStoreLag(Slow, 400ms);
  Fleet.setCutFromPeers(Slow, true);
  Fleet.start(requestOf(++Last, Slow, Money(3'000)));
  RequestElsewhere(60);
  Fleet.setCutFromPeers(Slow, false);
  // The committers are reachable again and take the pending operations.
  RequestElsewhere(40);
  CHECK(Fleet.agent(Slow).pendingOperations() == 0);
  checkGuarantees(Fleet);
}

/// Requests of one time span, and how many of them were granted.
struct SpanCount {
  int Requested = 0;
  int Granted = 0;
  [[nodiscard]] double grantedFraction() const {
    return static_cast<double>(Granted) / Requested;
  }
};

/// Sends requests of ten workspaces. The first workspace has a quarter of them,
/// and most requests of a workspace arrive at one instance.
SpanCount replaySpan(FakeFleet &Fleet, Random &Source, int &Last,
                     Duration Length) {
  constexpr Duration Pause = 12ms;
  SpanCount Outcome;
  std::vector<std::string> Names;
  for (Duration Spent{}; Spent < Length; Spent += Pause) {
    const std::uint64_t Drawn = Source.below(12);
    const std::uint64_t Workspace = Drawn < 3 ? 0 : Drawn - 2;
    const bool Misrouted = Source.below(10) < 3;
    const std::size_t Instance = Misrouted ? Source.below(7) : Workspace % 7;
    FakeRequest Request = requestOf(++Last, Instance, Money(2'000));
    Request.Bound = Money(static_cast<std::int64_t>(500 + Source.below(3'000)));
    Request.Cost = Money(Request.Bound.micros() * 4 / 5);
    Request.Workspace.Value = "w" + std::to_string(Workspace);
    Request.Work = 400ms;
    Request.Released = true;
    Fleet.start(Request);
    Names.push_back(Request.Id.Value);
    Fleet.runFor(Pause);
  }
  Fleet.runFor(300ms);
  for (const std::string &Name : Names) {
    ++Outcome.Requested;
    Outcome.Granted += Fleet.outcome(Name).Reserve == ReserveOutcome::Granted ||
                               Fleet.outcome(Name).Executed
                           ? 1
                           : 0;
  }
  return Outcome;
}

// Load pattern: no instance reaches the store for eight seconds, early in a day
// whose budgets are 1.3 times the spending.
TEST_CASE("A store outage of eight seconds hardly reduces granted requests",
          "[BudgetLending]") {
  BudgetPolicy Policy = lendingPolicy();
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = 9s;
  Policy.MaxGrantedFraction = 0.35;
  Policy.MinDrawDivisor = 18;
  FakeFleet Fleet(7, Policy, 1);
  // Spending of a day in which 83 requests per second arrive, with a mean cost
  // of 1,600, for 34 seconds.
  const std::int64_t Day = std::int64_t{83} * 34 * 1'600;
  for (int Index = 0; Index < 10; ++Index)
    Fleet.topUp(WorkspaceId{"w" + std::to_string(Index)},
                Money(Day * 13 / 10 * (Index == 0 ? 3 : 1) / 12));
  Random Source(7);
  int Last = 0;
  const SpanCount Before = replaySpan(Fleet, Source, Last, 8s);
  Fleet.setStoreUnreachable(true);
  const SpanCount Outage = replaySpan(Fleet, Source, Last, 8s);
  Fleet.setStoreUnreachable(false);
  CAPTURE(Before.grantedFraction(), Outage.grantedFraction());
  CHECK(Before.grantedFraction() > 0.98);
  CHECK(Outage.grantedFraction() >= 0.9 * Before.grantedFraction());
  Fleet.runFor(5s);
  checkGuarantees(Fleet);
}

} // namespace
} // namespace bronzeward::fakes
