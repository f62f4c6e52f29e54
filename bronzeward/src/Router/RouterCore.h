#pragma once

#include "bronzeward/Request"
#include "bronzeward/src/Router/ConfigurationFollower.h"
#include "bronzeward/src/Router/InstanceRegistry.h"
#include "bronzeward/src/Router/RouterStatus.h"

#include <memory>
#include <optional>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief What an instance knows of itself from its settings.
struct RouterIdentity {
  InstanceId Instance;
  FailureDomain Domain;
  /// Address at which peers reach it, "ip:port".
  std::string PeerAddress;
  /// Seed of its random numbers.
  std::uint64_t Seed = 0;
  StorePolicy Store;
};

/// \brief Interfaces through which an instance reaches the outside.
struct RouterSurroundings {
  StorePort &Store;
  PeerPort &Peers;
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
};

/// \brief One router instance, driven by events; see docs/DESIGN.md.
class RouterCore {
public:
  RouterCore(RouterIdentity Who, RouterSurroundings Parts);
  RouterCore(const RouterCore &) = delete;
  RouterCore &operator=(const RouterCore &) = delete;

  /// \brief Registers the instance and reads the configuration.
  void start(TimePoint Now);
  /// \brief Runs every timer due at Now.
  void runTimers(TimePoint Now) { Timers.runDue(Now); }

  void onCallerRequest(CallerRequest In, TimePoint Now);
  void onCallerGone(CallerTicket Ticket, TimePoint Now);
  void onStoreReply(StoreCallId Id, const StoreReply &Reply, TimePoint Now);
  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now);
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now);
  void onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                    bool Leaving);
  /// \returns the engine, for the upstreams' events.
  RequestEngine &requests() { return *Engine; }
  [[nodiscard]] bool started() const { return Engine != nullptr; }

  /// \brief Begins a graceful stop: new requests are refused, running ones
  /// finish, grants go back.
  void drain(TimePoint Now);
  /// \brief Ends an operator's quarantine of a content.
  void liftQuarantine(const ContentFingerprint &Content, TimePoint Now);

  /// \returns whether nothing is left to do before a stop.
  [[nodiscard]] bool drained() const;
  [[nodiscard]] std::optional<TimePoint> nextTimer() const {
    return Timers.next();
  }
  [[nodiscard]] RouterStatus status(TimePoint Now) const;
  /// \returns the upstreams of the configuration in force.
  [[nodiscard]] std::vector<UpstreamSpec> upstreams() const;
  [[nodiscard]] const std::vector<Member> &members() const {
    return Members.members();
  }

private:
  void onRegistered(const Incarnation &Registered, TimePoint Now);
  void onListed(std::vector<Member> Listed, TimePoint Now);
  void onConfiguration(ConfigurationVersion Version, Configuration Text,
                       TimePoint Now);
  void startServing(TimePoint Now);
  void sendDigests(TimePoint Now);
  void finishDrain(TimePoint Now);
  [[nodiscard]] std::string notReadyReason(TimePoint Now) const;

  RouterIdentity Identity;
  RouterSurroundings Around;
  TimerQueue Timers;
  Random Source;
  StoreClient Store;
  Membership Members;
  InstanceRegistry Registry;
  ConfigurationFollower Follower;
  std::optional<Incarnation> Life;
  std::optional<Configuration> Accepted;
  BudgetPolicy Policy;
  std::unique_ptr<RequestEngine> Engine;
  std::unique_ptr<BudgetAgent> Budgets;
  bool Draining = false;
  bool Removed = false;
};

/// @}

} // namespace bronzeward
