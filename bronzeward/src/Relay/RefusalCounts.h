#pragma once

#include "bronzeward/src/Request/Refusal.h"

#include <cstdint>
#include <map>
#include <string>

namespace bronzeward {

/// \ingroup Relay
/// \brief Counts refusals by reason between two log lines.
class RefusalCounts {
public:
  void add(Reason Cause) { ++Counts[descriptionOf(Cause).Code]; }

  /// \returns the counts as "code number" pairs, comma-separated, and starts
  /// again; empty if there were none.
  [[nodiscard]] std::string take();

private:
  std::map<std::string, std::uint64_t> Counts;
};

} // namespace bronzeward
