#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <optional>

namespace bronzeward {

/// \ingroup Relay
/// \brief Identifier of a suspect: a prompt part or a whole content, told apart
/// by the highest bit.
using PartId = std::uint64_t;

/// \ingroup Relay
/// \returns the suspect for a prompt part, see \ref PromptPart.
[[nodiscard]] PartId suspectOfPart(std::uint64_t Part);

/// \ingroup Relay
/// \returns the suspect for the whole content of a call.
[[nodiscard]] PartId suspectOfContent(const ContentFingerprint &Content);

/// \ingroup Relay
/// \returns whether a suspect is the whole content of a call.
[[nodiscard]] bool isContent(PartId Suspect);

/// \ingroup Relay
/// \returns the name under which operators see a quarantined suspect.
[[nodiscard]] ContentFingerprint fingerprintOf(PartId Part);

/// \ingroup Relay
/// \returns the suspect with that name; nothing if it names none.
[[nodiscard]] std::optional<PartId>
partOf(const ContentFingerprint &Fingerprint);

} // namespace bronzeward
