#include "test/support/FakeFleet.h"

#include <catch2/catch.hpp>

#include <vector>

namespace bronzeward::fakes {
namespace {

constexpr std::size_t Instances = 2;
/// Number of choices that are searched; later effects are delivered in order.
constexpr std::size_t Depth = 20;
/// Maximum faults in one run.
constexpr int MaxFaults = 3;

/// \brief Enumerates every sequence of choices, one run each.
class Choices {
public:
  /// \returns a number below Limit; later runs get the other ones.
  std::size_t pick(std::size_t Limit) {
    if (Next == Path.size())
      Path.push_back({0, Limit});
    return Path[Next++].Taken;
  }
  /// \brief Prepares the next run.
  /// \returns whether there is one.
  bool advance() {
    Next = 0;
    while (!Path.empty() && ++Path.back().Taken == Path.back().Limit)
      Path.pop_back();
    return !Path.empty();
  }
  [[nodiscard]] std::size_t depth() const { return Next; }
  [[nodiscard]] std::string text() const {
    std::string Text;
    for (const Option &Item : Path)
      Text += std::to_string(Item.Taken) + " ";
    return Text;
  }

private:
  struct Option {
    std::size_t Taken = 0;
    std::size_t Limit = 0;
  };
  std::vector<Option> Path;
  std::size_t Next = 0;
};

struct Scenario {
  bool Claimed = false;
  bool SameKey = true;
  Money Budget;
};

const WorkspaceId Khan{"khan"};

FakeRequest requestOf(const Scenario &Case, std::size_t Index) {
  FakeRequest Request;
  Request.Id.Value = "r" + std::to_string(Index);
  Request.Node = Index;
  Request.Workspace = Khan;
  Request.Key = Case.SameKey ? "key" : "key-" + std::to_string(Index);
  Request.Bound = Money(100);
  Request.Cost = Money(70);
  Request.Claimed = Case.Claimed;
  Request.Work = 5ms;
  return Request;
}

/// \brief One run, in which the choices pick the next effect or fault.
class SearchRun {
public:
  SearchRun(const Scenario &Case, Choices &Picks)
      : Fleet(Instances, policy(), 1), Source(Picks) {
    Fleet.topUp(Khan, Case.Budget);
    for (std::size_t Index = 0; Index < Instances; ++Index)
      Fleet.start(requestOf(Case, Index));
  }

  std::vector<std::string> run() {
    while (Source.depth() < Depth) {
      if (!step())
        break;
      std::vector<std::string> Problems = Fleet.violations();
      if (!Problems.empty())
        return Problems;
    }
    for (std::size_t Node = 0; Node < Instances; ++Node)
      Fleet.setPaused(Node, false);
    Fleet.runFor(12s);
    return Fleet.violations();
  }

private:
  static BudgetPolicy policy() {
    BudgetPolicy Policy;
    Policy.ReclaimAfter = 2s;
    return Policy;
  }

  /// Faults: a request or a reply is lost, either instance ends, or either is
  /// paused until its grants are reclaimed.
  static constexpr std::size_t FaultKinds = 6;

  bool step() {
    if (Fleet.pending() == 0) {
      const std::optional<TimePoint> Timer = Fleet.nextTimer();
      if (!Timer || *Timer > Fleet.now() + 1s)
        return false;
      Fleet.advance(std::max(Duration(1ms), *Timer - Fleet.now()));
      return true;
    }
    // Reordering among the four oldest effects covers all relevant orders.
    const std::size_t Effects = std::min<std::size_t>(4, Fleet.pending());
    const std::size_t Options = Effects + (Faults < MaxFaults ? FaultKinds : 0);
    const std::size_t Pick = Source.pick(Options);
    if (Pick < Effects) {
      Fleet.deliver(Pick, FakeFleet::Delivery::Succeeds);
      return true;
    }
    ++Faults;
    injectFault(Pick - Effects);
    return true;
  }

  void injectFault(std::size_t Kind) {
    switch (Kind) {
    case 0:
      Fleet.deliver(0, FakeFleet::Delivery::RequestLost);
      return;
    case 1:
      Fleet.deliver(0, FakeFleet::Delivery::ReplyLost);
      return;
    case 2:
    case 3:
      Fleet.end(Kind - 2);
      return;
    default:
      Fleet.setPaused(Kind - 4, true);
      Fleet.runFor(6s);
      Fleet.setPaused(Kind - 4, false);
      return;
    }
  }

  FakeFleet Fleet;
  Choices &Source;
  int Faults = 0;
};

void searchAll(const Scenario &Case) {
  Choices Picks;
  std::uint64_t Runs = 0;
  do {
    ++Runs;
    const std::vector<std::string> Problems = SearchRun(Case, Picks).run();
    if (!Problems.empty()) {
      CAPTURE(Picks.text(), Problems);
      FAIL("a guarantee is violated");
    }
  } while (Picks.advance());
  WARN("searched " << Runs << " runs");
}

TEST_CASE("Guarantees hold for every order of a request claimed twice",
          "[BudgetSearch]") {
  searchAll({true, true, Money(1000)});
}

TEST_CASE("Guarantees hold for every order of a repeatable request sent twice",
          "[BudgetSearch]") {
  searchAll({false, true, Money(1000)});
}

TEST_CASE("Guarantees hold for every order of two requests with budget for one",
          "[BudgetSearch]") {
  searchAll({false, false, Money(120)});
}

} // namespace
} // namespace bronzeward::fakes
