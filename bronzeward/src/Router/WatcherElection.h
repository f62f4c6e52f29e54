#pragma once

#include "bronzeward/Budget"

#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Router
/// \brief Elects the instances that watch the store's keys and inform the
/// others.
///
/// A waiting watch counts as a call to the store, so that calls would grow with
/// the fleet although every watch returns the same changes. In a large fleet,
/// a few instances of each failure domain watch; the others rely on
/// confirmations from these while they are recent, and watch the store
/// themselves otherwise. Instances need not agree on the list of members: a
/// surplus watcher only costs calls, and without a watcher the followers watch
/// themselves.
class WatcherElection {
public:
  WatcherElection(InstanceId Name, FailureDomain OwnDomain);

  /// \brief Repeats the election with a new list of live instances.
  void onMembers(const std::vector<Member> &Listed);
  /// \brief Called when a watcher's digest shows that this instance knows all
  /// changes that the watcher knows.
  void onConfirmed(TimePoint Now);

  /// \returns whether this instance has to watch the store now: it is elected,
  /// or no confirmation is recent.
  [[nodiscard]] bool watches(TimePoint Now) const;
  /// \returns the instances that rely on this one; empty unless it is elected.
  [[nodiscard]] const std::vector<InstanceId> &followers() const {
    return Followers;
  }
  /// \returns the elected instances of the own failure domain; empty in a small
  /// fleet, where all watch.
  [[nodiscard]] const std::vector<InstanceId> &watchers() const {
    return Watchers;
  }
  /// \returns when the latest confirmation arrived.
  [[nodiscard]] std::optional<TimePoint> confirmedAt() const {
    return ConfirmedAt;
  }
  /// \returns when a confirmation last arrived after the one before it had
  /// expired; nothing where none ever expired.
  [[nodiscard]] std::optional<TimePoint> recoveredAt() const {
    return RecoveredAt;
  }

private:
  InstanceId Self;
  FailureDomain Domain;
  bool Elected = true;
  std::vector<InstanceId> Watchers;
  std::vector<InstanceId> Followers;
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> RecoveredAt;
};

} // namespace bronzeward
