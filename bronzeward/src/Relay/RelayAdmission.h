#pragma once

#include "bronzeward/src/Relay/RelayCall.h"
#include "bronzeward/src/Request/Refusal.h"

#include <boost/outcome.hpp>

#include <memory>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief A call that the active configuration admits, and how to run it.
struct AdmittedCall {
  /// Owns the object that Route points to.
  std::shared_ptr<const RouteTable> Table;
  const RouteSpec *Route = nullptr;
  ServiceName Service;
  /// Empty for a call of a public route without an API key.
  WorkspaceId Workspace;
  /// Zero is the most urgent. The workspace's priority takes precedence over
  /// the route's.
  int Priority = 0;
  /// Whether the call is charged to the workspace's prepaid budget.
  bool Metered = false;
  /// Upper bound of the call's cost.
  Money Bound;
  /// Time from the call's arrival after which it is cancelled.
  Duration TimeLimit{};
  /// Whether the call may run more than once.
  bool Repeatable = false;
};

/// \brief Checks a call against the active configuration.
/// \param Source selects one of the route's weighted targets.
/// \returns the admitted call, or the reason for its refusal.
[[nodiscard]] boost::outcome_v2::basic_result<
    AdmittedCall, Reason, boost::outcome_v2::policy::all_narrow>
admitCall(const std::shared_ptr<const RouteTable> &Table, const RelayCall &Call,
          Random &Source);

/// \returns the cost of a number of tokens, in the unit of prepaid budgets.
[[nodiscard]] Money costOfTokens(std::int64_t Tokens);

/// @}

} // namespace bronzeward
