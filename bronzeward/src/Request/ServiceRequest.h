#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Request/Messages.h"
#include "bronzeward/src/Request/Refusal.h"
#include "bronzeward/src/Routing/PrefixIndex.h"

#include <map>
#include <string>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief A caller's request, validated against the configuration.
struct ServiceRequest {
  ServiceSpec Service;
  WorkspaceSpec Workspace;
  /// Whether the answer is an event stream.
  bool Streamed = false;
  /// Whether it may be executed more than once.
  bool Repeatable = true;
  /// Whether the caller sent an Idempotency-Key header.
  bool KeyFromCaller = false;
  IdempotencyKey Key;
  /// Digest of method, target and body.
  ContentFingerprint Content;
  /// Upper bound on prompt tokens.
  std::int64_t PromptTokens = 0;
  /// Number of output tokens after which the answer is cut off.
  std::int64_t MaxOutputTokens = 0;
  /// Maximum cost of the request.
  Money Bound;
  /// Hashes of the prompt's prefixes.
  PrefixBlocks Blocks;
  /// Body to send to the upstream.
  SharedBytes Body;
};

/// \brief A configuration with lookup tables.
class ConfigurationIndex {
public:
  explicit ConfigurationIndex(Configuration Accepted);

  /// \param Authorization value of the Authorization header.
  /// \returns the workspace that the API key belongs to, or null.
  [[nodiscard]] const WorkspaceSpec *
  workspaceOf(const std::string &Authorization) const;
  /// \returns the service that serves a model, or null.
  [[nodiscard]] const ServiceSpec *
  serviceOfModel(const std::string &Model) const;
  /// \returns the plain service with the longest matching route, or null.
  [[nodiscard]] const ServiceSpec *serviceOfPath(const std::string &Path) const;
  [[nodiscard]] const Configuration &configuration() const { return Source; }

private:
  Configuration Source;
  std::map<std::string, std::size_t> WorkspaceByDigest;
  std::map<std::string, std::size_t> ServiceByModel;
};

/// \brief Parses and validates a caller's request.
/// \returns the request, or the reason for its refusal.
[[nodiscard]] boost::outcome_v2::basic_result<
    ServiceRequest, Refusal, boost::outcome_v2::policy::all_narrow>
parseServiceRequest(const CallerRequest &In, const ConfigurationIndex &Index);

/// @}

} // namespace bronzeward
