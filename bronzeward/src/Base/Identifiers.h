#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bronzeward {

/// \ingroup Base
/// \brief A string whose type says what it names.
template <class Tag> struct Name {
  std::string Value;

  auto operator<=>(const Name &) const = default;
  [[nodiscard]] bool empty() const { return Value.empty(); }
};

using WorkspaceId = Name<struct WorkspaceTag>;
using ServiceName = Name<struct ServiceTag>;
using UpstreamName = Name<struct UpstreamTag>;
using InstanceId = Name<struct InstanceTag>;
using FailureDomain = Name<struct FailureDomainTag>;
/// Unique for each request that an instance accepts.
using RequestId = Name<struct RequestTag>;
/// Chosen by the caller, or equal to the request id where none was given.
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/// Names one top-up, so that its repetition has no effect.
using OperationId = Name<struct OperationTag>;
/// Hexadecimal digest of a request's route and body.
using ContentFingerprint = Name<struct ContentFingerprintTag>;

/// \ingroup Base
/// \brief One life of one instance as a holder of grants.
struct Incarnation {
  InstanceId Instance;
  /// Rises each time the instance starts again or loses a grant.
  std::uint64_t Epoch = 0;

  auto operator<=>(const Incarnation &) const = default;
};

/// \ingroup Base
/// \brief Index of a ledger record.
struct SlotId {
  std::uint32_t Index = 0;
  auto operator<=>(const SlotId &) const = default;
};

/// \ingroup Base
/// \brief Version of the accepted configuration; only rises.
struct ConfigurationVersion {
  std::uint64_t Number = 0;
  auto operator<=>(const ConfigurationVersion &) const = default;
};

} // namespace bronzeward

template <class Tag> struct std::hash<bronzeward::Name<Tag>> {
  std::size_t operator()(const bronzeward::Name<Tag> &Item) const {
    return std::hash<std::string>()(Item.Value);
  }
};
