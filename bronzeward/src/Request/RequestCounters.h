#pragma once

#include <cstdint>

namespace bronzeward {

/// \ingroup Request
/// \brief Counts of ended requests, for the metrics.
struct RequestCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t EndedUnknown = 0;
  std::uint64_t EndedRan = 0;
  std::uint64_t Retries = 0;
  std::uint64_t CallersGone = 0;
  std::uint64_t OverReported = 0;
  std::uint64_t Quarantined = 0;
};

} // namespace bronzeward
