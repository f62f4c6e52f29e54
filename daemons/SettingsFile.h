#pragma once

#include "bronzeward/Base"

#include <functional>
#include <string>

namespace bronzeward {

/// \brief Applies a file of flags, one a line: all of them or, on an error,
/// none.
/// \returns an error that names the file.
[[nodiscard]] Result<void> applySettingsFile(const std::string &Path,
                                             const std::string &Program);

/// \brief Repeats a reading of settings while it fails, for a bounded time:
/// a file that is being replaced may be empty or written in part.
/// \param Read reads and checks the settings.
/// \returns the last error if they stay invalid or a signal stops the daemon.
[[nodiscard]] Result<void>
readUntilValid(const std::function<Result<void>()> &Read);

} // namespace bronzeward
