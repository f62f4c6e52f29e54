#include "bronzeward/src/Router/StartReport.h"

#include <algorithm>

namespace bronzeward {

/// Time after the start of the first line about steps that are waited for.
constexpr Duration FirstLineDelay = 1s;

constexpr std::array<const char *, 6> StepNames{
    "registered", "listed", "configured", "upstreams", "first grant", "ready"};

StartReport::StartReport(TimePoint Now)
    : Began(Now), NextLine(Now + FirstLineDelay) {}

void StartReport::complete(StartStep Step, TimePoint Now) {
  std::optional<TimePoint> &At = CompletedAt[static_cast<std::size_t>(Step)];
  if (!At)
    At = Now;
}

bool StartReport::allComplete() const {
  return std::all_of(CompletedAt.begin(), CompletedAt.end(),
                     [](const auto &At) { return At.has_value(); });
}

std::optional<std::string> StartReport::takeLine(TimePoint Now) {
  if (!NextLine || (!allComplete() && Now < *NextLine))
    return std::nullopt;
  NextLine.reset();
  if (!allComplete())
    NextLine = Now + (Now - Began);
  std::string Line;
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    Line += std::string(Line.empty() ? "" : ", ") + StepNames[Step];
    if (!CompletedAt[Step]) {
      Line += " waited for";
      continue;
    }
    const auto Spent = std::chrono::duration_cast<std::chrono::milliseconds>(
        *CompletedAt[Step] - Began);
    Line += " " + std::to_string(Spent.count()) + " ms";
  }
  return Line;
}

} // namespace bronzeward
