#pragma once

#include "bronzeward/Relay"
#include "bronzeward/src/Router/ConfigurationPull.h"
#include "bronzeward/src/Router/InstanceCore.h"
#include "bronzeward/src/Router/InstanceRegistry.h"
#include "bronzeward/src/Router/WatchDuty.h"

#include <map>
#include <memory>
#include <optional>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief How an instance behaves whose routes and upstreams come from the
/// platform's store.
struct FleetPolicy {
  BudgetPolicy Budget;
  RetryAllowance Retries;
  /// Longest wait of one watch on the store.
  std::chrono::milliseconds WatchWait{1500};
  /// Time that the balancer has to notice that the instance is not ready.
  Duration UnreadyNotice = 2600ms;
  /// Time from the order to stop for which calls are still taken; later ones
  /// might not end in time.
  Duration AdmitWhileDraining = 3500ms;
  /// Time from the order to stop after which grants that could not be returned
  /// are left behind.
  Duration DrainLimit = 6500ms;
  /// Peers' addresses, "ip:port", for an instance that the store does not
  /// answer.
  std::vector<std::string> PeerSeeds;
};

/// \brief How the platform's store and headers are read.
struct FleetCodecs {
  const DeploymentCodec &Deployment;
  const CallCodec &Calls;
};

/// \brief One router instance whose routes, upstreams and workspaces come from
/// the platform's store by watches, or from peers where the store does not
/// answer this instance.
class FleetCore : public InstanceCore {
public:
  FleetCore(RouterIdentity Who, FleetPolicy Settings, RouterSurroundings Parts,
            FleetCodecs Codecs);
  FleetCore(const FleetCore &) = delete;
  FleetCore &operator=(const FleetCore &) = delete;

  void start(TimePoint Now) override;
  void runTimers(TimePoint Now) override { Timers.runDue(Now); }
  void onCallerRequest(CallerRequest In, TimePoint Now) override {
    Engine.onCallerRequest(std::move(In), Now);
  }
  void onCallerGone(CallerTicket Ticket, TimePoint Now) override {
    Engine.onCallerGone(Ticket, Now);
  }
  void onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                      TimePoint Now) override {
    Engine.onUpstreamHead(Attempt, Head, Now);
  }
  void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                       TimePoint Now) override {
    Engine.onUpstreamBytes(Attempt, Bytes, Now);
  }
  void onUpstreamEnd(AttemptId Attempt, TimePoint Now) override {
    Engine.onUpstreamEnd(Attempt, Now);
  }
  void onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                         TimePoint Now) override {
    Engine.onUpstreamFailure(Attempt, How, Now);
  }
  void onLoadReport(const UpstreamName &, const LoadReport &, bool) override {}
  void onStoreReply(StoreCallId Id, const StoreReply &Reply,
                    TimePoint Now) override;
  void onStoreProgress(StoreCallId Id, TimePoint Now) override {
    Store.onProgress(Id, Now);
  }
  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now) override;
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now) override;
  void drain(TimePoint Now) override;
  void liftQuarantine(const ContentFingerprint &Content,
                      TimePoint Now) override;

  [[nodiscard]] std::optional<TimePoint> nextTimer() const override {
    return Timers.next();
  }
  [[nodiscard]] bool closing() const override { return Closing; }
  [[nodiscard]] bool drained() const override { return Removed; }
  [[nodiscard]] RouterStatus status(TimePoint Now) const override;
  [[nodiscard]] std::vector<UpstreamSpec> polledUpstreams() const override {
    return {};
  }
  [[nodiscard]] std::vector<Member> peers() const override;
  [[nodiscard]] std::optional<CallerBounds> callerBounds() const override;

