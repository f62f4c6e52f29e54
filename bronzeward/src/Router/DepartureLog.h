#pragma once

#include "bronzeward/Relay"

#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Router
/// \brief Counts of departures of upstreams since the start.
struct DepartureCounters {
  /// Upstreams that announced their shutdown or whose entry disappeared.
  std::uint64_t Departures = 0;
  /// Those of them that stayed usable for a while, and those known by peers.
  std::uint64_t Kept = 0;
  std::uint64_t FromPeers = 0;
};

/// \ingroup Router
/// \brief Where and when news about the upstreams' entries arrived.
struct RegistryNews {
  /// The store's list or watch, or the peer.
  std::string Source;
  bool FromPeer = false;
  /// When all entries were last known to be current; empty if never.
  std::optional<TimePoint> ConfirmedAt;
  /// Whether the store reported the change while this instance waited for it.
  bool Recent = false;
  /// When the store became reachable again; empty if there was no outage.
  std::optional<TimePoint> OutageEndedAt;
};

/// \ingroup Router
/// \brief Logs and counts departures of upstreams, with a limited number of
/// lines per second.
class DepartureLog {
public:
  explicit DepartureLog(DecisionLog &Output) : Log(Output) {}

  void onDeparture(const UpstreamDeparture &Item, const RegistryNews &News,
                   TimePoint Now);

  [[nodiscard]] const DepartureCounters &counters() const { return Counters; }

private:
  DecisionLog &Log;
  DepartureCounters Counters;
  TimePoint PeriodEnd;
  int LinesInPeriod = 0;
  std::uint64_t Omitted = 0;
};

} // namespace bronzeward
