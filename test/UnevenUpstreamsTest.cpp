#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start(1h);
constexpr Duration Objective = 800ms;
constexpr Duration NeighbourPeriod = 600ms;
constexpr double NeighbourFactor = 2.5;
constexpr std::int64_t PromptTokens = 4'000;
constexpr Duration UsualTime = 100ms;

UpstreamName nameOf(int Index) {
  return UpstreamName{"e" + std::to_string(Index)};
}

/// \brief Upstreams whose neighbours come and go, each at its own phase.
class UnevenFleet {
public:
  explicit UnevenFleet(std::vector<double> LastingSlowness)
      : Lasting(std::move(LastingSlowness)), Pool(FailureDomain{"a"}) {
    std::vector<UpstreamEntry> All;
    for (std::size_t Index = 0; Index < Lasting.size(); ++Index) {
      UpstreamEntry Entry;
      Entry.Name = nameOf(static_cast<int>(Index));
      Entry.Service.Value = "draft";
      Entry.Domain.Value = "a";
      Entry.Slots = 64;
      All.push_back(Entry);
    }
    Pool.setUsable(All, Start);
  }

  [[nodiscard]] static double hostSlowness(int Index, TimePoint At) {
    const Duration Phase = Index * (NeighbourPeriod / 2);
    const std::int64_t Period = (At - Start + Phase) / NeighbourPeriod;
    return Period % 2 == 0 ? 1.0 : NeighbourFactor;
  }
  /// \returns the time that the upstream takes for a call begun at a moment.
  [[nodiscard]] Duration answerTime(int Index, TimePoint At) const {
    constexpr Duration Step = 1ms;
    const std::chrono::duration<double> Work =
        UsualTime * Lasting[static_cast<std::size_t>(Index)];
    std::chrono::duration<double> Done{};
    TimePoint End = At;
    for (; Done < Work; End += Step)
      Done += Step / hostSlowness(Index, End);
    return End - At;
  }
  /// \returns the index of the chosen upstream.
  int place(TimePoint Now) {
    const PlacementQuery Query = makeQuery();
    const std::vector<Candidate> Candidates =
        Pool.candidates(Query, Source, Now);
    const Choice Best = placeCall({PromptTokens, 0}, Candidates, Objective);
    return std::stoi(Candidates[Best.Index].Name.Value.substr(1));
  }
  void run(int Index, TimePoint Now, bool Reports) {
    const AttemptId Attempt{++LastAttempt};
    const TimePoint End = Now + answerTime(Index, Now);
    Pool.onDispatched(Attempt, nameOf(Index), makeQuery(), Now);
    if (Reports)
      report(Index, End, End);
    Pool.onFirstByte(Attempt, End);
    Pool.onEnded(Attempt, AttemptEnd::Answered, End);
  }
  /// Delivers the slowness of one moment at another.
  void report(int Index, TimePoint Of, TimePoint Now) {
    Pool.onLoad(nameOf(Index), {0, 0, 64, hostSlowness(Index, Of)}, Now);
  }
  [[nodiscard]] std::size_t size() const { return Lasting.size(); }
  [[nodiscard]] double estimateOf(int Index, TimePoint Now) {
    for (const Candidate &Item : Pool.candidates(makeQuery(), Source, Now))
      if (Item.Name == nameOf(Index))
        return Item.Slowdown;
    return 0.0;
  }

  std::vector<double> Lasting;
  UpstreamPool Pool;

private:
  PlacementQuery makeQuery() {
    PlacementQuery Query;
    Query.Service.Value = "draft";
    Query.Prefixes = prefixesOf({{++LastPart, PromptTokens}});
    Query.PartTokens = {PromptTokens};
    Query.PromptTokens = PromptTokens;
    return Query;
  }

  Random Source{1};
  std::uint64_t LastAttempt = 0;
  std::uint64_t LastPart = 0;
};

// Load pattern: neighbours that come and go each 0.6 s; reports come 0.2 s
// late.
TEST_CASE("Calls avoid upstreams whose neighbours are busy",
          "[UnevenUpstreams]") {
  UnevenFleet Fleet({1.0, 1.0, 1.0, 1.0});
  int Slow = 0;
  int Calls = 0;
  for (TimePoint Now = Start + 1s; Now < Start + 13s; Now += 20ms) {
    for (int Index = 0; Index < static_cast<int>(Fleet.size()); ++Index)
      Fleet.report(Index, Now - 200ms, Now);
    ++Calls;
    if (UnevenFleet::hostSlowness(Fleet.place(Now), Now) > 1.0)
      ++Slow;
  }
  // Half of the upstreams are slow at any moment, and a third of the reports
  // are out of date.
  CHECK(Slow < Calls * 2 / 5);
}

TEST_CASE("A report that is not renewed fades to the average",
          "[UnevenUpstreams]") {
  UpstreamSpeed Speed;
  TimePoint Now = Start;
  for (int Period = 0; Period < 20; ++Period, Now += NeighbourPeriod)
    Speed.onReport(Period % 2 == 0 ? 1.0 : NeighbourFactor, Now);
  const TimePoint Last = Now - NeighbourPeriod;
  CHECK(Speed.hostSlowness(Last) == Approx(NeighbourFactor));
  const double Average = (1.0 + NeighbourFactor) / 2.0;
  CHECK(Speed.hostSlowness(Last + 2s) < Average + 0.1);
  CHECK(Speed.hostSlowness(Last + 60s) == Approx(1.0).margin(0.01));
}

TEST_CASE("The lasting speed is learnt apart from the neighbours",
          "[UnevenUpstreams]") {
  UnevenFleet Fleet({0.8, 1.6});
  for (TimePoint Now = Start + 1s; Now < Start + 61s; Now += 470ms)
    for (int Index = 0; Index < 2; ++Index)
      Fleet.run(Index, Now, /*Reports=*/true);
  // Both are compared while their neighbours work alike.
  const TimePoint End = Start + 61s;
  for (int Index = 0; Index < 2; ++Index)
    Fleet.Pool.onLoad(nameOf(Index), {0, 0, 64, 1.0}, End);
  const double Fast = Fleet.estimateOf(0, End);
  const double Slow = Fleet.estimateOf(1, End);
  CHECK(Slow / Fast > 1.5);
  CHECK(Slow / Fast < 2.7);
  CHECK(Fleet.place(End) == 0);
  // A busy neighbour counts beside the lasting speed.
  Fleet.Pool.onLoad(nameOf(0), {0, 0, 64, NeighbourFactor}, End);
  CHECK(Fleet.place(End) == 1);
}

TEST_CASE("Upstreams that do not report slowness are judged by their answers",
          "[UnevenUpstreams]") {
  UnevenFleet Fleet({1.0, 1.6});
  TimePoint Now = Start + 1s;
  for (int Call = 0; Call < 40; ++Call, Now += 500ms)
    Fleet.run(1, Now, /*Reports=*/false);
  Fleet.Pool.onLoad(nameOf(1), {0, 0, 64, std::nullopt}, Now);
  CHECK(Fleet.estimateOf(1, Now) >= 1.0);
  CHECK(Fleet.estimateOf(1, Now + 60s) == Approx(1.0).margin(0.01));
}

} // namespace
} // namespace bronzeward
