#pragma once

#include "bronzeward/src/Budget/Membership.h"
#include "bronzeward/src/Relay/PermitSchedule.h"

#include <deque>
#include <map>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Permits issued for one request.
struct IssuedPermits {
  /// Whether this instance issues the upstream's permits now.
  bool Issuing = false;
  /// Times from which each permit may be used.
  std::vector<TimePoint> UsableFrom;
  /// Earliest time that no permit covers yet.
  TimePoint NextFree;
};

/// \brief Issues the permits of the upstreams that this instance is responsible
/// for, at the rate that each upstream accepts from all instances together.
///
/// Load pattern: an overloaded upstream accepts few calls, which callers send
/// to any of many instances. One instance issues all of an upstream's permits,
/// selected by rendezvous hashing, so that the rate does not depend on how many
/// instances there are and where callers connect. Instances learn of changed
/// members at different times. Therefore an instance that becomes responsible
/// issues nothing until the previous one has learned of the change too.
class PermitIssuer {
public:
  explicit PermitIssuer(InstanceId Own) : Self(std::move(Own)) {}

  /// \brief Replaces the instances among which issuers are selected.
  /// \param Settling time after which every instance has learned of a change.
  void onMembers(const std::vector<Member> &Members, Duration Settling,
                 TimePoint Now);
  /// \brief Issues nothing from a time on, unless the time is moved. Afterwards
  /// others may have been told that this instance is gone.
  void stopAt(TimePoint Time) { StopAt = Time; }

  /// \returns the instance that issues the permits of an upstream.
  [[nodiscard]] InstanceId issuerOf(const UpstreamRun &Run) const;
  /// \brief Issues at most the wanted number of permits.
  [[nodiscard]] IssuedPermits issue(const UpstreamRun &Run, CallRate Rate,
                                    std::uint32_t Wanted, TimePoint Now);

private:
  /// Instances from a point in time until the next one in the history.
  struct MemberSet {
    TimePoint Since;
    /// When all instances had learned of this set.
    TimePoint SettledAt;
    std::vector<InstanceId> Instances;
  };

  [[nodiscard]] InstanceId issuerAmong(const MemberSet &Set,
                                       const UpstreamRun &Run) const;
  /// \returns the time from which this instance may issue permits.
  [[nodiscard]] TimePoint issuesFrom(const UpstreamRun &Run) const;

  InstanceId Self;
  TimePoint StopAt = TimePoint::max();
  /// Oldest first; all but the first are not settled yet.
  std::deque<MemberSet> History;
  std::map<UpstreamRun, PermitSchedule> Schedules;
};

/// @}

} // namespace bronzeward
