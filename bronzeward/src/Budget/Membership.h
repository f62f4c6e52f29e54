#pragma once

#include "bronzeward/Base"

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
  bool operator==(const Member &) const = default;
};

/// \ingroup Budget
/// \brief The live instances as this one last saw them; may be wrong at a
/// cost in speed only.
class Membership {
public:
  /// \brief Replaces the list.
  void update(std::vector<Member> Listed) { Members = std::move(Listed); }

  /// \returns the instance that commits for a slot, by rendezvous hashing
  /// over those that are not leaving; Self where none is listed.
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
