#pragma once

#include "bronzeward/Routing"
#include "bronzeward/src/Relay/RelayCall.h"

#include <span>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \returns one hash for each prefix of the prompt's parts. Each hash covers
/// all parts up to its own, since a cached part is only usable after the same
/// parts.
[[nodiscard]] PrefixBlocks prefixesOf(const std::vector<PromptPart> &Parts);

/// \returns the hash of all parts but the last, which is the call's own. It
/// selects the prompt's preferred upstreams. Zero if there are no such parts.
[[nodiscard]] std::uint64_t sharedPrefixHash(const PrefixBlocks &Prefixes);

/// \brief Chooses the upstream with the lowest placement cost, which is
/// dominated by the expected time to the first byte.
///
/// Handles four load patterns:
/// - Prompts that share long prefixes. A cached prefix need not be computed, so
///   calls go to the preferred upstream of their prefix.
/// - A preferred upstream with more load than it can serve. Its queue outweighs
///   the saved computation, and calls spill over to the next preferred
///   upstream.
/// - Upstreams whose memory is full while slots are free. The time until a call
///   fits counts as a queue.
/// - Upstreams that are slow or fail some calls although they report themselves
///   healthy. Their own answers raise their cost.
/// \param Candidates must not be empty.
[[nodiscard]] Choice placeCall(const ChoiceInput &Input,
                               std::span<const Candidate> Candidates,
                               Duration Objective);

/// \returns the expected time to the first byte, plus penalties for expected
/// failures and for computing a cached prefix again.
[[nodiscard]] Duration placementCost(const ChoiceInput &Input,
                                     const Candidate &Item, Duration Objective);

/// @}

} // namespace bronzeward
