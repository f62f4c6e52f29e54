#pragma once

#include <compare>

namespace bronzeward {

/// \ingroup Base
/// \brief A number of calls per second.
struct CallRate {
  double PerSecond = 0.0;

  auto operator<=>(const CallRate &) const = default;
};

} // namespace bronzeward
