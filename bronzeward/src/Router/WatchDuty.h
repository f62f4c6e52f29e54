#pragma once

#include "bronzeward/Budget"

#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Router
/// \brief Which instances follow the store's keys, and which are told by them.
///
/// A waiting watch is a counted call, so that calls would grow with the fleet
/// although each change concerns all. In a large fleet a few instances of each
/// failure domain watch; the others rely on their word for as long as it is
/// fresh, and watch themselves otherwise. Instances need not agree on the list
/// of members: one watcher too many costs calls, one too few lets its followers
/// watch.
class WatchDuty {
public:
  WatchDuty(InstanceId Name, FailureDomain Home);

  /// \brief Takes in a fresh list of live instances.
  void onMembers(const std::vector<Member> &Listed);
  /// \brief A watcher said how far it knows the store's keys, and this instance
  /// knows as much.
  void onConfirmed(TimePoint Now);

  /// \returns whether this instance has to watch the store now.
  [[nodiscard]] bool watches(TimePoint Now) const;
  /// \returns the instances that rely on this one; empty unless it is a
  /// watcher.
  [[nodiscard]] const std::vector<InstanceId> &followers() const {
    return Followers;
  }
  /// \returns when a watcher's word came again after it had not; nothing where
  /// it never ceased.
  [[nodiscard]] std::optional<TimePoint> regainedAt() const { return Regained; }

private:
  InstanceId Self;
  FailureDomain Domain;
  bool Elected = true;
  std::vector<InstanceId> Followers;
  std::optional<TimePoint> Confirmed;
  std::optional<TimePoint> Regained;
};

} // namespace bronzeward
