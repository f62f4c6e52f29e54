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
  /// HTTP calls forwarded by route.
  Plain,
};

/// \brief Load balancing policy of a service.
enum class ChoicePolicyKind {
  ExpectedDelay,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwo,
  PrefixHash,
};

/// \brief One service of the configuration.
struct ServiceSpec {
  ServiceName Name;
  ServiceKind Kind = ServiceKind::Model;
  /// Model names that callers use; only for model services.
  std::vector<std::string> Models;
  /// Path prefix, such as "/permits"; only for plain services.
  std::string Route;
  Price Rate;
  /// Longest output of one request, in tokens; only for model services.
  std::int64_t MaxOutputTokens = 0;
  Duration Deadline = 60s;
  /// Services of higher priority are served first.
  std::int64_t Priority = 0;
  /// Whether a request may run more than once.
  bool Repeatable = true;
  std::vector<ServiceName> DependsOn;
  /// Retries allowed per hundred first attempts.
  std::int64_t RetryPercent = 10;
  /// Most requests in flight at one instance.
  std::int64_t MaxConcurrent = 1024;
  /// Requests that one upstream runs concurrently; it queues further ones.
  std::int64_t UpstreamSlots = 16;
  ChoicePolicyKind Choice = ChoicePolicyKind::ExpectedDelay;
};

/// \brief One upstream of the configuration.
struct UpstreamSpec {
  UpstreamName Name;
  ServiceName Service;
  /// IP address.
  std::string Host;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  /// Whether it rejects an order with an outdated fencing token.
  bool ChecksFencing = false;
};

/// \brief One workspace of the configuration.
struct WorkspaceSpec {
  WorkspaceId Name;
  /// SHA-256 of each key, as 64 hexadecimal digits.
  std::vector<std::string> KeyDigests;
  /// Most requests in flight at one instance.
  std::int64_t MaxConcurrent = 64;
};

/// \brief The operators' configuration after validation.
struct Configuration {
  std::string Deployment;
  BudgetPolicy Budget;
  std::vector<ServiceSpec> Services;
  std::vector<UpstreamSpec> Upstreams;
  std::vector<WorkspaceSpec> Workspaces;
};

/// \returns the service with the given name, or null.
[[nodiscard]] const ServiceSpec *findService(const Configuration &Config,
                                             const ServiceName &Name);

/// @}

} // namespace bronzeward
