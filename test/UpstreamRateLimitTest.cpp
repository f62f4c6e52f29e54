#include "test/support/FleetNetwork.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace bronzeward {
namespace {

/// Time after an upstream first states a limit from which the limit binds.
constexpr Duration NoticeTime = 3s;
/// Length of the window in which calls are counted.
constexpr Duration Window = 4s;
/// Calls that an upstream may receive in a window: this multiple of its rate,
/// plus a constant.
constexpr double RateTolerance = 1.5;
constexpr double ExtraCalls = 5.0;
constexpr double LinkBytesPerSecond = 1.25e6;

double allowedCalls(double Rate) {
  return RateTolerance * Rate * std::chrono::duration<double>(Window).count() +
         ExtraCalls;
}

/// \brief A fleet with a number of upstreams and uneven callers.
class RateLimitFixture {
public:
  RateLimitFixture(std::size_t Instances, std::size_t Upstreams,
                   std::uint64_t Seed = 7)
      : Fleet(Instances, 3, LinkBytesPerSecond), Source(Seed) {
    Fleet.configure(1, 4);
    for (std::size_t Number = 0; Number < Upstreams; ++Number)
      Fleet.writeUpstream("u" + std::to_string(Number));
    Fleet.runFor(8s);
  }

  /// Sends calls at a rate. A third of them go to the instance with the given
  /// index, the others to all instances.
  void load(double CallsPerSecond, Duration Time, std::size_t Busiest = 1) {
    const TimePoint End = Fleet.now() + Time;
    while (Fleet.now() < End) {
      Due += CallsPerSecond * 0.01;
      for (; Due >= 1.0; Due -= 1.0) {
        const std::size_t Any = Source.below(Fleet.size());
        const std::size_t To = Source.below(3) == 0 ? Busiest : Any;
        if (!Stopped.contains(To))
          Fleet.request(To);
      }
      Fleet.runFor(10ms);
    }
  }

  /// \returns the largest number of calls that an upstream received in any
  /// window that begins at or after a time.
  [[nodiscard]] std::size_t mostInWindow(const std::string &Upstream,
                                         TimePoint From) const {
    return mostInWindow(Fleet.arrivals(), Upstream, From);
  }
  [[nodiscard]] static std::size_t
  mostInWindow(const std::vector<fakes::UpstreamArrival> &Arrivals,
               const std::string &Upstream, TimePoint From) {
    std::deque<TimePoint> Recent;
    std::size_t Most = 0;
    for (const fakes::UpstreamArrival &Item : Arrivals) {
      if (Item.Upstream.Value != Upstream || Item.At < From)
        continue;
      Recent.push_back(Item.At);
      while (Recent.front() <= Item.At - Window)
        Recent.pop_front();
      Most = std::max(Most, Recent.size());
    }
    return Most;
  }

  /// \returns the number of calls that an upstream received since a time.
  [[nodiscard]] std::size_t received(const std::string &Upstream,
                                     TimePoint Since) const {
    return static_cast<std::size_t>(std::count_if(
        Fleet.arrivals().begin(), Fleet.arrivals().end(),
        [&](const fakes::UpstreamArrival &Item) {
          return Item.Upstream.Value == Upstream && Item.At >= Since;
        }));
  }

