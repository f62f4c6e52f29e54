#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief Decides when unreadable replies of the store are logged, so that a
/// store that answers nothing else does not flood the log.
class UnreadableReplies {
public:
  /// \param Problem what could not be read; empty for a readable reply.
  /// \returns the line to log, with the number of replies since the last one.
  [[nodiscard]] std::optional<std::string> report(const std::string &Problem,
                                                  TimePoint Now);

private:
  std::uint64_t Count = 0;
  std::optional<TimePoint> Reported;
};

} // namespace bronzeward
