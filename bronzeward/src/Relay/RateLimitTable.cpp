#include "bronzeward/src/Relay/RateLimitTable.h"

#include <algorithm>

namespace bronzeward {

/// How long an observation that no answer confirms is kept.
constexpr Duration Retention = 1h;

bool RateLimitTable::onAnswer(const UpstreamRun &Run,
                              std::optional<CallRate> Stated, TimePoint SentAt,
                              TimePoint Now) {
  prune(Now);
  // An answer without a limit shows the upstream as it was at some time after
  // the call was sent.
  return update(Run, {Stated, Stated ? Now : SentAt});
}

bool RateLimitTable::update(const UpstreamRun &Run, const Observation &Latest) {
  const auto Found = Observations.find(Run);
  if (Found == Observations.end()) {
    if (Latest.Limit)
      Observations.emplace(Run, Latest);
    return Latest.Limit.has_value();
  }
  Observation &Known = Found->second;
  if (Latest.InForceAt <= Known.InForceAt)
    return false;
  const bool Changed = Latest.Limit != Known.Limit;
  Known = Latest;
  return Changed;
}

void RateLimitTable::prune(TimePoint Now) {
  std::erase_if(Observations, [Now](const auto &Item) {
    return Now > Item.second.InForceAt + Retention;
  });
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
