#include "bronzeward/src/Relay/RateLimitTable.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// How long an observation that no answer confirms is kept.
constexpr std::chrono::milliseconds Retention = 1h;
/// How long a changed limit is told to peers, and how many at once.
constexpr Duration NewsTime = 5s;
constexpr std::size_t MaxNews = 8;

bool RateLimitTable::onAnswer(const UpstreamRun &Run,
                              std::optional<CallRate> Stated, TimePoint SentAt,
                              TimePoint Now) {
  // An answer without a limit shows the upstream as it was at some time after
  // the call was sent.
  return update(Run, Stated, Stated ? Now : SentAt, Now);
}

bool RateLimitTable::onNotice(const RateLimitNotice &Notice, TimePoint Now) {
  const bool Valid = !Notice.Limit || (std::isfinite(Notice.Limit->PerSecond) &&
                                       Notice.Limit->PerSecond >= 0.0);
  if (!Valid)
    return false;
  const std::chrono::milliseconds Age =
      std::clamp(Notice.Age, std::chrono::milliseconds(0), Retention);
  return update(Notice.Upstream, Notice.Limit, Now - Age, Now);
}

bool RateLimitTable::update(const UpstreamRun &Run,
                            std::optional<CallRate> Limit, TimePoint InForceAt,
                            TimePoint Now) {
  const auto Found = Observations.find(Run);
  if (Found == Observations.end()) {
    if (!Limit)
      return false;
    prune(Now);
    Observations.emplace(Run, Observation{Limit, InForceAt, Now});
    return true;
  }
  Observation &Known = Found->second;
  if (InForceAt <= Known.InForceAt)
    return false;
  Known.InForceAt = InForceAt;
  if (Limit == Known.Limit)
    return false;
  Known.Limit = Limit;
  Known.ChangedAt = Now;
  return true;
}

void RateLimitTable::prune(TimePoint Now) {
  std::erase_if(Observations, [Now](const auto &Item) {
    return Now > Item.second.InForceAt + Retention;
  });
}

RateLimitNotice RateLimitTable::noticeOf(const UpstreamRun &Run,
                                         TimePoint Now) const {
  const auto Found = Observations.find(Run);
  if (Found == Observations.end())
    return {Run, std::nullopt, Retention};
  return {Run, Found->second.Limit,
          std::chrono::ceil<std::chrono::milliseconds>(
              Now - Found->second.InForceAt)};
}

std::vector<RateLimitNotice>
RateLimitTable::recentChanges(TimePoint Now) const {
  std::vector<std::pair<TimePoint, UpstreamRun>> Recent;
  for (const auto &[Run, Known] : Observations)
    if (Now < Known.ChangedAt + NewsTime)
      Recent.emplace_back(Known.ChangedAt, Run);
  std::sort(Recent.rbegin(), Recent.rend());
  Recent.resize(std::min(Recent.size(), MaxNews));
  std::vector<RateLimitNotice> News;
  News.reserve(Recent.size());
  for (const auto &[ChangedAt, Run] : Recent)
    News.push_back(noticeOf(Run, Now));
  return News;
}

std::optional<CallRate> RateLimitTable::limitOf(const UpstreamRun &Run) const {
  const auto Found = Observations.find(Run);
  return Found == Observations.end() ? std::nullopt : Found->second.Limit;
}

std::size_t RateLimitTable::limited() const {
  return static_cast<std::size_t>(std::count_if(
      Observations.begin(), Observations.end(),
      [](const auto &Item) { return Item.second.Limit.has_value(); }));
}

} // namespace bronzeward
