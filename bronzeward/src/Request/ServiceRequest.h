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

/// \brief A caller's request, checked against the configuration.
struct ServiceRequest {
  ServiceSpec Service;
  WorkspaceSpec Workspace;
  bool Streamed = false;
  /// Whether it may run more than once.
  bool Repeatable = true;
  bool KeyFromCaller = false;
  IdempotencyKey Key;
  ContentFingerprint Content;
  /// Upper bound on prompt tokens.
  std::int64_t PromptTokens = 0;
  /// Output tokens at which the answer is cut.
  std::int64_t MaxOutputTokens = 0;
  /// The most that the request can cost.
  Money Bound;
  PrefixBlocks Blocks;
  /// Body to send upstream.
  std::string Body;
};

/// \brief Look-up tables of one configuration.
class ConfigurationIndex {
public:
  explicit ConfigurationIndex(Configuration Accepted);

  /// \returns the workspace whose key this is, or null.
  [[nodiscard]] const WorkspaceSpec *
  workspaceOf(const std::string &Authorization) const;
  [[nodiscard]] const ServiceSpec *
  serviceOfModel(const std::string &Model) const;
  /// \returns the plain service with the longest matching route, or null.
  [[nodiscard]] const ServiceSpec *serviceOfPath(const std::string &Path) const;
  [[nodiscard]] const Configuration &text() const { return Text; }

private:
  Configuration Text;
  std::map<std::string, std::size_t> WorkspaceByDigest;
  std::map<std::string, std::size_t> ServiceByModel;
};

/// \brief Checks a caller's request.
/// \returns the request, or why it is refused.
[[nodiscard]] boost::outcome_v2::basic_result<
    ServiceRequest, Refusal, boost::outcome_v2::policy::all_narrow>
parseServiceRequest(const CallerRequest &In, const ConfigurationIndex &Index);

/// @}

} // namespace bronzeward
