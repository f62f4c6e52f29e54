#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \addtogroup Config
/// @{

/// \brief Whether a routed call may be repeated.
enum class CallKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Answered by a stream of events; runs at most once, unless its route is
  /// resumable.
  Stream,
};

/// \brief One service that receives calls of a route.
struct RouteTarget {
  ServiceName Service;
  /// Share of the route's calls, relative to the other targets' weights.
  std::uint32_t Weight = 1;
};

/// \brief Route for calls of one host and path prefix; they are forwarded
/// unchanged.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  CallKind Kind = CallKind::NonIdempotent;
  std::vector<RouteTarget> Targets;
  /// Longest time that a caller waits for the answer.
  Duration Timeout = 60s;
  /// Target latency of an answer; of a stream, target latency of its first
  /// event.
  Duration Objective = 1s;
  /// Zero is the most urgent.
  int Priority = 0;
  /// Most upstreams that one call is sent to, the first included.
  int Attempts = 1;
  /// Whether the route is open to callers without a key.
  bool Public = false;
  /// Whether a broken stream may be continued at another upstream.
  bool Resumable = false;
};

/// \brief One service that routes refer to.
struct RoutedService {
  ServiceName Name;
  /// Most connections that one upstream accepts from all its clients together.
  std::int64_t MaxConnections = 1024;
  /// Tokens in one event of a stream; zero for services other than models.
  std::int64_t TokensPerEvent = 0;
  /// Tokens of running requests and cached prompts that one upstream's memory
  /// holds; empty if not stated.
  std::optional<std::int64_t> MemoryTokens = std::nullopt;
};

/// \brief Keys, priority and budget of a workspace.
struct WorkspaceAccess {
  WorkspaceId Name;
  /// SHA-256 of each key, as 64 hexadecimal digits.
  std::vector<std::string> KeyDigests;
  /// Zero is the most urgent; takes precedence over the route's priority.
  int Priority = 0;
  /// Whether calls are charged against a prepaid amount.
  bool Metered = false;
  /// Total prepaid amount, spent or not.
  Money Prepaid;
};

/// \brief Limits on what callers may send.
struct CallerBounds {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  /// Time for a request's headers to arrive.
  Duration HeaderTimeout = 10s;
  /// Time after which an idle connection is closed.
  Duration IdleTimeout = 60s;

  bool operator==(const CallerBounds &) const = default;
};

/// \brief One version of the routes, services and workspaces.
struct FleetConfiguration {
  ConfigurationVersion Version;
  std::vector<RouteSpec> Routes;
  std::vector<RoutedService> Services;
  std::vector<WorkspaceAccess> Workspaces;
  CallerBounds Bounds;
};

/// \brief A \ref FleetConfiguration, indexed for lookups by calls.
class RouteTable {
public:
  explicit RouteTable(FleetConfiguration Accepted);

  /// \returns the route of the host whose prefix is the longest match of the
  /// path, or null.
  /// \param Target path, with or without a query.
  [[nodiscard]] const RouteSpec *route(const std::string &Host,
                                       std::string_view Target) const;
  /// \returns the workspace that a key belongs to, or null.
  [[nodiscard]] const WorkspaceAccess *workspace(const std::string &Key) const;
  /// \returns the service with the given name, or null.
  [[nodiscard]] const RoutedService *service(const ServiceName &Name) const;
  [[nodiscard]] const FleetConfiguration &configuration() const {
    return Config;
  }
  /// \returns whether any workspace is configured, so that calls need a key.
  [[nodiscard]] bool needsKeys() const { return !Config.Workspaces.empty(); }

private:
  FleetConfiguration Config;
  /// Routes by host in lower case, then by prefix.
  std::map<std::string, std::map<std::string, const RouteSpec *, std::less<>>>
      ByHost;
  std::map<std::string, const WorkspaceAccess *> ByKeyDigest;
  std::map<ServiceName, const RoutedService *> ByService;
};

/// @}

} // namespace bronzeward
