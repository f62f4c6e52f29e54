#include "bronzeward/src/Relay/PrefixRetention.h"

#include <algorithm>

namespace bronzeward {

/// Probability for a prefix that this instance has not used at its preferred
/// upstream, where other instances may have used it.
constexpr double UnseenProbability = 0.9;
/// Prefixes are dropped once this many times the memory came in since their
/// last use.
constexpr double DroppedMultiple = 4.0;
constexpr std::size_t MaxPrefixes = 4096;

void PrefixRetention::onCall(const PrefixBlocks &Prefixes,
                             std::int64_t NewTokens, std::int64_t Memory) {
  OwnTokens += static_cast<double>(NewTokens);
  for (const std::uint64_t Prefix : Prefixes) {
    const auto Found = Uses.find(Prefix);
    if (Found != Uses.end())
      Recent.erase(Found->second);
    Recent.push_front({Prefix, OwnTokens, OthersTokens});
    Uses[Prefix] = Recent.begin();
  }
  const double Oldest =
      OwnTokens + OthersTokens - DroppedMultiple * static_cast<double>(Memory);
  while (!Recent.empty() &&
         (Recent.size() > MaxPrefixes ||
          Recent.back().OwnTokens + Recent.back().OthersTokens < Oldest)) {
    Uses.erase(Recent.back().Prefix);
    Recent.pop_back();
  }
}

void PrefixRetention::clear() {
  Recent.clear();
  Uses.clear();
}

double PrefixRetention::heldProbability(std::uint64_t Prefix,
                                        std::int64_t Spare, Users Who) const {
  const bool UsedByAll = Who == Users::AllInstances;
  const auto Found = Uses.find(Prefix);
  if (Spare <= 0)
    return 0.0;
  if (Found == Uses.end())
    return UsedByAll ? UnseenProbability : 0.0;
  double TokensSince = OwnTokens - Found->second->OwnTokens;
  if (!UsedByAll)
    TokensSince += OthersTokens - Found->second->OthersTokens;
  // The counts are estimates, so the boundary of the memory is not sharp.
  const double Ratio = TokensSince / static_cast<double>(Spare);
  return 1.0 / (1.0 + Ratio * Ratio);
}

} // namespace bronzeward
