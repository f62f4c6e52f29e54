#pragma once

#include <cstdint>
#include <string>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \returns why an answer with a status cannot belong to a request that asked
/// for no upgrade; empty if it can.
[[nodiscard]] std::string statusProblem(std::uint16_t Status);

/// @}

} // namespace bronzeward
