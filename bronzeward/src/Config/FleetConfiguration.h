#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \addtogroup Config
/// @{

/// \brief What may be repeated of a routed call.
enum class CallKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// A series of events; runs at most once, unless its route may be resumed.
  Stream,
};

/// \brief One service that a route sends calls to.
struct RouteTarget {
  ServiceName Service;
  /// Part of the route's calls, against the other targets' weights.
  std::uint32_t Weight = 1;
};

/// \brief Calls of one host and path prefix, passed on unchanged.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  CallKind Kind = CallKind::NonIdempotent;
  std::vector<RouteTarget> Targets;
  /// Longest time that a caller is kept waiting.
  Duration Timeout = 60s;
  /// Time in which an answer (of a stream, its first event) is worth most.
  Duration Objective = 1s;
  /// Zero is the most urgent.
  int Priority = 0;
  /// Upstreams that one call may run on.
  int Attempts = 1;
  /// Whether callers need no key.
  bool Public = false;
  /// Whether a broken stream may be continued at another upstream.
  bool Resumable = false;
};

/// \brief One service that routes name.
struct RoutedService {
  ServiceName Name;
  /// Connections that one upstream accepts from all callers together.
  std::int64_t MaxConnections = 1024;
  /// Tokens in one event of a stream; zero for services that are no models.
  std::int64_t TokensPerEvent = 0;
};

/// \brief A workspace as the fleet's configuration describes it.
struct WorkspaceAccess {
  WorkspaceId Name;
  /// SHA-256 of each key, as 64 hexadecimal digits.
  std::vector<std::string> KeyDigests;
  /// Zero is the most urgent; goes before the route's priority.
  int Priority = 0;
  /// Whether calls are charged to a prepaid amount.
  bool Metered = false;
  /// Whole prepaid amount.
  Money Prepaid;
};

/// \brief Limits on what callers may send.
struct CallerBounds {
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 1048576;
  /// Time for a request's headers to arrive.
  Duration HeaderTimeout = 10s;
  /// Time that an idle connection is kept.
  Duration IdleTimeout = 60s;

  bool operator==(const CallerBounds &) const = default;
};

/// \brief One version of the routes, services and workspaces in force.
struct FleetConfiguration {
  ConfigurationVersion Version;
  std::vector<RouteSpec> Routes;
  std::vector<RoutedService> Services;
  std::vector<WorkspaceAccess> Workspaces;
  CallerBounds Bounds;
};

/// \brief A \ref FleetConfiguration with the indexes that calls need.
class RouteTable {
public:
  explicit RouteTable(FleetConfiguration Accepted);

  /// \returns the route of that host with the longest prefix that begins the
  /// path, or null.
  /// \param Target path, with or without a query.
  [[nodiscard]] const RouteSpec *route(const std::string &Host,
                                       std::string_view Target) const;
  /// \returns the workspace of a key, or null.
  [[nodiscard]] const WorkspaceAccess *workspace(const std::string &Key) const;
  [[nodiscard]] const RoutedService *service(const ServiceName &Name) const;
  [[nodiscard]] const FleetConfiguration &text() const { return Text; }
  /// \returns whether calls need a key at all.
  [[nodiscard]] bool needsKeys() const { return !Text.Workspaces.empty(); }

private:
  FleetConfiguration Text;
  /// Routes of a host by prefix.
  std::map<std::string, std::map<std::string, const RouteSpec *, std::less<>>>
      ByHost;
  std::map<std::string, const WorkspaceAccess *> ByKeyDigest;
  std::map<ServiceName, const RoutedService *> ByService;
};

/// @}

} // namespace bronzeward
