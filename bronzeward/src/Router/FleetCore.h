#pragma once

#include "bronzeward/Relay"
#include "bronzeward/src/Router/ConfigurationPull.h"
#include "bronzeward/src/Router/InstanceCore.h"
#include "bronzeward/src/Router/InstanceRegistry.h"
#include "bronzeward/src/Router/StartReport.h"
#include "bronzeward/src/Router/SuspectRecord.h"
#include "bronzeward/src/Router/UpstreamRegistry.h"
#include "bronzeward/src/Router/VersionRecord.h"
#include "bronzeward/src/Router/WatcherElection.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief Settings of an instance whose routes and upstreams come from the
/// platform's store.
struct FleetPolicy {
  BudgetPolicy Budget;
  RetryAllowance Retries;
  /// Maximum memory of the bodies of unfinished answers, in bytes.
  std::size_t MaxBufferedBytes = std::size_t{32} * 1024 * 1024;
  /// Longest wait of one watch on the store.
  std::chrono::milliseconds WatchWait{1500};
  /// Whether calls are placed by the memory that services state for their
  /// upstreams.
  bool PlaceByMemory = false;
  /// Time for the load balancer to notice that the instance is not ready.
  Duration UnreadyNotice = 2600ms;
  /// Time after the start of a drain at which the process is ended.
  Duration StopLimit = 8s;
  /// Addresses of peers, "ip:port", for an instance that cannot reach the
  /// store.
  std::vector<std::string> PeerSeeds;
};

/// \brief Codecs of the platform's store entries and call headers.
struct FleetCodecs {
  const DeploymentCodec &Deployment;
  const CallCodec &Calls;
};

