#include "bronzeward/src/Relay/RelayAdmission.h"

#include <algorithm>
#include <numeric>

namespace bronzeward {

/// Number of route priorities within each workspace priority.
constexpr int RoutePriorities = 3;
/// Least urgent priority that upstreams distinguish.
constexpr int MaxPriority = 9;
/// Upper bound of the token counts in a call's headers, so that their sum
/// cannot overflow.
constexpr std::int64_t MaxTokens = std::int64_t{1} << 40U;

Money costOfTokens(std::int64_t Tokens) { return Money(Tokens); }

static ServiceName selectTarget(const RouteSpec &Route, Random &Source) {
  const std::uint64_t TotalWeight = std::accumulate(
      Route.Targets.begin(), Route.Targets.end(), std::uint64_t{0},
      [](std::uint64_t Total, const RouteTarget &Item) {
        return Total + Item.Weight;
      });
  std::uint64_t Remaining = TotalWeight == 0 ? 0 : Source.below(TotalWeight);
  for (const RouteTarget &Item : Route.Targets) {
    if (Remaining < Item.Weight)
      return Item.Service;
    Remaining -= Item.Weight;
  }
  return Route.Targets.empty() ? ServiceName() : Route.Targets.back().Service;
}

static bool hasValidTokenCounts(const RelayCall &Call) {
  const auto InRange = [](const std::optional<std::int64_t> &Tokens) {
    return Tokens && *Tokens >= 0 && *Tokens <= MaxTokens;
  };
  return InRange(Call.PromptTokens) && InRange(Call.MaxOutputTokens);
}

boost::outcome_v2::basic_result<AdmittedCall, Reason,
                                boost::outcome_v2::policy::all_narrow>
admitCall(const std::shared_ptr<const RouteTable> &Table, const RelayCall &Call,
          Random &Source) {
  AdmittedCall Admitted;
  Admitted.Table = Table;
  Admitted.Route = Table->route(Call.Host, Call.Target);
  if (Admitted.Route == nullptr)
    return Reason::UnknownRoute;
  const RouteSpec &Route = *Admitted.Route;
  const WorkspaceAccess *Caller =
      Call.ApiKey.empty() ? nullptr : Table->workspace(Call.ApiKey);
  if (Caller == nullptr && Table->needsKeys() && !Route.Public)
    return Reason::WrongKey;
  Admitted.Service = selectTarget(Route, Source);
  Admitted.Priority = Route.Priority;
  if (Caller != nullptr) {
    Admitted.Workspace = Caller->Name;
    Admitted.Priority = Caller->Priority * RoutePriorities +
                        std::min(Route.Priority, RoutePriorities - 1);
  }
  Admitted.Priority = std::clamp(Admitted.Priority, 0, MaxPriority);
  const RoutedService *Service = Table->service(Admitted.Service);
  const bool ChargesTokens = Service != nullptr && Service->TokensPerEvent > 0;
  Admitted.Metered = Caller != nullptr && Caller->Metered && ChargesTokens;
  // The cost of a call without declared token counts cannot be reserved.
  if (Admitted.Metered && !hasValidTokenCounts(Call))
    return Reason::InvalidRequest;
  if (Admitted.Metered)
    Admitted.Bound = costOfTokens(*Call.PromptTokens + *Call.MaxOutputTokens);
  Admitted.TimeLimit =
      std::min(Route.Timeout, Call.Patience.value_or(Route.Timeout));
  Admitted.Repeatable = Route.Kind == CallKind::Idempotent ||
                        (Route.Kind == CallKind::Stream && Route.Resumable);
  return Admitted;
}

} // namespace bronzeward
