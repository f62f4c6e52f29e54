#include "test/support/FakeFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace bronzeward::fakes {
namespace {

constexpr std::size_t Instances = 3;
constexpr int Steps = 400;
constexpr std::uint64_t Seeds = 300;

BudgetPolicy quickPolicy() {
  BudgetPolicy Policy;
  Policy.Slots = 2;
  Policy.ReclaimAfter = 3s;
  Policy.MaxHeadBills = 100000;
  return Policy;
}

/// A run in which a seeded generator picks requests, deliveries and faults.
class RandomRun {
public:
  explicit RandomRun(std::uint64_t Seed)
      : Fleet(Instances, quickPolicy(), Seed), Source(Seed) {
    for (const char *Name : {"khan", "bold", "tuya"})
      Workspaces.push_back(WorkspaceId{Name});
    for (const WorkspaceId &Item : Workspaces)
      Fleet.topUp(Item, Money(400));
  }

  void step() {
    const std::uint64_t Pick = Source.below(100);
    if (Pick < 20)
      startRequest();
    else if (Pick < 70)
      deliverOne();
    else if (Pick < 88)
      Fleet.advance(std::chrono::milliseconds(1 + Source.below(200)));
    else if (Pick < 92)
      Fleet.announceMembers(Source.below(2) == 0);
    else
      injectFault();
  }

  /// Ends all faults and waits until everything is settled.
  void settle() {
    Fleet.setStoreUnreachable(false);
    // At least one instance must be alive to reclaim the grants of lost ones.
    if (!Fleet.alive(0))
      Fleet.restart(0);
    for (std::size_t Node = 0; Node < Instances; ++Node) {
      Fleet.setPaused(Node, false);
      Fleet.setCutFromStore(Node, false);
      Fleet.setCutFromPeers(Node, false);
    }
    Fleet.runFor(60s);
  }

  /// \returns descriptions of grants that belong to no live instance; after
  /// settle() there must be none.
  std::vector<std::string> stranded() {
    std::vector<std::string> Problems;
    for (std::uint32_t Index = 0; Index < 2; ++Index)
      for (const Account &Budget : Fleet.store().slot(SlotId{Index}).Accounts)
        for (const GrantLine &Line : Budget.Grants) {
          bool Known = false;
          for (std::size_t Node = 0; Node < Instances; ++Node)
            Known =
                Known || (Fleet.alive(Node) &&
                          Fleet.agent(Node).membership().lists(Line.Holder));
          if (!Known)
            Problems.push_back("grant of a lost holder remains");
        }
    return Problems;
  }

  FakeFleet Fleet;

private:
  void startRequest() {
    const std::size_t Node = Source.below(Instances);
    if (!Fleet.alive(Node))
      return;
    FakeRequest Request;
    Request.Id.Value = "r" + std::to_string(++Last);
    Request.Node = Node;
    Request.Workspace = Workspaces[Source.below(Workspaces.size())];
    // Few keys, so that they repeat, also at several instances.
    Request.Claimed = Source.below(2) == 0;
    Request.Key = (Request.Claimed ? "c" : "k") +
                  std::to_string(Source.below(40)) + Request.Workspace.Value;
    Request.Bound = Money(static_cast<std::int64_t>(20 + Source.below(200)));
    Request.Cost = Money(static_cast<std::int64_t>(
        Source.below(static_cast<std::uint64_t>(Request.Bound.micros()) + 1)));
    Request.Work = std::chrono::milliseconds(Source.below(300));
    Fleet.start(Request);
  }

  void deliverOne() {
    if (Fleet.pending() == 0)
      return;
    const std::uint64_t Chance = Source.below(20);
    FakeFleet::Delivery What = FakeFleet::Delivery::Succeeds;
    if (Chance == 0)
      What = FakeFleet::Delivery::RequestLost;
    else if (Chance == 1)
      What = FakeFleet::Delivery::ReplyLost;
    Fleet.deliver(Source.below(Fleet.pending()), What);
  }

  void injectFault() {
    const std::size_t Node = Source.below(Instances);
    switch (Source.below(8)) {
    case 0:
      Fleet.end(Node);
      return;
    case 1:
      Fleet.restart(Node);
      return;
    case 2:
      Fleet.setPaused(Node, Source.below(2) == 0);
      return;
    case 3:
      Fleet.setStoreUnreachable(Source.below(3) == 0);
      return;
    case 4:
      Fleet.setCutFromStore(Node, Source.below(2) == 0);
      return;
    case 5:
      Fleet.setCutFromPeers(Node, Source.below(2) == 0);
      return;
    default:
      Fleet.topUp(Workspaces[Source.below(Workspaces.size())],
                  Money(static_cast<std::int64_t>(1 + Source.below(150))));
      return;
    }
  }

  Random Source;
  std::vector<WorkspaceId> Workspaces;
  int Last = 0;
};

void runSeed(std::uint64_t Seed) {
  RandomRun Run(Seed);
  for (int Step = 0; Step < Steps; ++Step) {
    Run.step();
    const std::vector<std::string> Problems = Run.Fleet.violations();
    CAPTURE(Seed, Step, Problems);
    REQUIRE(Problems.empty());
  }
  Run.settle();
  const std::vector<std::string> Problems = Run.Fleet.violations();
  const std::vector<std::string> Stranded = Run.stranded();
  CAPTURE(Seed, Problems, Stranded);
  REQUIRE(Problems.empty());
  REQUIRE(Stranded.empty());
}

// BRONZEWARD_SEED=N runs only that seed.
TEST_CASE("Guarantees hold under random failures", "[BudgetProperty]") {
  if (const char *SeedText = std::getenv("BRONZEWARD_SEED")) {
    runSeed(std::strtoull(SeedText, nullptr, 10));
    return;
  }
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    runSeed(Seed);
}

} // namespace
} // namespace bronzeward::fakes
