/// \file
/// Benches the budgets on virtual time: eight instances, ten workspaces, fixed
/// seeds. Prints the worst seed's figures and exits non-zero past a bound.

#include "bench/Baselines.h"
#include "bench/Report.h"
#include "test/support/FakeFleet.h"

#include <cstdio>

namespace bronzeward::bench {

using fakes::FakeFleet;
using fakes::FakeRequest;

constexpr std::size_t Instances = 8;
constexpr std::size_t Workspaces = 10;
constexpr std::uint64_t Seeds = 5;

/// \brief Open-loop arrivals at random instances of random workspaces.
class Workload {
public:
  explicit Workload(FakeFleet &Target) : Fleet(Target) {}

  /// \param Rate requests a second over all instances.
  void run(double Rate, Duration Time, const std::string &Prefix,
           double ClaimShare = 0.0) {
    const TimePoint Until = Fleet.now() + Time;
    while (Fleet.now() < Until) {
      const std::chrono::duration<double> Gap(
          Fleet.random().exponential(1.0 / Rate));
      Fleet.runFor(std::chrono::duration_cast<Duration>(Gap));
      startOne(Prefix, ClaimShare);
    }
  }

  [[nodiscard]] static WorkspaceId workspace(std::size_t Index) {
    return WorkspaceId{"workspace-" + std::to_string(Index)};
  }

private:
  [[nodiscard]] bool ready(std::size_t Node) const {
    return Fleet.alive(Node) && Fleet.agent(Node).serving(Fleet.now());
  }

  void startOne(const std::string &Prefix, double ClaimShare) {
    Random &Source = Fleet.random();
    FakeRequest Made;
    // The balancer passes over instances that are not ready.
    Made.Node = Source.below(Instances);
    for (std::size_t Try = 0; Try < Instances && !ready(Made.Node); ++Try)
      Made.Node = (Made.Node + 1) % Instances;
    if (!ready(Made.Node))
      return;
    Made.Id.Value = Prefix + std::to_string(++Last);
    Made.Key = Made.Id.Value;
    // A few large workspaces: half of all requests go to the first two.
    const std::size_t Index =
        Source.below(2) == 0 ? Source.below(2) : Source.below(Workspaces);
    Made.Workspace = workspace(Index);
    Made.Bound = Money(1500);
    Made.Cost = Money(static_cast<std::int64_t>(200 + Source.below(1000)));
    Made.Claimed = Source.unit() < ClaimShare;
    Made.Work = std::chrono::milliseconds(200 + Source.below(1800));
    Fleet.start(Made);
  }

  FakeFleet &Fleet;
  std::uint64_t Last = 0;
};

/// \brief Sums over the requests whose id begins with a prefix.
struct Tally {
  double Started = 0;
  double Refused = 0;
  double Answered = 0;
  double Unknown = 0;
  Money RefusedCost;

