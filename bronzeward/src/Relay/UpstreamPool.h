#pragma once

#include "bronzeward/Routing"
#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/DispatchGate.h"
#include "bronzeward/src/Relay/Placement.h"
#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief How one try at an upstream ended, as far as its health goes.
enum class TryEnd {
  /// A whole answer, of whatever status below 500.
  Answered,
  /// A whole answer that says the upstream failed.
  Failed,
  /// The answer broke off or broke the protocol.
  Broken,
  /// The connection could not be opened.
  Unreachable,
  /// The upstream had no place for it.
  TurnedAway,
  /// Another upstream has the address.
  Misdirected,
  /// This instance ended it; says nothing, unless it had waited for long.
  Cancelled,
};

/// \brief What a call asks of the pool.
struct PlacementQuery {
  ServiceName Service;
  /// Beginnings of the prompt and the tokens of each part; of equal length.
  PrefixBlocks Prefixes;
  std::vector<std::int64_t> PartTokens;
  std::int64_t PromptTokens = 0;
  /// Upstreams tried before.
  std::vector<UpstreamName> Avoid;
  /// Connections that one upstream accepts from all instances.
  std::int64_t MaxConnections = std::numeric_limits<std::int64_t>::max();
  /// This instance's equal share of them.
  std::int64_t ConnectionShare = std::numeric_limits<std::int64_t>::max();
};

/// \brief The usable upstreams, their load and their health, judged by their
/// answers alone.
class UpstreamPool {
public:
  explicit UpstreamPool(FailureDomain Home) : Domain(std::move(Home)) {}

  /// \brief Takes over who may get new calls. What is known of an upstream
  /// stays, unless it started anew.
  /// \returns upstreams that started anew under the same name.
  std::vector<UpstreamName> setUsable(const std::vector<UpstreamEntry> &Usable,
                                      TimePoint Now);

  void onDispatched(AttemptId Attempt, const UpstreamName &Name,
                    const PlacementQuery &Query, TimePoint Now);
  /// \brief The first part of the answer came.
  void onFirstByte(AttemptId Attempt, TimePoint Now);
  void onEnded(AttemptId Attempt, TryEnd How, TimePoint Now);
  void onLoad(const UpstreamName &Name, const StatedLoad &Load, TimePoint Now);
  /// \brief An answer says that the upstream leaves.
  void onLeaving(const UpstreamName &Name, TimePoint Now);
  /// \brief An upstream wants nothing for a time.
  void onBackOff(const UpstreamName &Name, Duration Time, TimePoint Now);
  /// \brief Takes over what another instance has under way.
  void onPeerLoad(const InstanceId &Peer, const LoadNotice &Load,
                  TimePoint Now);
  /// \brief Drops what peers have not repeated for a while.
  void expirePeerLoads(TimePoint Now);

  /// \returns what this instance has under way, for its peers.
  [[nodiscard]] LoadNotice ownLoad() const;
  /// \returns upstreams that may take a call: those in good standing, or, where
  /// there are none, any that are usable. Never one that asked for nothing, or
  /// that has this instance's share of its connections.
  [[nodiscard]] std::vector<Candidate>
  candidates(const PlacementQuery &Query, Random &Source, TimePoint Now) const;
  [[nodiscard]] const UpstreamEntry *find(const UpstreamName &Name) const;
  /// \returns for how long all of a service's upstreams want nothing; zero
  /// where one may get a call, or none ever may.
  [[nodiscard]] Duration closedFor(const ServiceName &Service,
                                   TimePoint Now) const;
  /// \returns whether any upstream of the service is usable.
  [[nodiscard]] bool serves(const ServiceName &Service) const;
  /// \returns whether bytes came from an upstream within this time.
  [[nodiscard]] bool heardWithin(const UpstreamName &Name, Duration Time,
                                 TimePoint Now) const;
  [[nodiscard]] std::size_t size() const { return States.size(); }

private:
  /// One call under way.
  struct Try {
    UpstreamName Upstream;
    std::int64_t FreshTokens = 0;
    /// Expected time to the first byte.
    Duration Expected{};
    TimePoint At;
    bool Answered = false;
  };
  struct State {
    UpstreamEntry Entry;
    std::int64_t Outstanding = 0;
    /// Prompt tokens of calls from here without a first byte.
    std::int64_t PendingTokens = 0;
    /// The same, of the other instances together.
    std::int64_t PeerCalls = 0;
    std::int64_t PeerTokens = 0;
    StatedLoad Load;
    std::optional<TimePoint> LoadAt;
    double Failures = 0.0;
    TimePoint FailuresAt;
    double Slowness = 1.0;
    TimePoint SlownessAt;
    TimePoint ShunnedUntil;
    Duration ShunTime{};
    TimePoint LastHeard;
    /// Calls without a first byte, oldest first.
    std::map<AttemptId, TimePoint> Unanswered;
    Duration ServiceTime{};
    PrefixIndex Prefixes{0};
  };
  /// What holds for a service as a whole.
  struct ServiceState {
    HashRing Homes;
    std::vector<UpstreamName> Names;
    Duration TokenTime{};
  };

  /// \returns whether one more connection to an upstream stays within what it
  /// accepts from all instances.
  [[nodiscard]] static bool hasConnectionLeft(const State &Item,
                                              const PlacementQuery &Query,
                                              TimePoint Now);
  [[nodiscard]] bool inGoodStanding(const State &Item, TimePoint Now) const;
  [[nodiscard]] Candidate describe(const State &Item,
                                   const PlacementQuery &Query,
                                   std::size_t HomeRank, TimePoint Now) const;
  [[nodiscard]] std::vector<std::size_t> considered(const ServiceState &Service,
                                                    const PlacementQuery &Query,
                                                    Random &Source) const;
  [[nodiscard]] static double failureShare(const State &Item, TimePoint Now);
  [[nodiscard]] static double slowdown(const State &Item, TimePoint Now);
  [[nodiscard]] static double load(const State &Item, TimePoint Now);
  void noteOutcome(State &Item, double Failed, double Weight, TimePoint Now);
  void shun(State &Item, TimePoint Now);
  void learn(State &Item, const Try &Done, TimePoint Now);
  State *state(const UpstreamName &Name);
  void sumPeerLoads();

  /// What one peer last told.
  struct PeerLoad {
    LoadNotice Told;
    TimePoint At;
  };

  FailureDomain Domain;
  std::map<UpstreamName, State> States;
  std::map<ServiceName, ServiceState> Services;
  std::map<AttemptId, Try> Tries;
  DispatchGate Gate;
  std::map<InstanceId, PeerLoad> PeerLoads;
};

/// @}

} // namespace bronzeward
