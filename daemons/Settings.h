#pragma once

#include "bronzeward/Base"

#include <string>

namespace bronzeward {

/// \brief Parses "ip:port".
/// \param Flag name of the flag, for the error.
[[nodiscard]] Result<SocketAddress> parseAddress(const std::string &Flag,
                                                 const std::string &Text);

/// \brief Sets flags that the command line leaves at their defaults from
/// environment variables named "BRONZEWARD_" and the flag's name in capitals.
/// \param Source name of the source file whose flags are set.
/// \returns an error that names the variable and the allowed type if a value is
/// invalid.
[[nodiscard]] Result<void> applyEnvironment(const std::string &Source);

/// \brief Checks that Text is a name of letters, digits, '-', '_' or '.'.
/// \returns an error that names the flag otherwise.
[[nodiscard]] Result<void> requireName(const std::string &Flag,
                                       const std::string &Text);

/// \brief Checks that Value is from Min to Max.
/// \returns an error that names the flag otherwise.
[[nodiscard]] Result<void> requireRange(const std::string &Flag,
                                        std::int64_t Value, std::int64_t Min,
                                        std::int64_t Max);

/// Exit code for an invalid or missing setting.
constexpr int SettingsExitCode = 2;

} // namespace bronzeward