  Tally(const FakeFleet &Fleet, const std::string &Prefix) {
    for (const auto &[Id, Seen] : Fleet.outcomes()) {
      if (!Id.Value.starts_with(Prefix))
        continue;
      ++Started;
      Refused += Seen.Refused ? 1 : 0;
      Answered += Seen.Answered ? 1 : 0;
      Unknown += Seen.Claim == ClaimOutcome::Held ? 1 : 0;
      if (Seen.Refused)
        RefusedCost += Fleet.request(Id).Cost;
    }
  }
};

static void topUpAll(FakeFleet &Fleet, std::int64_t Micros) {
  for (std::size_t Index = 0; Index < Workspaces; ++Index)
    Fleet.topUp(Workload::workspace(Index), Money(Micros));
}

static void notePromises(Report &Out, FakeFleet &Fleet) {
  double Overspend = 0;
  double DoubleBills = 0;
  double DoubleRuns = 0;
  double FalseNotRun = 0;
  double Other = 0;
  for (const std::string &Problem : Fleet.violations()) {
    if (Problem.find("exceeds its budget") != std::string::npos)
      ++Overspend;
    else if (Problem.find("billed twice") != std::string::npos)
      ++DoubleBills;
    else if (Problem.find("ran ") != std::string::npos &&
             Problem.find("times") != std::string::npos)
      ++DoubleRuns;
    else if (Problem.find("refused but ran") != std::string::npos)
      ++FalseNotRun;
    else
      ++Other;
  }
  Out.atMost("budget.longest_value_bytes",
             static_cast<double>(Fleet.store().LongestValue));
  Out.atMost("budget.overspend", Overspend);
  Out.atMost("budget.double_bills", DoubleBills);
  Out.atMost("budget.double_runs", DoubleRuns);
  Out.atMost("budget.false_not_run", FalseNotRun);
  Out.atMost("budget.other_broken_promises", Other);
}

struct StoreUse {
  double Writes = 0;
  double Reads = 0;
  double Requests = 0;
};

static StoreUse measureStore(std::uint64_t Seed, double Rate, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  topUpAll(Fleet, 4'000'000'000'000);
  Workload Load(Fleet);
  Load.run(Rate, 20s, "warm");
  const std::uint64_t Writes = Fleet.store().Writes;
  const std::uint64_t Reads = Fleet.store().Reads;
  Load.run(Rate, 30s, "measured");
  StoreUse Use;
  Use.Writes = static_cast<double>(Fleet.store().Writes - Writes);
  Use.Reads = static_cast<double>(Fleet.store().Reads - Reads);
  const Tally Seen(Fleet, "measured");
  Use.Requests = Seen.Started;
  Out.atMost("budget.plentiful.false_refusals", Seen.Refused / Seen.Started);
  Fleet.runFor(10s);
  notePromises(Out, Fleet);
  return Use;
}

static void plentiful(std::uint64_t Seed, Report &Out) {
  constexpr double Rate = 100.0;
  const StoreUse Slow = measureStore(Seed, Rate, Out);
  const StoreUse Fast = measureStore(Seed, 10 * Rate, Out);
  Out.atMost("budget.store.writes_per_request_at_100_s",
             Slow.Writes / Slow.Requests);
  Out.atMost("budget.store.writes_per_request_at_1000_s",
             Fast.Writes / Fast.Requests);
  Out.atMost("budget.store.reads_per_request_at_100_s",
             Slow.Reads / Slow.Requests);
  Out.atMost("budget.store.reads_per_request_at_1000_s",
             Fast.Reads / Fast.Requests);
  Out.atMost("budget.store.added_writes_per_added_request",
             (Fast.Writes - Slow.Writes) / (Fast.Requests - Slow.Requests));
}

static std::vector<Demand> demandOf(const FakeFleet &Fleet,
                                    const WorkspaceId &Workspace) {
  std::vector<Demand> Requests;
  for (const auto &[Id, Seen] : Fleet.outcomes()) {
    const FakeRequest &Item = Fleet.request(Id);
    if (Item.Workspace == Workspace)
      Requests.push_back({Item.Node, Item.Bound, Item.Cost});
  }
  return Requests;
}

static Money refusedCost(const FakeFleet &Fleet, const WorkspaceId &Workspace) {
  Money Sum;
  for (const auto &[Id, Seen] : Fleet.outcomes())
    if (Seen.Refused && Fleet.request(Id).Workspace == Workspace)
      Sum += Fleet.request(Id).Cost;
  return Sum;
}

static void nearExhaustion(std::uint64_t Seed, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  constexpr std::int64_t Prepaid = 1'000'000;
  topUpAll(Fleet, Prepaid);
  Workload Load(Fleet);
  Load.run(200.0, 120s, "r");
  Fleet.runFor(10s);
  notePromises(Out, Fleet);
  const SlotRecord Head = Fleet.store().slot(SlotId{0});
  double Unspent = 0;
  double Split = 0;
  double PerCall = 0;
  for (const Account &Budget : Head.Accounts) {
    const Money Refused = refusedCost(Fleet, Budget.Workspace);
    const Money Left = Budget.Prepaid - Budget.Settled;
    Unspent += static_cast<double>(std::min(Left, Refused).micros());
    const std::vector<Demand> Requests = demandOf(Fleet, Budget.Workspace);
    Split += fixedSplit(Requests, Instances, Budget.Prepaid).FalseRefusals;
    PerCall += storeCallPerRequest(Requests, Budget.Prepaid).FalseRefusals;
  }
  const double Count = static_cast<double>(Head.Accounts.size());
  Out.atMost("budget.exhaustion.false_refusals",
             Unspent / (Count * static_cast<double>(Prepaid)));
  Out.atMost("baseline.fixed_split.false_refusals", Split / Count);
  Out.atMost("baseline.store_call_per_request.false_refusals", PerCall / Count);
  Out.atMost("baseline.store_call_per_request.store_calls", 4.0);
}

static void outage(std::uint64_t Seed, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  topUpAll(Fleet, 4'000'000'000);
  Workload Load(Fleet);
  Load.run(100.0, 60s, "before");
  Fleet.setStoreUnreachable(true);
  Load.run(100.0, 60s, "outage");
  Fleet.setStoreUnreachable(false);
  // The breakers stay open for at most 5 s, so the rush is within 6 s.
  for (int Second = 0; Second < 6; ++Second) {
    const std::uint64_t Writes = Fleet.store().Writes;
    const std::uint64_t Reads = Fleet.store().Reads;
    Load.run(100.0, 1s, "rush");
    Out.atMost("budget.after_outage.most_writes_in_a_second",
               static_cast<double>(Fleet.store().Writes - Writes));
    Out.atMost("budget.after_outage.most_reads_in_a_second",
               static_cast<double>(Fleet.store().Reads - Reads));
  }
  Load.run(100.0, 20s, "after");
  Fleet.runFor(30s);
  notePromises(Out, Fleet);
  const Tally Seen(Fleet, "outage");
  const Tally After(Fleet, "after");
  Out.atMost("budget.outage_60s.false_refusals", Seen.Refused / Seen.Started);
  Out.atMost("budget.outage_60s.unanswered",
             (Seen.Started - Seen.Answered) / Seen.Started);
  Out.atMost("budget.after_outage.false_refusals",
             After.Refused / After.Started);
}

/// The two deployments weigh overspend and refusals differently.
static void weighing(std::uint64_t Seed, Report &Out) {
  struct Deployment {
    const char *Name;
    Duration Horizon;
    Duration Offline;
    Duration Wait;
  };
  for (const Deployment &Item : {Deployment{"chair_lease", 60s, 120s, 300ms},
                                 Deployment{"sign_plans", 120s, 600s, 2s}}) {
    BudgetPolicy Policy;
    Policy.GrantHorizon = Item.Horizon;
    Policy.OfflineService = Item.Offline;
    Policy.BudgetWait = Item.Wait;
    FakeFleet Fleet(Instances, Policy, Seed);
    topUpAll(Fleet, 4'000'000'000);
    Workload Load(Fleet);
    Load.run(50.0, 60s, "before");
    Fleet.setStoreUnreachable(true);
    Load.run(50.0, 180s, "outage");
    double Carried = 0;
    for (std::size_t Node = 0; Node < Instances; ++Node)
      Carried += static_cast<double>(Fleet.agent(Node).carriedBills());
    Fleet.setStoreUnreachable(false);
    Fleet.runFor(30s);
    notePromises(Out, Fleet);
    const Tally Seen(Fleet, "outage");
    const std::string Prefix = std::string("weighing.") + Item.Name;
    Out.atMost(Prefix + ".refused_of_180s_outage",
               1.0 - Seen.Answered / (50.0 * 180.0));
    Out.atMost(Prefix + ".bills_carried_at_its_end", Carried);
  }
}

static void partition(std::uint64_t Seed, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  topUpAll(Fleet, 4'000'000'000);
  Workload Load(Fleet);
  Load.run(50.0, 60s, "before");
  // A failure domain loses the store and all others; budgets are topped up
  // elsewhere meanwhile.
  for (std::size_t Node = 0; Node < Instances; Node += 3) {
    Fleet.setCutFromStore(Node, true);
    Fleet.setCutFromPeers(Node, true);
  }
  topUpAll(Fleet, 1'000'000);
  Load.run(50.0, 300s, "partition");
  for (std::size_t Node = 0; Node < Instances; ++Node) {
    Fleet.setCutFromStore(Node, false);
    Fleet.setCutFromPeers(Node, false);
  }
  Fleet.runFor(60s);
  notePromises(Out, Fleet);
  const Tally Seen(Fleet, "partition");
  Out.atMost("budget.partition_300s.refused", Seen.Refused / Seen.Started);
}

static void vanished(std::uint64_t Seed, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  const WorkspaceId Khan{"khan"};
  Fleet.topUp(Khan, Money(2000));
  FakeRequest Held;
  Held.Id.Value = "held";
  Held.Key = "held";
  Held.Workspace = Khan;
  Held.Bound = Money(1500);
  Held.Cost = Money(1);
  Held.Work = 10s;
  Fleet.start(Held);
  Fleet.runFor(1s);
  Fleet.end(0);
  const TimePoint Gone = Fleet.now();
  for (int Try = 0; Try < 600; ++Try) {
    FakeRequest Next = Held;
    Next.Id.Value = Next.Key = "try" + std::to_string(Try);
    Next.Node = 1;
    Next.Bound = Money(1990);
    Next.Work = 1ms;
    Fleet.start(Next);
    Fleet.runFor(1s);
    if (Fleet.outcome(Next.Id.Value).Answered)
      break;
  }
  const std::chrono::duration<double> Waited = Fleet.now() - Gone;
  Out.atMost("budget.vanished.seconds_to_remnant", Waited.count());
  notePromises(Out, Fleet);
}

static void claims(std::uint64_t Seed, Report &Out) {
  FakeFleet Fleet(Instances, BudgetPolicy(), Seed);
  topUpAll(Fleet, 4'000'000'000);
  Workload Load(Fleet);
  Load.run(100.0, 20s, "claims", 0.5);
  Fleet.end(Instances - 1);
  Load.run(100.0, 20s, "claims-later", 0.5);
  Fleet.runFor(10s);
  notePromises(Out, Fleet);
  // Each request that did not end retries under its key at another instance.
  std::vector<FakeRequest> Again;
  for (const auto &[Id, Seen] : Fleet.outcomes())
    if (!Seen.Ended && Fleet.request(Id).Claimed)
      Again.push_back(Fleet.request(Id));
  for (FakeRequest &Item : Again) {
    Item.Id.Value = "again-" + Item.Id.Value;
    Item.Node = 0;
    Fleet.start(Item);
  }
  Fleet.runFor(5s);
  notePromises(Out, Fleet);
  const Tally Retried(Fleet, "again-");
  const Tally All(Fleet, "");
  Out.atMost("budget.claims.unknown_share", Retried.Unknown / All.Started);
}

} // namespace bronzeward::bench

int main(int Argc, char **Argv) {
  using namespace bronzeward::bench;
  Report Out;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    plentiful(Seed, Out);
    nearExhaustion(Seed, Out);
    outage(Seed, Out);
    weighing(Seed, Out);
    partition(Seed, Out);
    vanished(Seed, Out);
    claims(Seed, Out);
  }
  std::printf("worst of seeds 1 to %d\n", static_cast<int>(Seeds));
  const int Broken =
      Out.print(Argc > 1 ? Argv[1] : "bench/bounds.txt", "budget.");
  std::printf("%d bounds broken\n", Broken);
  return Broken == 0 ? 0 : 1;
}
