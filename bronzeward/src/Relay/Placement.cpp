#include "bronzeward/src/Relay/Placement.h"

namespace bronzeward {

/// Cost of a failed call as a multiple of its latency objective. The caller has
/// to repeat the call, if it may be repeated at all.
constexpr double FailureFactor = 2.0;
/// Extra cost of computing a token that another upstream has cached, as a
/// multiple of its computation time. It stands for the delay of other calls
/// that queue behind it.
constexpr double RecomputeFactor = 1.5;
/// Delay added by a fully loaded upstream over an idle one, without queueing,
/// as a fraction of the mean service time.
constexpr double UtilizationFactor = 0.25;

PrefixBlocks prefixesOf(const std::vector<PromptPart> &Parts) {
  PrefixBlocks Prefixes;
  Prefixes.reserve(Parts.size());
  std::uint64_t Hash = 0;
  for (const PromptPart &Part : Parts) {
    const std::string_view Bytes(reinterpret_cast<const char *>(&Part.Id),
                                 sizeof(Part.Id));
    Hash = hash64(Bytes, Hash);
    Prefixes.push_back(Hash);
  }
  return Prefixes;
}

std::uint64_t sharedPrefixHash(const PrefixBlocks &Prefixes) {
  return Prefixes.size() < 2 ? 0 : Prefixes[Prefixes.size() - 2];
}

Duration placementCost(const ChoiceInput &Input, const Candidate &Item,
                       Duration Objective) {
  const Duration Network = 2 * Item.NetworkDelay;
  const double Utilization =
      Item.Load / static_cast<double>(std::max<std::int64_t>(1, Item.Slots));
  const std::chrono::duration<double> Delay =
      expectedDelay(Input, Item) - Network +
      Item.ServiceTime * UtilizationFactor * Utilization;
  const std::chrono::duration<double> FailurePenalty =
      Objective * (FailureFactor * Item.FailureFraction);
  // Computing shared parts again also delays the other calls at the upstream.
  const std::chrono::duration<double> RecomputePenalty =
      Item.PrefillTokenTime * Item.RecomputedTokens * RecomputeFactor;
  return std::chrono::duration_cast<Duration>(
             Delay * Item.Slowdown + FailurePenalty + RecomputePenalty) +
         Network;
}

static const char *reasonOf(const Candidate &Best) {
  if (Best.RoomDelay > Duration())
    return "least delay, waits for memory";
  return Best.CachedTokens > 0 ? "least delay, cached prompt" : "least delay";
}

Choice placeCall(const ChoiceInput &Input,
                 std::span<const Candidate> Candidates, Duration Objective) {
  std::size_t Best = 0;
  Duration MinCost = Duration::max();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Duration Cost = placementCost(Input, Candidates[Index], Objective);
    if (Cost >= MinCost)
      continue;
    MinCost = Cost;
    Best = Index;
  }
  return {Best, std::chrono::duration<double>(MinCost).count(),
          reasonOf(Candidates[Best])};
}

} // namespace bronzeward
