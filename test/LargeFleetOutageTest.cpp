#include "test/support/FakeFleet.h"

#include <algorithm>
#include <array>
#include <set>

#include <catch2/catch.hpp>

namespace bronzeward::fakes {
namespace {

BudgetPolicy fleetPolicy() {
  BudgetPolicy Policy;
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = 9s;
  Policy.MaxGrantedFraction = 0.35;
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
  Policy.MaxHeadBills = 128;
  Policy.Carriers = 0;
  Policy.ReclaimAfter = 24h;
  return Policy;
}

bool granted(const FakeFleet &Fleet, const std::string &Id) {
  return Fleet.outcome(Id).Reserve == ReserveOutcome::Granted ||
         Fleet.outcome(Id).Executed;
}

// Load pattern: few instances of a large fleet hold grants of a workspace, and
// requests arrive elsewhere while the store is unreachable.
TEST_CASE("Grants are found wherever they are held in a large fleet",
          "[LargeFleetOutage]") {
  constexpr std::size_t Instances = 60;
  constexpr std::size_t Holders = 6;
  const WorkspaceId Khan{"khan"};
  FakeFleet Fleet(Instances, fleetPolicy(), 1);
  Fleet.topUp(Khan, Money(10'000'000));
  const auto Start = [&](const std::string &Id, std::size_t Node) {
    FakeRequest Request;
    Request.Id.Value = Request.Key = Id;
    Request.Node = Node;
    Request.Workspace = Khan;
    Request.Bound = Request.Cost = Money(1'000);
    Request.Work = 50ms;
    Request.Released = true;
    Fleet.start(Request);
  };
  Fleet.runFor(3s);
  for (std::size_t Index = 0; Index < 60 * Holders; ++Index) {
    Start("warm-" + std::to_string(Index), Index % Holders);
    Fleet.runFor(10ms);
  }
  Fleet.setStoreUnreachable(true);
  Fleet.runFor(2s);
  std::size_t Granted = 0;
  for (std::size_t Node = Holders; Node < Instances; ++Node) {
    const std::string Id = "cold-" + std::to_string(Node);
    Start(Id, Node);
    Fleet.runFor(400ms);
    Granted += granted(Fleet, Id) ? 1 : 0;
  }
  CHECK(Granted == Instances - Holders);
  CHECK(Fleet.violations().empty());
}

constexpr std::size_t Instances = 91;
constexpr std::size_t Workspaces = 24;
/// Workspaces with a large part of all requests, and their weights.
constexpr std::array<double, 3> LargeWeights{9.0, 4.5, 4.0};

double weightOf(std::size_t Workspace) {
  return Workspace < LargeWeights.size() ? LargeWeights.at(Workspace) : 1.0;
}

double totalWeight() {
  double Sum = 0.0;
  for (std::size_t Index = 0; Index < Workspaces; ++Index)
    Sum += weightOf(Index);
  return Sum;
}

/// Draws a request of three kinds. Most requests of the two largest workspaces
/// arrive at one or two instances, all others at any.
FakeRequest drawRequest(Random &Source) {
  double Drawn = Source.unit() * totalWeight();
  std::size_t Workspace = 0;
  for (; Workspace + 1 < Workspaces && Drawn >= weightOf(Workspace);
       ++Workspace)
    Drawn -= weightOf(Workspace);
  const bool AtHome = Source.below(10) < 8;
  FakeRequest Request;
  Request.Node = Source.below(Instances);
  if (Workspace == 0 && AtHome)
    Request.Node = 0;
  if (Workspace == 1 && AtHome)
    Request.Node = 1 + Source.below(2);
  constexpr std::array<std::uint64_t, 3> MeanCosts{17'000, 9'000, 1'600};
  const std::uint64_t Mean = MeanCosts.at(Source.below(MeanCosts.size()));
  Request.Bound =
      Money(static_cast<std::int64_t>(Mean / 2 + Source.below(Mean)));
  Request.Cost = Request.Bound;
  Request.Workspace.Value = "w" + std::to_string(Workspace);
  Request.Work = 900ms;
  Request.Released = true;
  return Request;
}

/// \returns the fraction of the requests of a time span that were granted.
double replay(FakeFleet &Fleet, Random &Source, int &Last, Duration Length) {
  constexpr Duration Pause = 3ms;
  std::vector<std::string> Names;
  for (Duration Spent{}; Spent < Length; Spent += Pause) {
    FakeRequest Request = drawRequest(Source);
    Request.Id.Value = Request.Key = "r" + std::to_string(++Last);
    Fleet.start(Request);
    Names.push_back(Request.Id.Value);
    Fleet.runFor(Pause);
  }
  Fleet.runFor(300ms);
  const auto Granted =
      std::count_if(Names.begin(), Names.end(), [&](const std::string &Name) {
        return granted(Fleet, Name);
      });
  return static_cast<double>(Granted) / static_cast<double>(Names.size());
}

// Load pattern: no instance of a large fleet reaches the store for nine
// seconds, early in a day whose budgets are 1.3 times the spending.
TEST_CASE("A store outage hardly reduces granted requests of a large fleet",
          "[LargeFleetOutage]") {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    CAPTURE(Seed);
    FakeFleet Fleet(Instances, fleetPolicy(), Seed);
    constexpr double DaySpending = 333.0 * 34 * 9'200;
    for (std::size_t Index = 0; Index < Workspaces; ++Index)
      Fleet.topUp(WorkspaceId{"w" + std::to_string(Index)},
                  Money(static_cast<std::int64_t>(
                      1.3 * DaySpending * weightOf(Index) / totalWeight())));
    Random Source(Seed);
    int Last = 0;
    const double Before = replay(Fleet, Source, Last, 6s);
    Fleet.setStoreUnreachable(true);
    const double Outage = replay(Fleet, Source, Last, 9s);
    Fleet.setStoreUnreachable(false);
    CAPTURE(Before, Outage);
    CHECK(Before > 0.98);
    CHECK(Outage >= 0.9 * Before);
    Fleet.runFor(5s);
    CHECK(Fleet.violations().empty());
  }
}

/// Requests of which one costs a hundredth of its workspace's budget, spread
/// evenly over the instances.
class CostlyRequests {
public:
  CostlyRequests(FakeFleet &Target, std::size_t Size, Duration Time)
      : Fleet(Target), Instances(Size), Pause(Time), Source(1) {
    for (std::size_t Index = 0; Index < Workspaces; ++Index)
      Fleet.topUp(workspace(Index), Money(Prepaid));
  }

  /// \returns the fraction of the requests of a time span that were granted.
  double replay(Duration Length) {
    std::vector<std::string> Names;
    for (Duration Spent{}; Spent < Length; Spent += Pause) {
      FakeRequest Request;
      Request.Id.Value = Request.Key = "r" + std::to_string(++Last);
      Request.Node = Source.below(Instances);
      Request.Workspace = workspace(Source.below(Workspaces));
      constexpr std::uint64_t LeastCost = 9'000;
      Request.Bound = Request.Cost = Money(
          static_cast<std::int64_t>(LeastCost + Source.below(2 * LeastCost)));
      Request.Work = 900ms;
      Request.Released = true;
      Fleet.start(Request);
      Names.push_back(Request.Id.Value);
      Fleet.runFor(Pause);
    }
    Fleet.runFor(300ms);
    const auto Granted =
        std::count_if(Names.begin(), Names.end(), [&](const std::string &Name) {
          return granted(Fleet, Name);
        });
    return static_cast<double>(Granted) / static_cast<double>(Names.size());
  }

private:
  static constexpr std::int64_t Prepaid = 1'800'000;

  static WorkspaceId workspace(std::size_t Index) {
    return WorkspaceId{"w" + std::to_string(Index)};
  }

  FakeFleet &Fleet;
  std::size_t Instances = 0;
  Duration Pause{};
  Random Source;
  int Last = 0;
};

/// \returns the fraction of requests that a fleet grants in an outage of nine
/// seconds, after twelve seconds with the store.
double grantedInOutage(std::size_t Size, std::size_t Custodians,
                       Duration Pause) {
  BudgetPolicy Policy = fleetPolicy();
  Policy.Custodians = Custodians;
  FakeFleet Fleet(Size, Policy, 1);
  CostlyRequests Requests(Fleet, Size, Pause);
  CHECK(Requests.replay(12s) > 0.98);
  Fleet.setStoreUnreachable(true);
  const double Granted = Requests.replay(9s);
  Fleet.setStoreUnreachable(false);
  Fleet.runFor(5s);
  CHECK(Fleet.violations().empty());
  return Granted;
}

// Load pattern: requests cost more than any instance of a fleet holds of their
// workspace's budget, and the store is unreachable for nine seconds.
TEST_CASE("Custodians grant more requests in an outage than all instances do",
          "[LargeFleetOutage]") {
  const std::size_t Size = GENERATE(76, 300);
  const Duration Pause = GENERATE(12ms, 24ms);
  CAPTURE(Size, Pause);
  CHECK(grantedInOutage(Size, 4, Pause) > grantedInOutage(Size, 0, Pause));
}

TEST_CASE("Custodians bridge an outage while a budget lasts",
          "[CustodyOutage]") {
  const std::size_t Size = GENERATE(76, 300);
  CAPTURE(Size);
  CHECK(grantedInOutage(Size, 4, 24ms) >= 0.9);
}

TEST_CASE("The bills of a request that is charged to several grants add up",
          "[LargeFleetOutage]") {
  Bill Whole;
  Whole.Key.Value = "r1";
  Whole.Rate.InputToken = Whole.Rate.OutputToken = Money(1);
  Whole.Tokens = {1'000, 0, 200};
  Whole.Cost = Money(1'200);
  const std::vector<ChargePart> Parts{
      {Money(700), {}}, {Money(400), LoanOrigin{}}, {Money(300), LoanOrigin{}}};
  const std::vector<Money> Costs = shareCost(Parts, Whole.Cost);
  CHECK(Costs == std::vector<Money>{Money(700), Money(400), Money(100)});
  Money Sum;
  Usage Tokens;
  std::set<std::string> Keys;
  for (const auto &[Part, Index] : splitBill(Whole, Costs)) {
    CHECK(Part.Cost == Costs[Index]);
    CHECK(Part.Cost == costOf(Part.Rate, Part.Tokens));
    Sum += Part.Cost;
    Tokens.InputTokens += Part.Tokens.InputTokens;
    Tokens.OutputTokens += Part.Tokens.OutputTokens;
    Keys.insert(Part.Key.Value);
  }
  CHECK(Sum == Whole.Cost);
  CHECK(Tokens == Whole.Tokens);
  CHECK(Keys.size() == 3);
}

} // namespace
} // namespace bronzeward::fakes