  fakes::FleetNetwork Fleet;
  Random Source;
  std::set<std::size_t> Stopped;
  double Due = 0.0;
};

// Guards against instances that place calls by load alone: each answer of an
// overloaded upstream states the rate that it takes from all instances.
TEST_CASE("Instances together keep to the rate limit that an upstream states",
          "[UpstreamRateLimit]") {
  const double Rate = GENERATE(1.0, 8.0);
  RateLimitFixture Fixture(8, 18);
  Fixture.load(70, 4s);
  for (const char *Upstream : {"u3", "u7"})
    Fixture.Fleet.stateRateLimit(Upstream, std::to_string(Rate));
  const TimePoint Binding = Fixture.Fleet.now() + NoticeTime;
  // Enough calls that every upstream would receive more than its limit.
  Fixture.load(Rate * 70, 20s);
  for (const char *Upstream : {"u3", "u7"}) {
    CAPTURE(Rate, Upstream);
    CHECK(static_cast<double>(Fixture.mostInWindow(Upstream, Binding)) <=
          allowedCalls(Rate));
  }
}

// Load pattern: every upstream of a service is overloaded, and callers send
// several times what they accept, a third of it to one instance.
TEST_CASE("Upstreams that limit their rate are used up to their limit",
          "[UpstreamRateLimit]") {
  const double Rate = GENERATE(2.0, 10.0);
  RateLimitFixture Fixture(8, 3);
  Fixture.load(20, 3s);
  for (const char *Upstream : {"u0", "u1", "u2"})
    Fixture.Fleet.stateRateLimit(Upstream, std::to_string(Rate));
  const TimePoint Binding = Fixture.Fleet.now() + NoticeTime;
  Fixture.load(Rate * 9, NoticeTime);
  const std::size_t Before = Fixture.Fleet.answers().size();
  constexpr Duration Time = 20s;
  Fixture.load(Rate * 9, Time);
  for (const char *Upstream : {"u0", "u1", "u2"}) {
    CAPTURE(Rate, Upstream);
    CHECK(static_cast<double>(Fixture.mostInWindow(Upstream, Binding)) <=
          allowedCalls(Rate));
    CHECK(static_cast<double>(Fixture.received(Upstream, Binding)) >=
          0.8 * Rate * std::chrono::duration<double>(Time).count());
  }
  for (std::size_t Index = Before; Index < Fixture.Fleet.answers().size();
       ++Index)
    if (Fixture.Fleet.answers()[Index].Status != 200) {
      REQUIRE(Fixture.Fleet.answers()[Index].Status == 503);
      REQUIRE(Fixture.Fleet.answers()[Index].RetryAfter);
    }
}

// Guards against two instances that issue permits at the same time: members
// restart, join and lose their entries, which others notice at different times.
TEST_CASE("Changes of the fleet do not raise an upstream's rate",
          "[UpstreamRateLimit]") {
  RateLimitFixture Fixture(8, 18);
  constexpr double Rate = 4.0;
  Fixture.load(70, 2s);
  for (const char *Upstream : {"u2", "u5", "u9"})
    Fixture.Fleet.stateRateLimit(Upstream, std::to_string(Rate));
  const TimePoint Binding = Fixture.Fleet.now() + NoticeTime;
  Fixture.load(200, 4s);
  for (std::size_t Round = 0; Round < 16; ++Round) {
    const std::size_t Index = Round % 8;
    Fixture.Fleet.kill(Index);
    Fixture.Stopped.insert(Index);
    if (Round >= 8)
      Fixture.Fleet.expireEntry(Index);
    Fixture.load(200, 1500ms, 7 - Index);
    Fixture.Fleet.restart(Index);
    Fixture.Stopped.erase(Index);
    Fixture.load(200, 1s, 7 - Index);
  }
  for (const char *Upstream : {"u2", "u5", "u9"}) {
    CAPTURE(Upstream);
    CHECK(static_cast<double>(Fixture.mostInWindow(Upstream, Binding)) <=
          allowedCalls(Rate));
    CHECK(Fixture.received(Upstream, Binding) > 0);
  }
}

// Guards against an instance that goes on issuing permits after the others
// dropped it: it cannot reach the store, and its entry expires.
TEST_CASE("Instances that lose the store do not raise an upstream's rate",
          "[UpstreamRateLimit]") {
  const std::size_t Instances = GENERATE(8, 30);
  RateLimitFixture Fixture(Instances, 12);
  constexpr double Rate = 8.0;
  Fixture.load(200, 2s);
  for (const char *Upstream : {"u2", "u5", "u9"})
    Fixture.Fleet.stateRateLimit(Upstream, std::to_string(Rate));
  const TimePoint Binding = Fixture.Fleet.now() + NoticeTime;
  Fixture.load(200, 4s);
  for (std::size_t First = 0; First < Instances; First += 3) {
    for (std::size_t Index = First; Index < First + 3; ++Index) {
      Fixture.Fleet.setStoreUnreachable(Index % Instances, true);
      Fixture.Fleet.expireEntry(Index % Instances);
    }
    Fixture.load(200, 6s);
    for (std::size_t Index = First; Index < First + 3; ++Index)
      Fixture.Fleet.setStoreUnreachable(Index % Instances, false);
    Fixture.load(200, 2s);
  }
  for (const char *Upstream : {"u2", "u5", "u9"}) {
    CAPTURE(Instances, Upstream);
    CHECK(static_cast<double>(Fixture.mostInWindow(Upstream, Binding)) <=
          allowedCalls(Rate));
  }
}

// Guards against a limit that nobody learns the end of.
TEST_CASE("An upstream that states no limit any more gets its calls again",
          "[UpstreamRateLimit]") {
  const char *Limit = GENERATE("1", "0");
  RateLimitFixture Fixture(8, 6);
  Fixture.load(70, 2s);
  Fixture.Fleet.stateRateLimit("u4", Limit);
  Fixture.load(70, 10s);
  Fixture.Fleet.stateRateLimit("u4", "");
  Fixture.load(70, 12s);
  const TimePoint Since = Fixture.Fleet.now();
  Fixture.load(70, 10s);
  CAPTURE(Limit);
  // Half of an equal part of the calls.
  CHECK(Fixture.received("u4", Since) >= 700 / 6 / 2);
}

// Load pattern: a large fleet, in which each instance has few calls and hears
// from few others.
TEST_CASE("A large fleet keeps to the rate limit that an upstream states",
          "[UpstreamRateLimit]") {
  RateLimitFixture Fixture(91, 20);
  Fixture.load(300, 2s);
  Fixture.Fleet.stateRateLimit("u3", "1");
  const TimePoint Binding = Fixture.Fleet.now() + NoticeTime;
  Fixture.load(300, 12s);
  CHECK(static_cast<double>(Fixture.mostInWindow("u3", Binding)) <=
        allowedCalls(1.0));
}

/// \brief Random restarts, stops and cuts that overlap, under load.
class DisturbedRun {
public:
  explicit DisturbedRun(std::uint64_t Seed)
      : Random(Seed), Rate(0.5 + 15.0 * Random.unit()),
        Fixture(4 + Random.below(30), 6 + Random.below(10), Seed),
        DisturbedUntil(Fixture.Fleet.size()) {}

