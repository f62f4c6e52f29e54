#pragma once

#include "bronzeward/src/Relay/RelayCall.h"
#include "bronzeward/src/Request/Refusal.h"

#include <boost/outcome.hpp>

#include <memory>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief A call that the configuration in force allows.
struct AdmittedCall {
  /// Keeps Route valid for as long as the call runs.
  std::shared_ptr<const RouteTable> Table;
  const RouteSpec *Route = nullptr;
  ServiceName Service;
  /// Empty for a public call without a key.
  WorkspaceId Workspace;
  /// Zero is the most urgent; the workspace's goes before the route's.
  int Priority = 0;
  /// Whether it is charged to a prepaid amount.
  bool Metered = false;
  /// Most that it can cost.
  Money Bound;
  /// Time from its arrival after which it is given up.
  Duration TimeLimit{};
  /// Whether it may run more than once.
  bool Repeatable = false;
};

/// \brief Checks a call against the configuration in force.
/// \param Source draws among the targets of a split route.
/// \returns the call's terms, or why it is refused.
[[nodiscard]] boost::outcome_v2::basic_result<
    AdmittedCall, Reason, boost::outcome_v2::policy::all_narrow>
admitCall(const std::shared_ptr<const RouteTable> &Table, const RelayCall &Call,
          Random &Source);

/// \returns the price of a token, in the unit in which budgets are prepaid.
[[nodiscard]] Money costOfTokens(std::int64_t Tokens);

/// @}

} // namespace bronzeward
