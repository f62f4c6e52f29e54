#pragma once

#include "bronzeward/Base"

#include <string>

namespace bronzeward {

/// \brief Parses "ip:port".
[[nodiscard]] Result<SocketAddress> parseAddress(const std::string &Flag,
                                                 const std::string &Text);

/// \brief Gives each flag that the command line leaves alone the value of its
/// environment variable, "BRONZEWARD_" and the flag's name in capitals.
/// \param Source file that defines the flags.
/// \returns an error naming the variable and what is allowed.
[[nodiscard]] Result<void> applyEnvironment(const std::string &Source);

/// \brief Requires a name of letters, digits, '-', '_' or '.'.
[[nodiscard]] Result<void> requireName(const std::string &Flag,
                                       const std::string &Text);

/// \brief Requires a number within bounds.
[[nodiscard]] Result<void> requireRange(const std::string &Flag,
                                        std::int64_t Value, std::int64_t Least,
                                        std::int64_t Most);

/// Exit code for a wrong or missing setting.
constexpr int SettingsExitCode = 2;

} // namespace bronzeward
