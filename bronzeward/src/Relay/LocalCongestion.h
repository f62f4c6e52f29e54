#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <deque>
#include <optional>

namespace bronzeward {

/// \ingroup Relay
/// \brief Whether this instance's own link or processor is what calls wait for,
/// and how many calls it carries then.
///
/// Load pattern: most callers of a failure domain come to one instance with a
/// small link. Connections to every upstream time out; each further try adds to
/// the queue that it waits in, and healthy upstreams are passed over. Calls
/// beyond what is carried are better refused at once: their callers come back
/// to other instances.
class LocalCongestion {
public:
  /// \brief A connection did not open in time, with that many calls under way.
  /// \returns whether the limit was lowered.
  bool onConnectTimeout(const UpstreamName &Upstream, std::size_t InFlight,
                        TimePoint Now);
  /// \brief An upstream's answer began.
  void onReached(TimePoint Now);

  /// \returns whether connections to several upstreams time out at once, more
  /// than answers begin: the upstreams are not to blame.
  [[nodiscard]] bool congested(TimePoint Now) const;
  /// \returns whether one more call may be carried beside those under way.
  [[nodiscard]] bool admits(std::size_t InFlight, TimePoint Now) const;

private:
  struct Timeout {
    UpstreamName Upstream;
    TimePoint At;
  };
  void forget(TimePoint Now);

  std::deque<Timeout> Timeouts;
  std::deque<TimePoint> Reached;
  std::optional<double> Limit;
  TimePoint LoweredAt;
  TimePoint LastTimeout;
};

} // namespace bronzeward
