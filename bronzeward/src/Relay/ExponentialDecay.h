#pragma once

#include "bronzeward/Base"

#include <cmath>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \returns the weight of a value of the given age under exponential decay.
[[nodiscard]] inline double
decayWeight(Duration Age, std::chrono::duration<double> DecayTime) {
  return std::exp(-std::chrono::duration<double>(Age) / DecayTime);
}

/// @}

} // namespace bronzeward