  void run() {
    Fixture.load(100, 2s);
    for (const char *Upstream : Limited)
      Fixture.Fleet.stateRateLimit(Upstream, std::to_string(Rate));
    Binding = Fixture.Fleet.now() + NoticeTime;
    for (int Step = 0; Step < 60; ++Step) {
      disturb(Random.below(Fixture.Fleet.size()));
      Fixture.load(40 * Rate, 500ms, Random.below(Fixture.Fleet.size()));
      markDisturbed();
    }
  }

  void check() const {
    for (const char *Upstream : Limited) {
      CAPTURE(Upstream, Rate);
      CHECK(static_cast<double>(mostUndisturbed(Upstream)) <=
            allowedCalls(Rate));
    }
  }

private:
  static constexpr const char *Limited[] = {"u0", "u3", "u4"};

  void disturb(std::size_t Index) {
    fakes::FleetNetwork &Fleet = Fixture.Fleet;
    switch (Random.below(5)) {
    case 0:
      Fleet.kill(Index);
      Fixture.Stopped.insert(Index);
      break;
    case 1:
      if (Fixture.Stopped.contains(Index))
        Fleet.expireEntry(Index);
      break;
    case 2:
      Fleet.restart(Index);
      Fixture.Stopped.erase(Index);
      DisturbedUntil[Index] = Fleet.now() + NoticeTime;
      break;
    case 3:
      if (!StoreCut.erase(Index))
        StoreCut.insert(Index);
      Fleet.setStoreUnreachable(Index, StoreCut.contains(Index));
      break;
    default:
      if (!PeersCut.erase(Index))
        PeersCut.insert(Index);
      Fleet.setPeersUnreachable(Index, PeersCut.contains(Index));
    }
  }

