#include "bronzeward/src/Relay/UpstreamSpeed.h"

#include "bronzeward/src/Relay/ExponentialDecay.h"

#include <algorithm>

namespace bronzeward {

/// Time constant with which a report fades to the average. Neighbours on a host
/// come and go within a second.
constexpr std::chrono::duration<double> ReportDecayTime = 400ms;
/// Time constant of the average, which spans several changes of the neighbours,
/// and with which it returns to 1 without reports.
constexpr std::chrono::duration<double> AverageDecayTime = 4s;
/// Time constant with which the lasting slowness returns to 1 without answers,
/// so that an upstream that is no longer slow receives calls again.
constexpr std::chrono::duration<double> LastingDecayTime = 30s;
/// Weight of one answer in the lasting slowness.
constexpr double LastingSmoothing = 0.1;
/// Bounds of the lasting slowness. Anything beyond is a fault, which fades
/// sooner.
constexpr double MinLasting = 0.4;
constexpr double MaxLasting = 2.5;

void UpstreamSpeed::onReport(double HostSlowness, TimePoint Now) {
  // Weighted by time, since a busy upstream reports more often than an idle
  // one.
  if (ReportedAt)
    Average = Reported + (Average - Reported) *
                             decayWeight(Now - *ReportedAt, AverageDecayTime);
  else
    Average = HostSlowness;
  Reported = HostSlowness;
  ReportedAt = Now;
}

void UpstreamSpeed::onAnswer(double Ratio, TimePoint Now) {
  const double Previous = lastingSlowness(Now);
  Lasting = Previous + (std::clamp(Ratio, MinLasting, MaxLasting) - Previous) *
                           LastingSmoothing;
  LastingAt = Now;
}

double UpstreamSpeed::averageSlowness(TimePoint Now) const {
  return 1.0 +
         (Average - 1.0) * decayWeight(Now - *ReportedAt, AverageDecayTime);
}

double UpstreamSpeed::hostSlowness(TimePoint Now) const {
  if (!ReportedAt)
    return 1.0;
  const double Mean = averageSlowness(Now);
  return Mean +
         (Reported - Mean) * decayWeight(Now - *ReportedAt, ReportDecayTime);
}

double UpstreamSpeed::lastingSlowness(TimePoint Now) const {
  return 1.0 + (Lasting - 1.0) * decayWeight(Now - LastingAt, LastingDecayTime);
}

} // namespace bronzeward
