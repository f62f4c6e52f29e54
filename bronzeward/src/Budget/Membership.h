#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief One live instance as last seen in the lagging list.
struct Member {
  Incarnation Life;
  FailureDomain Domain;
  /// Peers' address, "ip:port".
  std::string PeerAddress;
  bool Leaving = false;
  /// Part of a core that it has; duties for others go to the strongest.
  double Capacity = 1.0;
  bool operator==(const Member &) const = default;
};

/// Fleets up to this size are small: each instance can watch, talk to all and
/// commit for itself at little cost. In larger ones that cost grows with the
/// square of the fleet.
inline constexpr std::size_t SmallFleet = 16;

/// \ingroup Budget
/// \brief The live instances as this one last saw them; may be wrong at a
/// cost in speed only.
class Membership {
public:
  /// \brief Replaces the list.
  void update(std::vector<Member> Listed) { Members = std::move(Listed); }

  /// \returns the instances that commit for a slot, first choice first: the
  /// strongest of those that are not leaving, by rendezvous hashing.
  [[nodiscard]] std::vector<InstanceId> committersOf(SlotId Slot,
                                                     std::size_t Count) const;
  /// \returns the first choice; Self where none is listed.
  [[nodiscard]] InstanceId committerOf(SlotId Slot,
                                       const InstanceId &Self) const;
  /// \returns the member of that name, or null.
  [[nodiscard]] const Member *find(const InstanceId &Instance) const;
  /// \returns whether that life of the instance is listed.
  [[nodiscard]] bool lists(const Incarnation &Life) const;
  [[nodiscard]] const std::vector<Member> &members() const { return Members; }

private:
  std::vector<Member> Members;
};

/// Low bits of an epoch that count lost grants within one registration.
constexpr unsigned RegistrationShift = 16;

/// \ingroup Budget
/// \returns the registration number within an epoch.
[[nodiscard]] inline std::uint64_t registrationOf(const Incarnation &Life) {
  return Life.Epoch >> RegistrationShift;
}

} // namespace bronzeward
