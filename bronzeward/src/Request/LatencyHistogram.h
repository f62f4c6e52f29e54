#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <memory>
#include <vector>

namespace bronzeward {

/// \ingroup Request
/// \brief Counts of latencies up to and including a bound.
struct LatencyBucket {
  /// Upper bound in seconds.
  double Bound = 0.0;
  std::uint64_t Count = 0;
};

/// \ingroup Request
/// \brief A copy of a histogram, for the metrics.
struct LatencyCounts {
  /// Cumulative, the smallest bound first; the last holds all that is finite.
  std::vector<LatencyBucket> Buckets;
  std::uint64_t Total = 0;
  double SumSeconds = 0.0;
};

/// \ingroup Request
/// \brief Histogram of latencies from a millisecond to a minute.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(Duration Latency);
  [[nodiscard]] LatencyCounts counts() const;

private:
  struct Storage;
  std::unique_ptr<Storage> Impl;
};

} // namespace bronzeward
