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

/// \brief Metadata of one accepted version.
struct ConfigurationRevision {
  ConfigurationVersion Version;
  /// SHA-256 of the text, from which \ref archiveKey is formed.
  std::string TextDigest;
  std::string Operator;
  WallTime Accepted;
};

/// \brief Stored record of the accepted configuration. It is small since
/// instances poll it; the text is stored under its archive key, which is
/// written first.
struct ConfigurationHead {
  ConfigurationRevision Current;
  /// Earlier versions, newest first.
  std::vector<ConfigurationRevision> History;
};

/// \returns the store key under which a text is archived.
[[nodiscard]] std::string archiveKey(const std::string &TextDigest);

/// \returns the head that replaces Head when Text is accepted: the next
/// version, with the current one at the front of the history.
[[nodiscard]] ConfigurationHead succeed(const ConfigurationHead &Head,
                                        const std::string &Text,
                                        std::string Operator, WallTime Now);

[[nodiscard]] std::string
encodeConfigurationHead(const ConfigurationHead &Head);
[[nodiscard]] Result<ConfigurationHead>
parseConfigurationHead(std::string_view Bytes);

/// @}

} // namespace bronzeward
