#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <memory>
#include <vector>

namespace bronzeward {

/// \ingroup Request
/// \brief Number of latencies below an upper bound.
struct LatencyBucket {
  /// Upper bound in seconds.
  double Bound = 0.0;
  std::uint64_t Count = 0;
};

/// \ingroup Request
/// \brief Snapshot of a histogram, for the metrics.
struct LatencyCounts {
  /// Cumulative counts in ascending order of bounds. Latencies beyond the last
  /// bound are in Total only.
  std::vector<LatencyBucket> Buckets;
  std::uint64_t Total = 0;
  double SumSeconds = 0.0;
};

/// \ingroup Request
/// \brief Histogram of latencies with bounds from 1 ms to 60 s.
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
