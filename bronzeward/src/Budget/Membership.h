#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Budget
/// \brief One live instance according to the list, which may be out of date.
struct Member {
  Incarnation Identity;
  FailureDomain Domain;
  /// Address for peers, "ip:port".
  std::string PeerAddress;
  bool Leaving = false;
  /// CPU capacity in cores; fleet-wide duties go to the strongest instance.
  double Capacity = 1.0;
  bool operator==(const Member &) const = default;
};

/// Maximum size of a small fleet, in which every instance may watch the store,
/// send to all others and commit by itself. In larger fleets the cost of that,
/// which is quadratic in the fleet's size, matters.
inline constexpr std::size_t SmallFleet = 16;

/// \ingroup Budget
/// \brief Live instances as last read by this one. An outdated list costs
/// performance, not correctness.
class Membership {
public:
  /// \brief Replaces the list.
  void update(std::vector<Member> Listed) { Members = std::move(Listed); }

  /// \returns the instances that commit for a slot, in order of preference:
  /// the strongest that are not leaving; rendezvous hashing breaks ties.
  [[nodiscard]] std::vector<InstanceId> committersOf(SlotId Slot,
                                                     std::size_t Count) const;
  /// \returns the first choice, or Self if none is listed.
  [[nodiscard]] InstanceId committerOf(SlotId Slot,
                                       const InstanceId &Self) const;
  /// \returns the member with that name, or null.
  [[nodiscard]] const Member *find(const InstanceId &Instance) const;
  /// \returns whether that incarnation of the instance is listed.
  [[nodiscard]] bool lists(const Incarnation &Holder) const;
  [[nodiscard]] const std::vector<Member> &members() const { return Members; }

private:
  std::vector<Member> Members;
};

/// Number of low bits of an epoch that count lost grants within one
/// registration.
constexpr unsigned RegistrationShift = 16;

/// \ingroup Budget
/// \returns the registration number within an epoch.
[[nodiscard]] inline std::uint64_t registrationOf(const Incarnation &Holder) {
  return Holder.Epoch >> RegistrationShift;
}

} // namespace bronzeward