  /// A cut excuses an instance until its end and for a time after it.
  void markDisturbed() {
    for (const std::size_t Index : PeersCut)
      DisturbedUntil[Index] = Fixture.Fleet.now() + NoticeTime;
    for (; Counted < Fixture.Fleet.arrivals().size(); ++Counted) {
      const fakes::UpstreamArrival &Item = Fixture.Fleet.arrivals()[Counted];
      if (Item.At >= DisturbedUntil[Item.Instance])
        Undisturbed.push_back(Item);
    }
  }

  [[nodiscard]] std::size_t mostUndisturbed(const char *Upstream) const {
    return Fixture.mostInWindow(Undisturbed, Upstream, Binding);
  }

  bronzeward::Random Random;
  double Rate;
  RateLimitFixture Fixture;
  TimePoint Binding;
  std::set<std::size_t> StoreCut;
  std::set<std::size_t> PeersCut;
  std::vector<TimePoint> DisturbedUntil;
  std::size_t Counted = 0;
  std::vector<fakes::UpstreamArrival> Undisturbed;
};

// BRONZEWARD_SEED=N runs only that seed.
TEST_CASE("Disturbed instances do not raise an upstream's rate",
          "[UpstreamRateLimit]") {
  std::uint64_t First = 1;
  std::uint64_t Last = 12;
  if (const char *SeedText = std::getenv("BRONZEWARD_SEED"))
    First = Last = std::stoull(SeedText);
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    CAPTURE(Seed);
    DisturbedRun Run(Seed);
    Run.run();
    Run.check();
  }
}

const UpstreamRun First{UpstreamName{"u"}, WallTime(1ms)};
const UpstreamRun Restarted{UpstreamName{"u"}, WallTime(2ms)};

// Answers overtake each other: one that left before the limit was stated can
// arrive after it.
TEST_CASE("Only an answer to a later call lifts a rate limit",
          "[UpstreamRateLimit]") {
  RateLimitTable Table;
  const TimePoint Now(1h);
  CHECK(Table.onAnswer(First, CallRate{2.0}, Now - 50ms, Now));
  CHECK_FALSE(Table.onAnswer(First, std::nullopt, Now - 10ms, Now + 1s));
  CHECK(Table.limitOf(First) == CallRate{2.0});
  // A run of the upstream knows nothing of the one before.
  CHECK_FALSE(Table.limitOf(Restarted));
  CHECK(Table.onAnswer(First, std::nullopt, Now + 1s, Now + 2s));
  CHECK_FALSE(Table.limitOf(First));
}

TEST_CASE("The latest observation of any instance decides on a rate limit",
          "[UpstreamRateLimit]") {
  RateLimitTable Table;
  const TimePoint Now(1h);
  CHECK(Table.onNotice({First, CallRate{1.0}, 300ms}, Now));
  CHECK_FALSE(Table.onNotice({First, std::nullopt, 400ms}, Now));
  CHECK(Table.onNotice({First, std::nullopt, 100ms}, Now));
  CHECK_FALSE(Table.limitOf(First));
  for (const double Invalid : {-1.0, std::numeric_limits<double>::quiet_NaN()})
    CHECK_FALSE(Table.onNotice({First, CallRate{Invalid}, 0ms}, Now));
  CHECK_FALSE(Table.onNotice(
      {First, CallRate{1.0}, std::chrono::milliseconds::max()}, Now));
  CHECK(Table.recentChanges(Now).size() == 1);
  CHECK(Table.recentChanges(Now + 1min).empty());
}