/// \brief One router instance whose routes, upstreams and workspaces come from
/// the platform's store.
///
/// Some instances watch the store's keys and send the changes to the others. An
/// instance that cannot reach the store gets them from peers too.
class FleetCore : public InstanceCore, private PartNewsListener {
public:
  FleetCore(RouterIdentity Who, FleetPolicy Settings,
            RouterDependencies Dependencies, FleetCodecs Codecs);
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
  void onUpstreamRefused(const UpstreamName &Name, TimePoint Now) override {
    Engine.onUpstreamRefused(Name, Now);
  }
  void onLoadReport(const UpstreamName &, const LoadReport &, bool) override {}
  void onStoreReply(StoreCallId Id, const StoreReply &Reply,
                    TimePoint Now) override;
  void onStoreProgress(StoreCallId Id, StoreProgress Arrived,
                       TimePoint Now) override {
    Store.onProgress(Id, Now, Arrived);
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
  [[nodiscard]] bool drained() const override { return DrainDone; }
  [[nodiscard]] RouterStatus status(TimePoint Now) const override;
  [[nodiscard]] std::vector<UpstreamSpec> polledUpstreams() const override {
    return {};
  }
  [[nodiscard]] std::vector<Member> peers() const override;
  [[nodiscard]] std::optional<CallerBounds> callerBounds() const override;

private:
  /// Applies changes of the operators' keys.
  class OperatorListener : public StoreFollowerListener {
  public:
    explicit OperatorListener(FleetCore &Core) : Owner(Core) {}
    void onListed(const std::vector<StoreEntry> &Entries,
                  std::uint64_t Revision, TimePoint Now) override;
    void onListedInPart(const std::vector<StoreEntry> &Entries,
                        TimePoint Now) override;
    void onChanged(const StoreEntry &Entry, TimePoint Now) override;

  private:
    FleetCore &Owner;
  };
  /// Applies changes of the upstreams' registry entries.
  class UpstreamListener : public StoreFollowerListener {
  public:
    explicit UpstreamListener(FleetCore &Core) : Owner(Core) {}
    void onListed(const std::vector<StoreEntry> &Entries,
                  std::uint64_t Revision, TimePoint Now) override;
    void onListedInPart(const std::vector<StoreEntry> &Entries,
                        TimePoint Now) override;
    void onChanged(const StoreEntry &Entry, TimePoint Now) override;

  private:
    FleetCore &Owner;
  };

  void onPartNewsLearned(TimePoint Now) override;
  void onRegistered(const Incarnation &Registered, TimePoint Now);
  void onMembersListed(std::vector<Member> Listed, TimePoint Now);
  /// Updates the instances among which issuers of permits are selected.
  void updatePermitIssuers(TimePoint Now);
  /// Records that other instances list this one until a time at least. Only
  /// then does it issue permits, since others may do so afterwards.
  void confirmMembership(TimePoint Until);
  /// Confirms the membership while most instances of a small fleet are heard:
  /// they do not drop an instance that they hear.
  void confirmMembershipByPeers(TimePoint Now);
  void onConfigurationText(const std::string &Text, const std::string &From,
                           TimePoint Now);
  void onUpstreamList(const InstanceId &From, const UpstreamList &Message,
                      TimePoint Now);
  void updateUsableUpstreams(TimePoint Now);
  /// \returns when this instance regained contact with the store or a watcher;
  /// from then on, upstreams whose entries had lapsed register again.
  [[nodiscard]] std::optional<TimePoint> storeRecoveredAt() const;
  /// \returns when all entries of upstreams were last known to be current.
  [[nodiscard]] std::optional<TimePoint> upstreamsConfirmedAt() const;
  /// \returns when the store became reachable again, if a complete list from a
  /// peer follows an outage: now, unless this instance noticed it before.
  [[nodiscard]] std::optional<TimePoint> outageEndedAt(TimePoint Now) const;
  void updateRegistryState(TimePoint Now);
  /// Updates which versions of services with resumable routes are listed.
  void updateVersions(std::vector<UpstreamEntry> Listed, TimePoint Now);
  /// Reads or writes the record of versions if that is due.
  void maintainVersionRecord(TimePoint Now);
  /// Resumes or pauses watching the store, as the election demands.
  void updateWatchRole(TimePoint Now);
  /// Sends a digest to the instances that rely on this one as their watcher.
  void sendFollowerDigests();
  /// Applies a change that the store reported, and queues it for peers.
  void applyUpstreamChange(const StoreEntry &Entry, const RegistryNews &News,
                           TimePoint Now);
  /// Adds a change to the next batch for peers that do not watch the store.
  void queueChange(const StoreEntry &Entry, TimePoint Now);
  /// Sends the batch of changes.
  void sendChanges(TimePoint Now);
  /// Applies the configuration among entries of the store.
  void applyConfiguration(const std::vector<StoreEntry> &Listed, TimePoint Now);
  /// Stops or resumes new calls to failure domains and tells the peers.
  void onEvacuationsChanged(const std::string &From, TimePoint Now);
  /// Sends the evacuated failure domains to followers and some other peers.
  void sendEvacuations();
  void onEvacuationNotice(const InstanceId &From, const PeerDigest &Message,
                          TimePoint Now);
  void onPeerConfiguration(const InstanceId &From,
                           const ConfigurationText &Message, TimePoint Now);
  void sendConfiguration(const InstanceId &To);
  /// Reads a configuration of at least the required version from the store.
  void readNewerConfiguration(ConfigurationVersion Required, TimePoint Now);

  void gossip(TimePoint Now);
  /// Sends what was learned about prompt parts to some peers at once, so that
  /// it spreads from peer to peer.
  void sendPartNews(TimePoint Now);
  /// Repeats the evidence of crashes to a peer that may lack some.
  void repeatPartNews(const InstanceId &Peer, TimePoint Now);
  void sendLoad(TimePoint Now);
  void onDigest(const InstanceId &From, const PeerDigest &Message,
                TimePoint Now);
  [[nodiscard]] PeerDigest digest() const;
  /// Offers this instance's configuration to a peer with an older one, or
  /// requests the peer's if it is newer.
  void compareConfigurations(const InstanceId &From, const PeerDigest &Message,
                             TimePoint Now);
  /// Requests a newer configuration from the peer that has it, or reads it from
  /// the store where peers do not reply.
  void onVersionOffered(const InstanceId &From, ConfigurationVersion Offered,
                        TimePoint Now);
  /// Sends missing upstream entries to a peer, or requests them from it. Counts
  /// the digest as a watcher's confirmation where nothing is missing here.
  void compareUpstreams(const InstanceId &From, const PeerDigest &Message,
                        TimePoint Now);
  /// \returns every peer except this instance, one per address.
  [[nodiscard]] std::vector<InstanceId> otherPeers() const;
  /// \returns the peers among which the receivers of digests are drawn.
  [[nodiscard]] std::vector<InstanceId> gossipPeers() const;
  /// Logs when the store becomes unreachable or reachable.
  void checkStore(TimePoint Now);
  void reportStoreCalls(TimePoint Now);
  /// Logs what the start waits for, and when each step was complete.
  void reportStart(TimePoint Now);
  /// Logs when the event loop is behind its timers.
  void reportDelay(TimePoint Now);
  void housekeeping(TimePoint Now);
  void finishDrain(TimePoint Now);
  /// Ends the calls that the end of the process would cut off.
  void endLastCalls(TimePoint Now);
  [[nodiscard]] bool storeUnreachable() const;
  [[nodiscard]] std::string notReadyReason(TimePoint Now) const;

  RouterIdentity Identity;
  FleetPolicy Policy;
  RouterDependencies Deps;
  FleetCodecs Codecs;
  TimerQueue Timers;
  Random RandomSource;
  StoreClient Store;
  Membership Members;
  InstanceRegistry Registry;
  OperatorListener OperatorChanges;
  UpstreamListener UpstreamChanges;
  StoreFollower OperatorKeys;
  StoreFollower UpstreamKeys;
  UpstreamRegistry Upstreams;
  EvacuatedDomains Evacuated;
  WatcherElection Election;
  RateLimitAgent Limits;
  VersionHistory Versions;
  VersionRecord StoredVersions;
  StreamOriginAgent Origins;
  RelayEngine Engine;
  SuspectRecord StoredSuspects;
  std::unique_ptr<BudgetAgent> Budgets;
  std::optional<Incarnation> OwnIncarnation;
  ConfigurationVersion Version;
  std::string CurrentText;
  /// Compressed CurrentText, created when it is first sent.
  std::optional<PackedText> CurrentPacked;
  ConfigurationTextCounters Texts;
  /// Services to which routes with resumable streams lead.
  std::set<ServiceName> ResumableServices;
  /// Batch of changes that is sent next.
  std::vector<StoreEntry> UnsentChanges;
  /// Revision after which UnsentChanges holds every change.
  std::uint64_t UnsentSince = 0;
  TimePoint NextFollowerDigest;
  TimePoint NextRecordRequest;
  bool ReadingConfiguration = false;
  ConfigurationPull Pull;
  /// When the last message of each peer arrived.
  std::map<InstanceId, TimePoint> LastHeardAt;
  /// Peers that cannot reach the store, with the time of their last digest.
  std::map<InstanceId, TimePoint> PeersWithoutStore;
  /// Peers that are not in the list of members, known from their digests or
  /// from the seeds in the settings.
  std::map<InstanceId, Member> UnlistedPeers;
  /// When the next entry of an upstream lapses.
  std::optional<TimePoint> NextLapse;
  TimePoint MemberUntil;
  TimePoint NextExcessReturn;
  TimePoint NextStoreReport;
  std::optional<TimePoint> HousekeepingDue;
  bool PartNewsScheduled = false;
  /// Peers that may lack evidence of crashes.
  PeerRepetitions PartNewsRepetitions;
  bool EvacuationNewsScheduled = false;
  /// Until then, the instance is not ready because of its own congestion.
  TimePoint CongestedUntil;
  LoadNotice SentLoad;
  TimePoint SentLoadAt;
  std::optional<TimePoint> StartedAt;
  /// Empty once every step of the start was logged.
  std::optional<StartReport> Start;
  std::optional<TimePoint> DrainingSince;
  bool StoreWasUnreachable = true;
  bool Closing = false;
  bool DrainDone = false;
};

/// @}

} // namespace bronzeward
