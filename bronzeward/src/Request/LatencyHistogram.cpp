#include "bronzeward/src/Request/LatencyHistogram.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <tuple>

namespace bronzeward {

namespace histogram = boost::histogram;

using LatencyAxis = histogram::axis::variable<double>;

struct LatencyHistogram::Storage {
  Storage()
      : Counts(histogram::make_histogram(
            LatencyAxis{0.0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                        0.5, 0.78, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0})) {}

  histogram::histogram<std::tuple<LatencyAxis>> Counts;
  std::uint64_t Total = 0;
  double SumSeconds = 0.0;
};

LatencyHistogram::LatencyHistogram() : Impl(std::make_unique<Storage>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration Latency) {
  const double Seconds = std::chrono::duration<double>(Latency).count();
  Impl->Counts(Seconds);
  ++Impl->Total;
  Impl->SumSeconds += Seconds;
}

LatencyCounts LatencyHistogram::counts() const {
  LatencyCounts Result;
  Result.Total = Impl->Total;
  Result.SumSeconds = Impl->SumSeconds;
  const LatencyAxis &Axis = Impl->Counts.axis();
  std::uint64_t Cumulative = 0;
  for (int Index = 0; Index < Axis.size(); ++Index) {
    Cumulative += static_cast<std::uint64_t>(Impl->Counts.at(Index));
    Result.Buckets.push_back({Axis.bin(Index).upper(), Cumulative});
  }
  return Result;
}

} // namespace bronzeward
