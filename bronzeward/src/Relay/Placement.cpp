#include "bronzeward/src/Relay/Placement.h"

namespace bronzeward {

/// Cost of a failed call, as a multiple of its objective: the caller has to
/// come again, if it may.
constexpr double FailureCost = 2.0;
/// Cost of a token computed again, beside its own time, as a multiple of that:
/// calls that wait behind it at an upstream that has others' prompts to serve.
constexpr double RecomputeCost = 1.5;
/// Part of the mean service time by which a full upstream answers later than
/// an idle one, queue aside.
constexpr double LoadSlope = 0.25;

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

std::uint64_t homeKey(const PrefixBlocks &Prefixes) {
  return Prefixes.size() < 2 ? 0 : Prefixes[Prefixes.size() - 2];
}

Duration placementCost(const ChoiceInput &Input, const Candidate &Item,
                       Duration Objective) {
  const Duration Network = 2 * Item.NetworkDelay;
  const double Fill =
      Item.Load / static_cast<double>(std::max<std::int64_t>(1, Item.Slots));
  const std::chrono::duration<double> Work =
      expectedDelay(Input, Item) - Network +
      Item.ServiceTime * LoadSlope * Fill;
  const std::chrono::duration<double> Risk =
      Objective * (FailureCost * Item.FailureFraction);
  // Computing shared parts again delays the other calls there as much as this.
  const std::chrono::duration<double> Again =
      Item.PrefillTokenTime * Item.RecomputedTokens * RecomputeCost;
  return std::chrono::duration_cast<Duration>(Work * Item.Slowdown + Risk +
                                              Again) +
         Network;
}

Choice placeCall(const ChoiceInput &Input,
                 std::span<const Candidate> Candidates, Duration Objective) {
  std::size_t Best = 0;
  Duration Least = Duration::max();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Duration Cost = placementCost(Input, Candidates[Index], Objective);
    if (Cost >= Least)
      continue;
    Least = Cost;
    Best = Index;
  }
  const bool Cached = Candidates[Best].CachedTokens > 0;
  return {Best, std::chrono::duration<double>(Least).count(),
          Cached ? "least delay, cached prompt" : "least delay"};
}

} // namespace bronzeward
