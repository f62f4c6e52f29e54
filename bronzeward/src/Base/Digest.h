#pragma once

#include "bronzeward/src/Base/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Base
/// \returns the SHA-256 of Text as 64 lowercase hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view Text);

/// \ingroup Base
/// \returns a 64-bit hash for placement; not for secrets.
[[nodiscard]] std::uint64_t hash64(std::string_view Text,
                                   std::uint64_t Seed = 0);

/// \ingroup Base
/// \returns the slot that keeps the account of a workspace.
/// \param SlotCount number of slots, above zero.
[[nodiscard]] SlotId slotOf(const WorkspaceId &Workspace,
                            std::uint32_t SlotCount);

} // namespace bronzeward
