#include "daemons/SettingsFile.h"

#include "daemons/ProcessSignals.h"

#include <gflags/gflags.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace bronzeward {

/// Time for which settings that are invalid are read again.
constexpr Duration SettingsPatience = 2s;
constexpr Duration SettingsRetryPeriod = 50ms;

Result<void> applySettingsFile(const std::string &Path,
                               const std::string &Program) {
  // ReadFromFlagsFile() ends the process if the file cannot be opened.
  std::ifstream In(Path);
  std::stringstream Text;
  if (!In || !(Text << In.rdbuf()))
    return fail(ErrorKind::NotFound, "read settings", Path,
                "cannot be read or is empty");
  if (!gflags::ReadFlagsFromString(Text.str(), Program.c_str(), false))
    return fail(ErrorKind::InvalidData, "read settings", Path,
                "contains an unknown flag or an invalid value");
  return boost::outcome_v2::success();
}

Result<void> readUntilValid(const std::function<Result<void>()> &Read) {
  const std::chrono::steady_clock::time_point Until =
      std::chrono::steady_clock::now() + SettingsPatience;
  Result<void> Last = Read();
  while (!Last && !stopSignalHeld() &&
         std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(SettingsRetryPeriod);
    Last = Read();
  }
  return Last;
}

} // namespace bronzeward
