#pragma once

#include "bronzeward/src/Base/Identifiers.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace bronzeward {

/// \addtogroup Base
/// @{

/// \brief Identifies a version of the upstreams' software by a hash of its
/// name.
struct VersionId {
  std::uint64_t Hash = 0;
  auto operator<=>(const VersionId &) const = default;
};

/// \brief Identifies a stream by a hash of its workspace and of the caller's
/// attempt that brought its first event.
struct StreamKey {
  std::uint64_t Hash = 0;
  auto operator<=>(const StreamKey &) const = default;
};

/// \param Attempt identifier that the caller gave to its attempt.
[[nodiscard]] StreamKey streamKeyOf(const WorkspaceId &Workspace,
                                    const std::string &Attempt);

/// \brief The version of an upstream's software at which a stream began.
struct StreamOrigin {
  StreamKey Stream;
  VersionId Version;
  /// Time since the stream began.
  std::chrono::milliseconds Age{0};
};

/// @}

} // namespace bronzeward
