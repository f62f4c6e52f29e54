#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <vector>

namespace bronzeward::bench {

/// \brief One request of the near-exhaustion workload.
struct Demand {
  std::size_t Instance = 0;
  Money Bound;
  Money Cost;
};

/// \brief How a way of sharing a budget did.
struct ShareOutcome {
  /// Budget unspent although refused requests would have used it, as a share
  /// of the budget.
  double FalseRefusals = 0.0;
  double StoreCallsPerRequest = 0.0;
};

/// \returns the outcome where each instance owns an equal part for good.
[[nodiscard]] ShareOutcome fixedSplit(const std::vector<Demand> &Requests,
                                      std::size_t Instances, Money Prepaid);

/// \returns the outcome where each request reserves and settles in the store,
/// a read and a write each, without contention.
[[nodiscard]] ShareOutcome
storeCallPerRequest(const std::vector<Demand> &Requests, Money Prepaid);

} // namespace bronzeward::bench
