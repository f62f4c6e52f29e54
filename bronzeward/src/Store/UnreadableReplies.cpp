#include "bronzeward/src/Store/UnreadableReplies.h"

namespace bronzeward {

/// Time between two lines; one line per second limits the size of the log.
constexpr Duration ReportPeriod = 1s;

std::optional<std::string> UnreadableReplies::report(const std::string &Problem,
                                                     TimePoint Now) {
  if (Problem.empty())
    return std::nullopt;
  ++Count;
  if (LastReport && Now < *LastReport + ReportPeriod)
    return std::nullopt;
  std::string Line = std::to_string(Count) + " since the last line: " + Problem;
  LastReport = Now;
  Count = 0;
  return Line;
}

} // namespace bronzeward
