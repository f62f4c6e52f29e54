#pragma once

#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <map>
#include <optional>
#include <utility>

namespace bronzeward {

/// \ingroup Relay
/// \brief What upstreams asked of this instance in their answers: no new call
/// at all, since they leave, or none for a time.
///
/// Answers two load patterns: a service that is replaced under load, whose
/// registry entries lag behind the answers, and an upstream that is over its
/// limit and sheds one instance's calls. The request holds for one life of the
/// upstream, also where its registry entry lapses and comes back.
class DispatchGate {
public:
  void onLeaving(const UpstreamEntry &Upstream, TimePoint Now);
  /// \param Time for which the upstream wants nothing.
  void onBackOff(const UpstreamEntry &Upstream, Duration Time, TimePoint Now);

  /// \returns when the upstream may get a call: now or earlier where it may
  /// get one at once, `TimePoint::max()` where it may never.
  [[nodiscard]] TimePoint opensAt(const UpstreamEntry &Upstream) const;

private:
  using Life = std::pair<UpstreamName, WallTime>;
  struct Wish {
    TimePoint ClosedUntil;
    TimePoint HeardAt;
  };

  void close(const UpstreamEntry &Upstream, TimePoint Until, TimePoint Now);

  std::map<Life, Wish> Wishes;
};

} // namespace bronzeward
