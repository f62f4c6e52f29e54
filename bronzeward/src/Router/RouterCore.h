#pragma once

#include "bronzeward/Request"
#include "bronzeward/src/Router/ConfigurationFollower.h"
#include "bronzeward/src/Router/InstanceCore.h"
#include "bronzeward/src/Router/InstanceRegistry.h"

#include <memory>
#include <optional>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief One router instance whose configuration is the operators' text, kept
/// in the store; see docs/DESIGN.md.
class RouterCore : public InstanceCore {
public:
  RouterCore(RouterIdentity Who, RouterDependencies Dependencies);
  RouterCore(const RouterCore &) = delete;
  RouterCore &operator=(const RouterCore &) = delete;

  /// \brief Registers the instance and reads the configuration.
  void start(TimePoint Now) override;
  void runTimers(TimePoint Now) override { Timers.runDue(Now); }

  void onCallerRequest(CallerRequest In, TimePoint Now) override;
  void onCallerGone(CallerTicket Ticket, TimePoint Now) override;
  void onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                      TimePoint Now) override;
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now) override;
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now) override;
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                         TimePoint Now) override;
  void onStoreReply(StoreCallId Id, const StoreReply &Reply,
                    TimePoint Now) override;
  void onStoreProgress(StoreCallId Id, StoreProgress Arrived,
                       TimePoint Now) override {
    Store.onProgress(Id, Now, Arrived);
  }
  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now) override;
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now) override;
  void onUpstreamRefused(const UpstreamName &, TimePoint) override {}
  void onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                    bool Leaving) override;

  /// \brief Stops admitting requests once the balancer had time to notice that
  /// the instance is not ready.
  void drain(TimePoint Now) override;
  void liftQuarantine(const ContentFingerprint &Content,
                      TimePoint Now) override;

  [[nodiscard]] std::optional<TimePoint> nextTimer() const override {
    return Timers.next();
  }
  [[nodiscard]] bool closing() const override { return false; }
  [[nodiscard]] bool drained() const override;
  [[nodiscard]] RouterStatus status(TimePoint Now) const override;
  /// \returns the upstreams of the configuration in force.
  [[nodiscard]] std::vector<UpstreamSpec> polledUpstreams() const override;
  [[nodiscard]] std::vector<Member> peers() const override {
    return Members.members();
  }
  [[nodiscard]] std::optional<CallerBounds> callerBounds() const override {
    return std::nullopt;
  }

private:
  void onRegistered(const Incarnation &Registered, TimePoint Now);
  void onMembersListed(std::vector<Member> Listed, TimePoint Now);
  void onConfiguration(ConfigurationVersion Version, Configuration Config,
                       TimePoint Now);
  void startEngine(TimePoint Now);
  void sendDigests(TimePoint Now);
  void finishDrain(TimePoint Now);
  [[nodiscard]] std::string notReadyReason(TimePoint Now) const;

  RouterIdentity Identity;
  RouterDependencies Deps;
  TimerQueue Timers;
  Random RandomSource;
  StoreClient Store;
  Membership Members;
  InstanceRegistry Registry;
  ConfigurationFollower Follower;
  std::optional<Incarnation> OwnIncarnation;
  std::optional<Configuration> Accepted;
  BudgetPolicy Policy;
  std::unique_ptr<RequestEngine> Engine;
  std::unique_ptr<BudgetAgent> Budgets;
  bool Draining = false;
  bool Removed = false;
};

/// @}

} // namespace bronzeward
