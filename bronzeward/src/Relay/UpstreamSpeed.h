#pragma once

#include "bronzeward/Base"

#include <optional>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Estimates how slow an upstream is at a moment, as a multiple of the
/// usual time for the same work. It is 1 for an upstream that never reported
/// the slowness of its host.
///
/// Load pattern: upstreams share their hosts with others, whose work comes and
/// goes within a second, and differ in speed for good. The reported slowness is
/// known late or not at all; it is believed less as it ages, and fades to its
/// recent average. The lasting speed is learnt from the upstream's answers
/// after the reported slowness was divided out.
class UpstreamSpeed {
public:
  /// \brief Records the present slowness of the host, above zero.
  void onReport(double HostSlowness, TimePoint Now);
  /// \brief Records an answer.
  /// \param Ratio of the measured time to the expected one, divided by the
  /// host's slowness during the call.
  void onAnswer(double Ratio, TimePoint Now);

  [[nodiscard]] bool isReported() const { return ReportedAt.has_value(); }
  /// \returns the estimated slowness of the host.
  [[nodiscard]] double hostSlowness(TimePoint Now) const;
  /// \returns the estimated slowness of the upstream itself.
  [[nodiscard]] double lastingSlowness(TimePoint Now) const;
  /// \returns the product of both.
  [[nodiscard]] double slowness(TimePoint Now) const {
    return hostSlowness(Now) * lastingSlowness(Now);
  }

private:
  [[nodiscard]] double averageSlowness(TimePoint Now) const;

  double Reported = 1.0;
  std::optional<TimePoint> ReportedAt;
  /// Average of the reports, valid at the time of the last one.
  double Average = 1.0;
  double Lasting = 1.0;
  TimePoint LastingAt;
};

/// @}

} // namespace bronzeward
