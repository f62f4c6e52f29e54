#pragma once

#include "bronzeward/Routing"
#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/DispatchGate.h"
#include "bronzeward/src/Relay/Placement.h"
#include "bronzeward/src/Relay/PrefixRetention.h"
#include "bronzeward/src/Relay/UpstreamDirectory.h"
#include "bronzeward/src/Relay/UpstreamMemory.h"
#include "bronzeward/src/Relay/UpstreamSpeed.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief How an attempt at an upstream ended, for the upstream's health.
enum class AttemptEnd {
  /// Complete answer with a status below 500.
  Answered,
  /// Complete answer with a status of 500 or above.
  Failed,
  /// The answer was interrupted or violated the protocol.
  Broken,
  /// The connection could not be opened.
  Unreachable,
  /// The upstream rejected the call for lack of capacity.
  RejectedBusy,
  /// Another upstream answered at the address.
  Misdirected,
  /// This instance cancelled the attempt. Counts against the upstream only if
  /// it had been silent for too long.
  Cancelled,
};

/// \brief Properties of a call that determine its candidates.
struct PlacementQuery {
  ServiceName Service;
  /// Prefix hash and token count of each part of the prompt; equally long.
  PrefixBlocks Prefixes;
  std::vector<std::int64_t> PartTokens;
  std::int64_t PromptTokens = 0;
  /// Most tokens that the answer may have.
  std::int64_t OutputTokens = 0;
  /// Tokens that an upstream's memory holds; empty if not stated. Then memory
  /// is not considered.
  std::optional<std::int64_t> MemoryTokens = std::nullopt;
  /// Versions of the upstream's software to which the call is limited; empty
  /// optional if any will do.
  std::optional<std::vector<VersionId>> Versions = std::nullopt;
  /// Upstreams of earlier attempts, which are excluded.
  std::vector<UpstreamName> Excluded;
  /// Connections that one upstream accepts from all instances together.
  std::int64_t MaxConnections = std::numeric_limits<std::int64_t>::max();
  /// This instance's equal share of MaxConnections.
  std::int64_t ConnectionShare = std::numeric_limits<std::int64_t>::max();
};

/// \brief The usable upstreams with their estimated load and health. Health is
/// judged only by the outcome of this instance's own calls.
class UpstreamPool {
public:
  explicit UpstreamPool(FailureDomain OwnDomain)
      : Domain(std::move(OwnDomain)) {}

  /// \brief Replaces the set of upstreams that may receive new calls. The state
  /// of an upstream is kept unless it has restarted.
  /// \returns upstreams that restarted under the same name.
  std::vector<UpstreamName> setUsable(const std::vector<UpstreamEntry> &Usable,
                                      TimePoint Now);

  /// \brief Records that a call is sent to an upstream.
  void onDispatched(AttemptId Attempt, const UpstreamName &Name,
                    const PlacementQuery &Query, TimePoint Now);
  /// \brief Records that a part of the answer arrived.
  void onFirstByte(AttemptId Attempt, TimePoint Now);
  /// \brief Records the end of an attempt and updates the upstream's health.
  void onEnded(AttemptId Attempt, AttemptEnd End, TimePoint Now);
  /// \brief Records that an upstream refuses connections.
  void onRefused(const UpstreamName &Name, TimePoint Now);
  /// \brief Records the load that an upstream reported in an answer.
  void onLoad(const UpstreamName &Name, const ReportedLoad &Load,
              TimePoint Now);
  /// \brief Stops new calls to an upstream that is shutting down.
  void onLeaving(const UpstreamName &Name, TimePoint Now);
  /// \brief Stops new calls to an upstream that asked for a back-off.
  void onBackOff(const UpstreamName &Name, Duration Time, TimePoint Now);
  /// \brief Updates the calls that another instance has in flight.
  void onPeerLoad(const InstanceId &Peer, const LoadNotice &Load,
                  TimePoint Now);
  /// \brief Removes load notices that peers have not renewed in time.
  void expirePeerLoads(TimePoint Now);

