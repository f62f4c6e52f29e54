#pragma once

#include "bronzeward/Base"

#include <deque>

namespace bronzeward {

/// \ingroup Relay
/// \brief Whether this instance's own link or processor is what connections
/// wait for.
///
/// Load pattern: most callers of a failure domain come to one instance with a
/// small link. Connections to every upstream time out; each further try adds to
/// the queue that it waits in, and healthy upstreams are passed over.
class LocalCongestion {
public:
  /// \brief A connection did not open in time.
  void onConnectTimeout(const UpstreamName &Upstream, TimePoint Now);
  /// \brief An upstream's answer began.
  void onReached(TimePoint Now);

  /// \returns whether connections to several upstreams time out at once, more
  /// than answers begin: the upstreams are not to blame.
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
