#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \addtogroup Config
/// @{

/// Store key of the configuration in force.
inline constexpr const char *ConfigurationKey = "bronzeward/configuration";

/// \brief One earlier version.
struct ConfigurationRevision {
  ConfigurationVersion Version;
  /// Digest of the text, which names its archive key.
  std::string TextDigest;
  std::string Operator;
  WallTime Accepted;
};

/// \brief The accepted configuration as stored. Small, since instances poll
/// it; the text lies under its archive key, written before.
struct ConfigurationHead {
  ConfigurationRevision Current;
  /// Earlier versions, newest first.
  std::vector<ConfigurationRevision> History;
};

/// \returns the archive key of a text.
[[nodiscard]] std::string archiveKey(const std::string &TextDigest);

/// \returns the head that follows Head when a text is accepted.
[[nodiscard]] ConfigurationHead succeed(const ConfigurationHead &Head,
                                        const std::string &Text,
                                        std::string Operator, WallTime Now);

[[nodiscard]] std::string
encodeConfigurationHead(const ConfigurationHead &Head);
[[nodiscard]] Result<ConfigurationHead>
parseConfigurationHead(std::string_view Bytes);

/// @}

} // namespace bronzeward