private:
  /// Takes in the configuration's key.
  class ConfigurationFeed : public StoreFollowerListener {
  public:
    explicit ConfigurationFeed(FleetCore &Core) : Owner(Core) {}
    void onListed(const std::vector<StoreEntry> &Entries, std::uint64_t,
                  TimePoint Now) override;
    void onChanged(const StoreEntry &Entry, TimePoint Now) override;

  private:
    FleetCore &Owner;
  };
  /// Takes in the upstreams' registry entries.
  class UpstreamFeed : public StoreFollowerListener {
  public:
    explicit UpstreamFeed(FleetCore &Core) : Owner(Core) {}
    void onListed(const std::vector<StoreEntry> &Entries,
                  std::uint64_t Revision, TimePoint Now) override;
    void onChanged(const StoreEntry &Entry, TimePoint Now) override;

  private:
    FleetCore &Owner;
  };

  void onRegistered(const Incarnation &Registered, TimePoint Now);
  void onMembersListed(std::vector<Member> Listed, TimePoint Now);
  void onConfigurationText(const std::string &Text, const std::string &From,
                           TimePoint Now);
  void takeUpstreams(const std::vector<StoreEntry> &Entries,
                     std::uint64_t Revision,
                     std::optional<TimePoint> RegainedAt, TimePoint Now);
  void takeUpstream(const StoreEntry &Entry,
                    std::optional<TimePoint> RegainedAt, TimePoint Now);
  void onUpstreamList(const UpstreamList &Message, TimePoint Now);
  void refreshUsable(TimePoint Now);
  /// \returns when entries that lapsed with the store began to come back.
  [[nodiscard]] std::optional<TimePoint> storeRegainedAt() const;
  /// Follows the store's keys, or leaves that to the watchers.
  void updateWatching(TimePoint Now);
  /// Tells those who rely on this instance how far it knows the keys.
  void tellFollowers();
  /// Gathers a change for those who do not follow the store themselves.
  void passOnChange(const StoreEntry &Entry, TimePoint Now);
  void sendChanges(TimePoint Now);
  /// \returns every entry that changed after a revision, or all of them where
  /// the changes since are not known.
  [[nodiscard]] UpstreamList changesSince(std::uint64_t Revision) const;
  void onPeerConfiguration(const InstanceId &From,
                           const ConfigurationText &Message, TimePoint Now);
  void sendConfiguration(const InstanceId &To);
  void readNewerConfiguration(ConfigurationVersion Wanted, TimePoint Now);

  void gossip(TimePoint Now);
  void tellLoad(TimePoint Now);
  void onDigest(const InstanceId &From, const PeerDigest &Message,
                TimePoint Now);
  [[nodiscard]] PeerDigest digest() const;
  /// Tells a peer whose configuration is older, or gets a newer one.
  void compareConfigurations(const InstanceId &From, const PeerDigest &Message,
                             TimePoint Now);
  /// Gets a newer configuration that a peer has: from that peer, or from the
  /// store where peers do not answer.
  void onOffered(const InstanceId &From, ConfigurationVersion Offered,
                 TimePoint Now);
  /// Answers a peer that knows less of the upstreams, or relies on one that
  /// knows as much.
  void compareUpstreams(const InstanceId &From, const PeerDigest &Message,
                        TimePoint Now);
  [[nodiscard]] std::vector<InstanceId> otherPeers() const;
  /// \returns the peers that digests go to.
  [[nodiscard]] std::vector<InstanceId> gossipPeers() const;
  void checkStore(TimePoint Now);
  void reportStoreCalls(TimePoint Now);
  void housekeeping(TimePoint Now);
  void finishDrain(TimePoint Now);
  [[nodiscard]] bool storeAway() const;
  [[nodiscard]] std::string notReadyReason(TimePoint Now) const;

  RouterIdentity Identity;
  FleetPolicy Policy;
  RouterSurroundings Around;
  FleetCodecs Codecs;
  TimerQueue Timers;
  Random Source;
  StoreClient Store;
  Membership Members;
  InstanceRegistry Registry;
  ConfigurationFeed Configurations;
  UpstreamFeed Registrations;
  StoreFollower ConfigurationKeys;
  StoreFollower UpstreamKeys;
  UpstreamDirectory Directory;
  WatchDuty Duty;
  RelayEngine Engine;
  std::unique_ptr<BudgetAgent> Budgets;
  std::optional<Incarnation> Life;
  ConfigurationVersion Version;
  std::string CurrentText;
  /// CurrentText for sending, made when it is first asked for.
  std::optional<PackedText> CurrentPacked;
  ConfigurationTextCounters Texts;
  /// Registry entries as stored, for peers that the store does not answer.
  std::map<std::string, StoreEntry> Entries;
  /// Revision of the list that Entries began with; changes since are all known.
  std::uint64_t EntriesSince = 0;
  /// Changes that are sent together.
  std::vector<StoreEntry> UnsentChanges;
  /// Revision after which they are all the changes.
  std::uint64_t UnsentSince = 0;
  TimePoint NextFollowerDigest;
  bool ReadingConfiguration = false;
  ConfigurationPull Pull;
  /// When each peer was last heard.
  std::map<InstanceId, TimePoint> LastHeard;
  /// When each peer that has lost the store said so last.
  std::map<InstanceId, TimePoint> WithoutStore;
  /// Peers that are not listed, by what they or the settings say.
  std::map<InstanceId, Member> Unlisted;
  std::optional<TimePoint> LapseCheck;
  TimePoint NextReturn;
  TimePoint NextStoreReport;
  LoadNotice ToldLoad;
  TimePoint ToldLoadAt;
  std::optional<TimePoint> StartedAt;
  std::optional<TimePoint> DrainingSince;
  bool StoreWasAway = true;
  bool Closing = false;
  bool Removed = false;
};

/// @}

} // namespace bronzeward
