#pragma once

#include "bronzeward/src/Base/Money.h"

namespace bronzeward {

/// \ingroup Base
/// \brief Price of a service: per call and per token of each kind.
struct Price {
  Money Call;
  Money InputToken;
  Money CachedToken;
  Money OutputToken;

  bool operator==(const Price &) const = default;
};

} // namespace bronzeward
