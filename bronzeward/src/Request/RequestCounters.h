#pragma once

#include <cstdint>

namespace bronzeward {

/// \ingroup Request
/// \brief Counters of requests since the start, for the metrics.
struct RequestCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Answered = 0;
  /// Ended before any upstream executed them.
  std::uint64_t RefusedNotRun = 0;
  /// Ended without knowing whether an upstream executed them.
  std::uint64_t EndedUnknown = 0;
  /// Executed, but ended without a complete answer.
  std::uint64_t EndedRan = 0;
  std::uint64_t Retries = 0;
  /// Attempts sent to upstreams while they were known to limit their rate.
  std::uint64_t SentToRateLimited = 0;
  /// Callers that disconnected before their answer was complete.
  std::uint64_t CallersGone = 0;
  /// Answers whose reported usage exceeded the reservation.
  std::uint64_t OverReported = 0;
  /// Answers that violated the protocol or a limit.
  std::uint64_t InvalidAnswers = 0;
  /// Crashes after which the request's content was quarantined.
  std::uint64_t Quarantined = 0;
};

} // namespace bronzeward
