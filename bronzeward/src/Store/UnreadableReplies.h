#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief Limits the rate at which unreadable replies or entries of the store
/// are logged, so that a store that sends nothing else does not flood the log.
class UnreadableReplies {
public:
  /// \param Problem why the reply could not be parsed; empty where it could.
  /// \returns the line to log, with the number of unreadable replies since the
  /// last line; nothing where no line is due.
  [[nodiscard]] std::optional<std::string> report(const std::string &Problem,
                                                  TimePoint Now);

private:
  std::uint64_t Count = 0;
  std::optional<TimePoint> LastReport;
};

} // namespace bronzeward
