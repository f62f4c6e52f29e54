#pragma once

#include "bronzeward/Routing"
#include "bronzeward/src/Relay/RelayCall.h"

#include <span>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \returns hashes of a prompt's beginnings, part by part; each covers all
/// parts before it, since a cached part is of use only behind those.
[[nodiscard]] PrefixBlocks prefixesOf(const std::vector<PromptPart> &Parts);

/// \returns the hash by which a prompt finds its home: all parts but its own
/// last one. Zero where it shares none.
[[nodiscard]] std::uint64_t homeKey(const PrefixBlocks &Prefixes);

/// \brief Chooses the upstream with the least expected time to the first byte.
///
/// Answers three load patterns: prompts that share long beginnings (a cached
/// beginning saves its computation, so calls go home), a home under more load
/// than one upstream carries (its queue then outweighs the saving, and calls
/// spill over to the next home), and upstreams that are slow or fail part of
/// their calls while their status is good (their answers raise their cost).
/// \param Candidates at least one.
[[nodiscard]] Choice placeCall(const ChoiceInput &Input,
                               std::span<const Candidate> Candidates,
                               Duration Objective);

/// \returns the expected time to the first byte, with what a failure costs.
[[nodiscard]] Duration placementCost(const ChoiceInput &Input,
                                     const Candidate &Item, Duration Objective);

/// @}

} // namespace bronzeward
