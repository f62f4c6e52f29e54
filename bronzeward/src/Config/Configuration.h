#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Config/BudgetPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Config
/// @{

/// \brief What kind of upstream serves a service.
enum class ServiceKind {
  /// OpenAI-compatible completions.
  Model,
  /// HTTP calls passed on by route.
  Plain,
};

/// \brief How a service's requests choose among its upstreams.
enum class ChoicePolicyKind {
  ExpectedDelay,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwo,
  PrefixHash,
};

/// \brief One service of the operators' text.
struct ServiceSpec {
  ServiceName Name;
  ServiceKind Kind = ServiceKind::Model;
  /// Model names that callers use; for model services.
  std::vector<std::string> Models;
  /// Path prefix, such as "/permits"; for plain services.
  std::string Route;
  Price Rate;
  /// Longest output of one request, in tokens; for model services.
  std::int64_t MaxOutputTokens = 0;
  Duration Deadline = 60s;
  /// Higher is served first.
  std::int64_t Priority = 0;
  /// Whether a request may run more than once.
  bool Repeatable = true;
  std::vector<ServiceName> DependsOn;
  /// Retries allowed for each hundred first tries.
  std::int64_t RetryPercent = 10;
  /// Requests in flight at one instance.
  std::int64_t MaxConcurrent = 1024;
  /// Requests that one upstream takes at a time before it queues.
  std::int64_t UpstreamSlots = 16;
  ChoicePolicyKind Choice = ChoicePolicyKind::ExpectedDelay;
};

/// \brief One upstream of the operators' text.
struct UpstreamSpec {
  UpstreamName Name;
  ServiceName Service;
  /// IP address.
  std::string Host;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  /// Whether it refuses an order with an old fencing token.
  bool ChecksFencing = false;
};

/// \brief One workspace of the operators' text.
struct WorkspaceSpec {
  WorkspaceId Name;
  /// SHA-256 of each key, as 64 hexadecimal digits.
  std::vector<std::string> KeyDigests;
  /// Requests in flight at one instance.
  std::int64_t MaxConcurrent = 64;
};

/// \brief The operators' text, checked.
struct Configuration {
  std::string Deployment;
  BudgetPolicy Budget;
  std::vector<ServiceSpec> Services;
  std::vector<UpstreamSpec> Upstreams;
  std::vector<WorkspaceSpec> Workspaces;
};

/// \returns the service of that name, or null.
[[nodiscard]] const ServiceSpec *findService(const Configuration &Text,
                                             const ServiceName &Name);

/// @}

} // namespace bronzeward
