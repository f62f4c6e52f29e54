#pragma once

#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <map>

namespace bronzeward {

/// \ingroup Relay
/// \brief Blocks dispatch to upstreams that announced in an answer that they
/// are shutting down or that asked this instance to back off.
///
/// Handles two load patterns: a service that is replaced under load, whose
/// registry entries lag behind its answers, and an overloaded upstream that
/// sheds the calls of one instance. A block applies to one run of the upstream,
/// identified by its start time, even if its registry entry expires and is
/// registered again.
class DispatchGate {
public:
  /// \brief Blocks an upstream for good because it is shutting down.
  void onLeaving(const UpstreamEntry &Upstream, TimePoint Now);
  /// \brief Blocks an upstream temporarily.
  /// \param Time for which the upstream accepts no calls; bounded to an hour.
  void onBackOff(const UpstreamEntry &Upstream, Duration Time, TimePoint Now);

  /// \returns the time from which calls may be sent to the upstream: in the
  /// past if it is not blocked, `TimePoint::max()` if it is shutting down.
  [[nodiscard]] TimePoint blockedUntil(const UpstreamEntry &Upstream) const;

private:
  struct Block {
    TimePoint BlockedUntil;
    TimePoint RequestedAt;
  };

  void block(const UpstreamEntry &Upstream, TimePoint Until, TimePoint Now);

  std::map<UpstreamRun, Block> Blocks;
};

} // namespace bronzeward
