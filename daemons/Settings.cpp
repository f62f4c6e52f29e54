#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace bronzeward {

/// Digits of the highest port.
constexpr std::size_t MaxPortDigits = 5;

static auto wrong(const std::string &Flag, const std::string &Value,
                  const std::string &Allowed) {
  return fail(ErrorKind::InvalidArgument, "read settings", "--" + Flag,
              "value \"" + Value + "\" is not allowed; allowed is " + Allowed);
}

Result<SocketAddress> parseAddress(const std::string &Flag,
                                   const std::string &Text) {
  std::optional<SocketAddress> Parsed = parseSocketAddress(Text);
  const std::size_t Digits = Text.size() - (Text.rfind(':') + 1);
  if (!Parsed || Digits > MaxPortDigits)
    return wrong(Flag, Text, "an IP address and port such as 127.0.0.1:8080");
  return *std::move(Parsed);
}

Result<void> applyEnvironment(const std::string &Source) {
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    if (!Flag.is_default || !Flag.filename.ends_with(Source))
      continue;
    std::string Variable = "BRONZEWARD_";
    for (const char Letter : Flag.name)
      Variable +=
          static_cast<char>(std::toupper(static_cast<unsigned char>(Letter)));
    const char *Value = std::getenv(Variable.c_str());
    if (Value == nullptr)
      continue;
    if (gflags::SetCommandLineOption(Flag.name.c_str(), Value).empty())
      return fail(ErrorKind::InvalidArgument, "read settings", Variable,
                  std::string("value \"") + Value +
                      "\" is not allowed; allowed is a value of type " +
                      Flag.type);
  }
  return boost::outcome_v2::success();
}

Result<void> requireName(const std::string &Flag, const std::string &Text) {
  const bool Plain =
      !Text.empty() &&
      std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
        return std::isalnum(Letter) != 0 || Letter == '-' || Letter == '_' ||
               Letter == '.';
      });
  if (!Plain)
    return wrong(Flag, Text, "a name of letters, digits, '-', '_' or '.'");
  return boost::outcome_v2::success();
}

Result<void> requireRange(const std::string &Flag, std::int64_t Value,
                          std::int64_t Least, std::int64_t Most) {
  if (Value < Least || Value > Most)
    return wrong(Flag, std::to_string(Value),
                 "a number from " + std::to_string(Least) + " to " +
                     std::to_string(Most));
  return boost::outcome_v2::success();
}

} // namespace bronzeward
