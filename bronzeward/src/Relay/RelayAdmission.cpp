#include "bronzeward/src/Relay/RelayAdmission.h"

#include <algorithm>
#include <numeric>

namespace bronzeward {

/// Ranks of a route's priority within one of a workspace's.
constexpr int RoutePriorities = 3;
/// Least urgent rank that upstreams tell apart.
constexpr int LeastUrgent = 9;
/// Longest prompt and output that a call may state; sums stay in range.
constexpr std::int64_t MaxTokens = std::int64_t{1} << 40U;

Money costOfTokens(std::int64_t Tokens) { return Money(Tokens); }

static ServiceName drawTarget(const RouteSpec &Route, Random &Source) {
  const std::uint64_t Sum = std::accumulate(
      Route.Targets.begin(), Route.Targets.end(), std::uint64_t{0},
      [](std::uint64_t So, const RouteTarget &Item) {
        return So + Item.Weight;
      });
  std::uint64_t Drawn = Sum == 0 ? 0 : Source.below(Sum);
  for (const RouteTarget &Item : Route.Targets) {
    if (Drawn < Item.Weight)
      return Item.Service;
    Drawn -= Item.Weight;
  }
  return Route.Targets.empty() ? ServiceName() : Route.Targets.back().Service;
}

static bool sizeStated(const RelayCall &Call) {
  const auto InRange = [](const std::optional<std::int64_t> &Tokens) {
    return Tokens && *Tokens >= 0 && *Tokens <= MaxTokens;
  };
  return InRange(Call.PromptTokens) && InRange(Call.MaxOutputTokens);
}

boost::outcome_v2::basic_result<AdmittedCall, Reason,
                                boost::outcome_v2::policy::all_narrow>
admitCall(const std::shared_ptr<const RouteTable> &Table, const RelayCall &Call,
          Random &Source) {
  AdmittedCall Made;
  Made.Table = Table;
  Made.Route = Table->route(Call.Host, Call.Target);
  if (Made.Route == nullptr)
    return Reason::UnknownRoute;
  const RouteSpec &Route = *Made.Route;
  const WorkspaceAccess *Caller =
      Call.ApiKey.empty() ? nullptr : Table->workspace(Call.ApiKey);
  if (Caller == nullptr && Table->needsKeys() && !Route.Public)
    return Reason::WrongKey;
  Made.Service = drawTarget(Route, Source);
  Made.Priority = Route.Priority;
  if (Caller != nullptr) {
    Made.Workspace = Caller->Name;
    Made.Priority = Caller->Priority * RoutePriorities +
                    std::min(Route.Priority, RoutePriorities - 1);
  }
  Made.Priority = std::clamp(Made.Priority, 0, LeastUrgent);
  const RoutedService *Service = Table->service(Made.Service);
  const bool Model = Service != nullptr && Service->TokensPerEvent > 0;
  Made.Metered = Caller != nullptr && Caller->Metered && Model;
  // What has no stated bound cannot be held to a budget.
  if (Made.Metered && !sizeStated(Call))
    return Reason::InvalidRequest;
  if (Made.Metered)
    Made.Bound = costOfTokens(*Call.PromptTokens + *Call.MaxOutputTokens);
  Made.TimeLimit =
      std::min(Route.Timeout, Call.Patience.value_or(Route.Timeout));
  Made.Repeatable = Route.Kind == CallKind::Idempotent ||
                    (Route.Kind == CallKind::Stream && Route.Resumable);
  return Made;
}

} // namespace bronzeward
