#include "test/support/FleetNetwork.h"

#include <algorithm>

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
  RateLimitFixture(std::size_t Instances, std::size_t Upstreams)
      : Fleet(Instances, 3, LinkBytesPerSecond) {
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
    std::deque<TimePoint> Recent;
    std::size_t Most = 0;
    for (const fakes::UpstreamArrival &Item : Fleet.arrivals()) {
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
  Random Source{7};
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

} // namespace
} // namespace bronzeward