// A process may be suspended with permits on hand, and a reply may be late.
TEST_CASE("Permits lapse by the time of their request", "[UpstreamRateLimit]") {
  PermitStock Stock(0.5);
  const CallRate Rate{1.0};
  const TimePoint Now(1h);
  REQUIRE(Stock.onWanted(Now));
  REQUIRE(Stock.dueRequest(Now) == 1);
  Stock.onRequested(7, Now);
  CHECK(Stock.acceptsFrom(Rate, 8, Now) > Now);
  PermitReply Reply;
  Reply.Number = 6;
  Reply.Issuing = true;
  Reply.Delays = {0ms};
  CHECK_FALSE(Stock.onReply(Reply, 8, Now + 10ms));
  Reply.Number = 7;
  CHECK(Stock.onReply(Reply, 8, Now + 400ms));
  CHECK(Stock.acceptsFrom(Rate, 8, Now + 400ms) <= Now + 400ms);
  CHECK(Stock.acceptsFrom(Rate, 8, Now + 1s) > Now + 1s);
}

// A caller that is refused returns when a permit may be had.
TEST_CASE("The time until a permit covers the pause between requests",
          "[UpstreamRateLimit]") {
  constexpr std::size_t Instances = 100;
  PermitStock Stock(0.5);
  const TimePoint Now(1h);
  REQUIRE(Stock.onWanted(Now));
  Stock.onRequested(1, Now);
  PermitReply Reply;
  Reply.Number = 1;
  Reply.Issuing = true;
  Reply.UntilNextFree = 300ms;
  REQUIRE(Stock.onReply(Reply, Instances, Now));
  CHECK(Stock.dueRequest(Now + 1s) == 0);
  CHECK(Stock.acceptsFrom({1.0}, Instances, Now) >= Now + 2s);
}

TEST_CASE("Without an issuer instances use a small share of the rate",
          "[UpstreamRateLimit]") {
  constexpr std::size_t Instances = 8;
  const CallRate Rate{16.0};
  const TimePoint Begin(1h);
  std::vector<PermitStock> Stocks;
  for (std::size_t Index = 0; Index < Instances; ++Index)
    Stocks.emplace_back(static_cast<double>(Index) / Instances);
  std::deque<TimePoint> Calls;
  for (TimePoint Now = Begin; Now < Begin + 40s; Now += 10ms)
    for (PermitStock &Stock : Stocks) {
      Stock.onWanted(Now);
      if (Stock.dueRequest(Now) > 0)
        Stock.onRequested(1, Now);
      if (Stock.acceptsFrom(Rate, Instances, Now) > Now)
        continue;
      Stock.onDispatched(Rate, Instances, Now);
      Calls.push_back(Now);
    }
  // A tenth of the rate, so that an issuer which others reach may issue all.
  CHECK(Calls.size() > 50);
  CHECK(Calls.size() <= 64);
}

TEST_CASE("A new issuer waits until the earlier one has stopped",
          "[UpstreamRateLimit]") {
  const auto Named = [](const char *Name) {
    return Member{Incarnation{InstanceId{Name}, 1}, {}, "", false};
  };
  PermitIssuer Issuer(InstanceId{"a"});
  const TimePoint Now(1h);
  Issuer.onMembers({Named("a"), Named("b")}, 5s, Now);
  // Find an upstream for each of the two issuers.
  UpstreamRun Own = First;
  while (Issuer.issuerOf(Own).Value != "a")
    Own.Name.Value += "x";
  UpstreamRun Other = First;
  while (Issuer.issuerOf(Other).Value != "b")
    Other.Name.Value += "x";
  CHECK_FALSE(Issuer.issue(Own, {10.0}, 1, Now).Issuing);
  CHECK(Issuer.issue(Own, {10.0}, 1, Now + 5s).Issuing);
  CHECK_FALSE(Issuer.issue(Other, {10.0}, 1, Now + 5s).Issuing);
  Issuer.onMembers({Named("a")}, 5s, Now + 10s);
  CHECK(Issuer.issue(Own, {10.0}, 1, Now + 10s).Issuing);
  CHECK_FALSE(Issuer.issue(Other, {10.0}, 1, Now + 14s).Issuing);
  CHECK(Issuer.issue(Other, {10.0}, 1, Now + 15s).Issuing);
  Issuer.stopAt(Now + 16s);
  CHECK_FALSE(Issuer.issue(Own, {10.0}, 1, Now + 16s).Issuing);
}

} // namespace
} // namespace bronzeward
