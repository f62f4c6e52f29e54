#include "bronzeward/src/Router/DepartureLog.h"

namespace bronzeward {

/// Number of lines in one period, beyond which departures are only counted.
constexpr int MaxLinesPerPeriod = 20;
constexpr Duration LinePeriod = 1s;

static std::string milliseconds(Duration Time) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                 .count()) +
         " ms";
}

static std::string describeDeparture(const UpstreamDeparture &Item,
                                     const RegistryNews &News, TimePoint Now) {
  std::string Text = "upstream " + Item.Name.Value +
                     (Item.Draining ? " draining" : " removed") +
                     ", revision " + std::to_string(Item.Revision) + " from " +
                     News.Source;
  if (News.ConfirmedAt)
    Text +=
        ", list confirmed " + milliseconds(Now - *News.ConfirmedAt) + " before";
  if (Item.Kept != KeptReason::None)
    Text += ", usable for " + milliseconds(Item.UnusableFrom - Now) +
            (Item.Kept == KeptReason::Outage ? " after an outage of the store"
                                             : " since many were removed");
  return Text;
}

void DepartureLog::onDeparture(const UpstreamDeparture &Item,
                               const RegistryNews &News, TimePoint Now) {
  ++Counters.Departures;
  Counters.Kept += Item.Kept == KeptReason::None ? 0 : 1;
  Counters.FromPeers += News.FromPeer ? 1 : 0;
  if (Now >= PeriodEnd) {
    PeriodEnd = Now + LinePeriod;
    LinesInPeriod = 0;
  }
  if (LinesInPeriod == MaxLinesPerPeriod) {
    ++Omitted;
    return;
  }
  ++LinesInPeriod;
  std::string Line = describeDeparture(Item, News, Now);
  if (Omitted > 0)
    Line += ", lines omitted before " + std::to_string(Omitted);
  Omitted = 0;
  Log.onEvent("upstream-departed", Line);
}

} // namespace bronzeward
