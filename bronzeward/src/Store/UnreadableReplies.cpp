#include "bronzeward/src/Store/UnreadableReplies.h"

namespace bronzeward {

/// Time between two lines: one a second keeps the log's volume bounded.
constexpr Duration ReportPeriod = 1s;

std::optional<std::string> UnreadableReplies::report(const std::string &Problem,
                                                     TimePoint Now) {
  if (Problem.empty())
    return std::nullopt;
  ++Count;
  if (Reported && Now < *Reported + ReportPeriod)
    return std::nullopt;
  std::string Line = std::to_string(Count) + " since the last line: " + Problem;
  Reported = Now;
  Count = 0;
  return Line;
}

} // namespace bronzeward
