#pragma once

#include "bronzeward/Base"

#include <deque>

namespace bronzeward {

/// \ingroup Relay
/// \brief Detects that connections are delayed by this instance's own link or
/// processor and not by the upstreams.
///
/// Load pattern: most callers of a failure domain connect to one instance with
/// a slow link. Connections to every upstream time out. Each retry lengthens
/// the queue at the link, and healthy upstreams are skipped.
class LocalCongestion {
public:
  /// \brief Records that a connection to an upstream timed out.
  void onConnectTimeout(const UpstreamName &Upstream, TimePoint Now);
  /// \brief Records that an upstream's answer began.
  void onReached(TimePoint Now);

  /// \returns whether connections to several upstreams timed out recently, and
  /// more often than answers began.
  [[nodiscard]] bool congested(TimePoint Now) const;

private:
  struct Timeout {
    UpstreamName Upstream;
    TimePoint At;
  };
  void forget(TimePoint Now);

  std::deque<Timeout> Timeouts;
  std::deque<TimePoint> Reached;
};

} // namespace bronzeward
