#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace bronzeward {

/// Number of digits of the highest port.
constexpr std::size_t MaxPortDigits = 5;

static auto invalidValue(const std::string &Flag, const std::string &Value,
                         const std::string &Allowed) {
  return fail(ErrorKind::InvalidArgument, "read settings", "--" + Flag,
              "value \"" + Value + "\" is not allowed; allowed is " + Allowed);
}

Result<SocketAddress> parseAddress(const std::string &Flag,
                                   const std::string &Text) {
  std::optional<SocketAddress> Address = parseSocketAddress(Text);
  const std::size_t Digits = Text.size() - (Text.rfind(':') + 1);
  if (!Address || Digits > MaxPortDigits)
    return invalidValue(Flag, Text,
                        "an IP address and port such as 127.0.0.1:8080");
  return *std::move(Address);
}

Result<void> applyEnvironment(const std::string &Source) {
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags) {
    if (!Flag.is_default || !Flag.filename.ends_with(Source))
      continue;
    std::string Variable = "BRONZEWARD_";
    for (const char Character : Flag.name)
      Variable += static_cast<char>(
          std::toupper(static_cast<unsigned char>(Character)));
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
  const bool Valid =
      !Text.empty() &&
      std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
        return std::isalnum(Character) != 0 || Character == '-' ||
               Character == '_' || Character == '.';
      });
  if (!Valid)
    return invalidValue(Flag, Text,
                        "a name of letters, digits, '-', '_' or '.'");
  return boost::outcome_v2::success();
}

Result<void> requireRange(const std::string &Flag, std::int64_t Value,
                          std::int64_t Min, std::int64_t Max) {
  if (Value < Min || Value > Max)
    return invalidValue(Flag, std::to_string(Value),
                        "a number from " + std::to_string(Min) + " to " +
                            std::to_string(Max));
  return boost::outcome_v2::success();
}

} // namespace bronzeward