  /// \returns the calls that this instance has in flight, for its peers.
  [[nodiscard]] LoadNotice ownLoad() const;
  /// \returns the upstreams that may receive a call: the healthy ones or, if
  /// there are none, the unhealthy ones. Excludes upstreams that are shutting
  /// down, that asked for a back-off, or whose share of connections for this
  /// instance is used up. Empty if the call exceeds an upstream's memory.
  /// Preferred upstreams come first.
  [[nodiscard]] std::vector<Candidate>
  candidates(const PlacementQuery &Query, Random &Source, TimePoint Now) const;
  [[nodiscard]] const UpstreamEntry *find(const UpstreamName &Name) const;
  /// \returns the availability of the present run of a known upstream. It is
  /// withdrawn when the upstream restarts, is removed or says that it leaves.
  [[nodiscard]] std::shared_ptr<const UpstreamAvailability>
  availability(const UpstreamName &Name) const;
  /// \returns the names of a service's upstreams.
  [[nodiscard]] std::vector<UpstreamName>
  upstreamsOf(const ServiceName &Service) const;
  /// \returns the time from which an upstream accepts calls again after a
  /// back-off; `TimePoint::max()` if it is shutting down or unknown.
  [[nodiscard]] TimePoint blockedUntil(const UpstreamName &Name) const;
  /// \returns whether the service has a usable upstream.
  [[nodiscard]] bool serves(const ServiceName &Service) const;
  /// \returns whether an upstream sent bytes, or became usable, within the
  /// given time before Now.
  [[nodiscard]] bool heardWithin(const UpstreamName &Name, Duration Time,
                                 TimePoint Now) const;
  [[nodiscard]] std::size_t size() const { return States.size(); }

private:
  /// A call in flight.
  struct RunningAttempt {
    UpstreamName Upstream;
    /// Prompt tokens that the upstream probably has to compute.
    std::int64_t FreshTokens = 0;
    /// Expected time to the first byte when the call was sent.
    Duration Expected{};
    /// Estimated slowness of the upstream's host when the call was sent.
    double HostSlowness = 1.0;
    /// What the call holds in the upstream's memory.
    CallFootprint Footprint;
    TimePoint SentAt;
    bool Answered = false;
  };
  struct State {
    UpstreamEntry Entry;
    std::shared_ptr<UpstreamAvailability> Availability;
    std::int64_t Outstanding = 0;
    /// Uncached prompt tokens of this instance's calls without a first byte.
    std::int64_t PendingTokens = 0;
    /// Outstanding calls and pending tokens of all other instances.
    std::int64_t PeerCalls = 0;
    std::int64_t PeerTokens = 0;
    ReportedLoad Load;
    std::optional<TimePoint> LoadReportedAt;
    /// Moving averages, valid at the time that follows each.
    double Failures = 0.0;
    TimePoint FailuresAt;
    double Slowdown = 1.0;
    TimePoint SlowdownAt;
    /// Judges the upstream together with Slowdown if it reports its host's
    /// slowness.
    UpstreamSpeed Speed;
    TimePoint EjectedUntil;
    Duration EjectionTime{};
    TimePoint LastHeard;
    /// Memory that this instance's calls hold.
    HeldTokens Held;
    /// Calls without a first byte, oldest first.
    std::map<AttemptId, TimePoint> Unanswered;
    Duration ServiceTime{};
    PrefixIndex Prefixes{0};
    /// Replaces Prefixes where the memory is stated.
    PrefixRetention Retention;
    /// Up to when tokens of other instances' calls were counted in Retention.
    TimePoint OthersCountedAt;
  };
  /// State shared by all upstreams of a service.
  struct ServiceState {
    HashRing Ring;
    std::vector<UpstreamName> Names;
    /// Software version of each upstream in Names.
    std::vector<VersionId> Versions;
    /// Estimated time to compute one prompt token.
    Duration TokenTime{};
    /// Mean tokens that a call adds to what an upstream holds.
    double MeanAddedTokens = 0.0;
  };

  /// \returns whether this instance may open one more connection to an
  /// upstream, given the connections that it accepts from all instances.
  [[nodiscard]] static bool hasConnectionLeft(const State &Item,
                                              const PlacementQuery &Query,
                                              TimePoint Now);
  /// \brief Updates the mean tokens that calls add to an upstream's memory.
  /// \returns the tokens that this call adds.
  std::int64_t recordAddedTokens(const State &Item, const PlacementQuery &Query,
                                 TimePoint Now);
  /// \returns the tokens that calls of other instances hold in an upstream's
  /// memory.
  [[nodiscard]] std::int64_t tokensOfOthers(const State &Item,
                                            TimePoint Now) const;
  /// \brief Counts the tokens that calls of other instances brought into an
  /// upstream's memory since the last time.
  void countTokensOfOthers(State &Item, TimePoint Now) const;
  /// \brief Estimates what is cached from the parts that the upstream was sent.
  void estimateCached(Candidate &Result, const State &Item,
                      const PlacementQuery &Query,
                      std::size_t PreferenceRank) const;
  /// \brief Estimates what is cached, and the time until there is room, from
  /// the upstream's memory.
  void estimateMemory(Candidate &Result, const State &Item,
                      const PlacementQuery &Query, std::size_t PreferenceRank,
                      TimePoint Now) const;
  [[nodiscard]] bool isHealthy(const State &Item, TimePoint Now) const;
  [[nodiscard]] Candidate makeCandidate(const State &Item,
                                        const PlacementQuery &Query,
                                        std::size_t PreferenceRank,
                                        TimePoint Now) const;
  /// \returns the indexes of a service's upstreams whose version a call may
  /// use, in the order of their names.
  [[nodiscard]] static std::vector<std::size_t>
  eligible(const ServiceState &Service, const PlacementQuery &Query);
  /// \returns the eligible upstreams that a prefix prefers.
  [[nodiscard]] static std::vector<std::size_t>
  preferred(const ServiceState &Service, const PlacementQuery &Query);
  [[nodiscard]] std::vector<std::size_t> scanOrder(const ServiceState &Service,
                                                   const PlacementQuery &Query,
                                                   Random &Source) const;
  [[nodiscard]] static double failureRate(const State &Item, TimePoint Now);
  [[nodiscard]] static double currentSlowdown(const State &Item, TimePoint Now);
  [[nodiscard]] static double estimatedLoad(const State &Item, TimePoint Now);
  void recordOutcome(State &Item, double Failed, double Weight, TimePoint Now);
  void eject(State &Item, TimePoint Now);
  void updateEstimates(State &Item, const RunningAttempt &Attempt,
                       TimePoint Now);
  static void updateServiceTime(State &Item, const RunningAttempt &Attempt,
                                TimePoint Now);
  /// \returns the slowness of the upstream's host over the time of a call.
  [[nodiscard]] static double averageHostSlowness(const State &Item,
                                                  const RunningAttempt &Attempt,
                                                  TimePoint Now);
  State *state(const UpstreamName &Name);
  void sumPeerLoads();

  /// Latest load notice of a peer.
  struct PeerLoad {
    LoadNotice Notice;
    TimePoint ReceivedAt;
  };

  FailureDomain Domain;
  std::map<UpstreamName, State> States;
  std::map<ServiceName, ServiceState> Services;
  std::map<AttemptId, RunningAttempt> RunningAttempts;
  DispatchGate Gate;
  std::map<InstanceId, PeerLoad> PeerLoads;
};

/// @}

} // namespace bronzeward
