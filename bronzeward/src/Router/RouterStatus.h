#pragma once

#include "bronzeward/Request"
#include "bronzeward/Store"
#include "bronzeward/src/Router/DepartureLog.h"

#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Router
/// \brief Number of items that a full ring rejected.
struct RingCount {
  /// Name of the thread that reads the ring.
  std::string Name;
  std::uint64_t Refused = 0;
};

/// \ingroup Router
/// \brief Counts of the threads that handle connections, since the start.
struct ConnectionCounters {
  std::vector<RingCount> Rings;
  /// Requests whose caller had left when they were read.
  std::uint64_t LeftBeforeRead = 0;
  /// Calls whose caller had left when they were to be sent to an upstream.
  std::uint64_t LeftBeforeSend = 0;
  /// Memory that callers make the instance hold, in bytes.
  std::uint64_t CallerMemory = 0;
  /// Requests refused and answers cut for lack of memory.
  std::uint64_t MemoryRefusals = 0;
  /// Calls cancelled while their upstream had not acknowledged all their bytes.
  std::uint64_t CancelledUnacknowledged = 0;
};

/// \ingroup Router
/// \brief Counts of configuration texts exchanged with peers.
struct ConfigurationTextCounters {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  /// Received texts whose version was not newer than the one in force.
  std::uint64_t Known = 0;
};

/// \ingroup Router
/// \brief A copy of one instance's state for operators and metrics.
struct RouterStatus {
  InstanceId Instance;
  FailureDomain Domain;
  bool Ready = false;
  /// Why the instance is not ready; empty where it is ready.
  std::string NotReadyReason;
  bool Draining = false;
  ConfigurationVersion Configuration;
  std::size_t Upstreams = 0;
  /// Store revision up to which changes of upstreams are known, and the time
  /// since it was last confirmed.
  std::uint64_t UpstreamsRevision = 0;
  Duration UpstreamsAge{};
  DepartureCounters Departures;
  /// Upstreams that state a rate limit in their answers.
  std::size_t RateLimitedUpstreams = 0;
  /// Failure domains whose upstreams get no calls.
  std::vector<FailureDomain> EvacuatedDomains;
  std::int64_t InFlight = 0;
  std::size_t PendingOperations = 0;
  std::size_t CarriedBills = 0;
  Money HeldGrants;
  /// Grants of former incarnations in the slots that this instance commits.
  Money LostGrants;
  bool StoreFailing = false;
  StoreCounters Store;
  ConfigurationTextCounters Texts;
  RequestCounters Requests;
  LatencyCounts FirstByte;
  LatencyCounts Whole;
  ConnectionCounters Connections;
  /// Longest delay of a periodic task of the core since the start.
  Duration LongestLoopDelay{};
  std::vector<Member> Members;
  std::vector<ContentFingerprint> Quarantined;
};

/// \returns the status as a JSON object.
[[nodiscard]] std::string statusJson(const RouterStatus &Status);

/// \returns the status in the Prometheus text format.
[[nodiscard]] std::string statusMetrics(const RouterStatus &Status);

} // namespace bronzeward
