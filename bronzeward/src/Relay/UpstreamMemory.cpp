#include "bronzeward/src/Relay/UpstreamMemory.h"

#include <algorithm>
#include <numeric>

namespace bronzeward {

/// Bound of the expected wait, in service times.
constexpr double MaxTurns = 1000.0;

std::int64_t CallFootprint::total() const {
  return std::accumulate(SharedTokens.begin(), SharedTokens.end(), OwnTokens);
}

CallFootprint parseFootprint(const PrefixBlocks &Prefixes,
                             const std::vector<std::int64_t> &PartTokens,
                             std::int64_t PromptTokens,
                             std::int64_t OutputTokens) {
  CallFootprint Call;
  std::int64_t LastPart = 0;
  if (!Prefixes.empty()) {
    Call.SharedPrefixes.assign(Prefixes.begin(), Prefixes.end() - 1);
    Call.SharedTokens.assign(PartTokens.begin(), PartTokens.end() - 1);
    LastPart = PartTokens.back();
  }
  Call.OwnTokens =
      std::max(LastPart, PromptTokens - Call.total()) + OutputTokens;
  return Call;
}

void HeldTokens::add(const CallFootprint &Call) {
  Total += Call.OwnTokens;
  for (std::size_t Index = 0; Index < Call.SharedPrefixes.size(); ++Index) {
    SharedPart &Part = Shared[Call.SharedPrefixes[Index]];
    if (++Part.Calls > 1)
      continue;
    Part.Tokens = Call.SharedTokens[Index];
    Total += Part.Tokens;
  }
}

void HeldTokens::remove(const CallFootprint &Call) {
  // Calls sent before a restart of the upstream are unknown.
  Total = std::max<std::int64_t>(0, Total - Call.OwnTokens);
  for (const std::uint64_t Prefix : Call.SharedPrefixes) {
    const auto Found = Shared.find(Prefix);
    if (Found == Shared.end() || --Found->second.Calls > 0)
      continue;
    Total = std::max<std::int64_t>(0, Total - Found->second.Tokens);
    Shared.erase(Found);
  }
}

std::int64_t HeldTokens::addedBy(const CallFootprint &Call,
                                 std::size_t CachedParts) const {
  std::int64_t Added = Call.OwnTokens;
  for (std::size_t Index = CachedParts; Index < Call.SharedPrefixes.size();
       ++Index)
    if (!Shared.contains(Call.SharedPrefixes[Index]))
      Added += Call.SharedTokens[Index];
  return Added;
}

Duration timeUntilRoom(const MemoryUse &Use, Duration ServiceTime) {
  const std::int64_t Missing = Use.Held + Use.Needed - Use.Memory;
  if (Missing <= 0 || Use.Held <= 0 || Use.Memory <= 0)
    return {};
  // Only calls that fit run, and free their tokens within one service time.
  const double Running = static_cast<double>(std::min(Use.Held, Use.Memory));
  const double Turns =
      std::min(static_cast<double>(Missing) / Running, MaxTurns);
  return std::chrono::duration_cast<Duration>(ServiceTime * Turns);
}

} // namespace bronzeward
