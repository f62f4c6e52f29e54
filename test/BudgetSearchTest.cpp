#include "test/support/FakeFleet.h"

#include <catch2/catch.hpp>

#include <vector>

namespace bronzeward::fakes {
namespace {

constexpr std::size_t Instances = 2;
/// Choices that are searched; after them everything happens in order.
constexpr std::size_t Depth = 20;
/// Faults in one run.
constexpr int MaxFaults = 3;

/// \brief Enumerates every sequence of choices, one run each.
class Choices {
public:
  /// \returns a number below Limit; a different one in a later run.
  std::size_t pick(std::size_t Limit) {
    if (Next == Path.size())
      Path.push_back({0, Limit});
    return Path[Next++].Taken;
  }
  /// \returns whether another run is left.
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
  FakeRequest Made;
  Made.Id.Value = "r" + std::to_string(Index);
  Made.Node = Index;
  Made.Workspace = Khan;
  Made.Key = Case.SameKey ? "key" : "key-" + std::to_string(Index);
  Made.Bound = Money(100);
  Made.Cost = Money(70);
  Made.Claimed = Case.Claimed;
  Made.Work = 5ms;
  return Made;
}

/// \brief One run: the choices pick the effect or fault that comes next.
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
      std::vector<std::string> Problems = Fleet.broken();
      if (!Problems.empty())
        return Problems;
    }
    for (std::size_t Node = 0; Node < Instances; ++Node)
      Fleet.setPaused(Node, false);
    Fleet.runFor(12s);
    return Fleet.broken();
  }

private:
  static BudgetPolicy policy() {
    BudgetPolicy Policy;
    Policy.ReclaimAfter = 2s;
    return Policy;
  }

  /// Faults: lose a request or a reply, end either instance, or pause either
  /// until its grants are taken back.
  static constexpr std::size_t FaultKinds = 6;

  bool step() {
    if (Fleet.pending() == 0) {
      const std::optional<TimePoint> Timer = Fleet.nextTimer();
      if (!Timer || *Timer > Fleet.now() + 1s)
        return false;
      Fleet.advance(std::max(Duration(1ms), *Timer - Fleet.now()));
      return true;
    }
    // The four oldest effects stand for all orders that matter here.
    const std::size_t Effects = std::min<std::size_t>(4, Fleet.pending());
    const std::size_t Options = Effects + (Faults < MaxFaults ? FaultKinds : 0);
    const std::size_t Pick = Source.pick(Options);
    if (Pick < Effects) {
      Fleet.let(Pick, FakeFleet::Fate::Happens);
      return true;
    }
    ++Faults;
    disturb(Pick - Effects);
    return true;
  }

  void disturb(std::size_t Kind) {
    switch (Kind) {
    case 0:
      Fleet.let(0, FakeFleet::Fate::RequestLost);
      return;
    case 1:
      Fleet.let(0, FakeFleet::Fate::ReplyLost);
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
      FAIL("a promise is broken");
    }
  } while (Picks.advance());
  WARN("searched " << Runs << " runs");
}

TEST_CASE("Every order of a doubled claim keeps the promises",
          "[BudgetSearch]") {
  searchAll({true, true, Money(1000)});
}

TEST_CASE("Every order of a doubled repeatable request keeps the promises",
          "[BudgetSearch]") {
  searchAll({false, true, Money(1000)});
}

TEST_CASE("Every order of two requests with budget for one keeps the promises",
          "[BudgetSearch]") {
  searchAll({false, false, Money(120)});
}

} // namespace
} // namespace bronzeward::fakes
