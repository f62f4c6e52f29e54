#pragma once

#include "bronzeward/src/Base/Identifiers.h"
#include "bronzeward/src/Base/Time.h"

#include <compare>

namespace bronzeward {

/// \ingroup Base
/// \brief One run of an upstream from a start to its end. An upstream that
/// restarts under its name knows nothing of its earlier runs.
struct UpstreamRun {
  UpstreamName Name;
  WallTime Started;

  auto operator<=>(const UpstreamRun &) const = default;
};

} // namespace bronzeward
