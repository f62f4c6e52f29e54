#include "bronzeward/src/Router/FleetCore.h"

#include "bronzeward/src/Router/FleetReports.h"

#include <algorithm>
#include <array>
#include <set>

namespace bronzeward {

/// Longest wait of a watch on the upstreams' keys. Together with the time after
/// which a reply counts as lost, it is the longest time for which a change goes
/// unnoticed if a connection stalls; an upstream that leaves must receive no
/// new calls after two seconds.
constexpr std::chrono::milliseconds MaxUpstreamWatchWait{1000};
/// Time between two digests to peers while the store is reachable, and while it
/// is not.
constexpr Duration GossipPeriod = 500ms;
constexpr Duration UrgentGossipPeriod = 250ms;
/// Number of peers that receive each digest while the store is reachable, and
/// while it is not. The latter covers all peers of a small fleet; where part of
/// a large fleet cannot reach the store, it includes some peers that can.
constexpr std::size_t GossipFanout = 3;
constexpr std::size_t UrgentGossipFanout = 7;
/// A peer receives each change of an upstream for this long after it reported
/// that the store is unreachable.
constexpr Duration PeerWithoutStoreTimeout = 1s;
/// Time between two notices of this instance's load when it changed, and when
/// it did not.
constexpr Duration LoadPeriod = 100ms;
constexpr Duration LoadRepeatPeriod = 500ms;
/// A peer stays a member for this long after its last message, even if its
/// entry in the store lapsed.
constexpr Duration PeerTimeout = 2s;
/// Longest time by which a list of instances lags behind the store.
constexpr Duration StaleListAge = 3s;
/// Time between two repetitions of evidence to one peer, whose link may be
/// full.
constexpr Duration PartNewsRepeatPeriod = 2s;
/// Time between two digests of a watcher to its followers.
constexpr Duration FollowerDigestPeriod = 1s;
/// Time for which changes are collected before they are sent in one batch.
constexpr Duration ChangeBatchDelay = 30ms;
/// Number of peers to which an instance of a large fleet sends digests. The set
/// is fixed, so that each instance keeps few connections.
constexpr std::size_t MaxGossipPeers = 8;
/// Number of peers to which news about prompt parts is passed on at once: all
/// of a small fleet, and enough for the news to reach every instance of a large
/// one in a few steps.
constexpr std::size_t PartNewsFanout = 3;
/// Number of peers to which an instance of a large fleet passes on a changed
/// evacuation at once, besides its followers.
constexpr std::size_t EvacuationFanout = 3;
/// Time after its last sign for which congestion makes an instance unready: the
/// load balancer needs about two seconds to notice, and takes as long to return
/// new connections to the instance.
constexpr Duration CongestionRest = 3s;
/// Time for which news about prompt parts is collected before it is sent.
constexpr Duration PartNewsDelay = 200ms;
/// Time between two checks of state that changes without an event.
constexpr Duration HousekeepingPeriod = 100ms;
/// Delay of the housekeeping that is logged.
constexpr Duration ReportedDelay = 250ms;
/// Time between two log lines with the counts of store calls.
constexpr Duration StoreReportPeriod = 10s;
/// Time between two returns of excess budget.
constexpr Duration ReturnPeriod = 1s;
/// Time after the start of a drain, at most, for which all calls are admitted.
/// Later ones only if their time limit ends before the instance stops: callers
/// can still reach other instances.
constexpr Duration MaxFullAdmission = 2750ms;
/// The same as a part of the time to stop.
constexpr int FullAdmissionDivisor = 3;
/// Time before the end of the process at which the remaining calls are ended,
/// so that their answers are written and their bills committed.
constexpr Duration LastAnswersTime = 600ms;
/// Time before the end of the process from which it no longer waits for its
/// grants to be returned.
constexpr Duration LastReturnsTime = 1500ms;
/// Time between two checks whether a drain is complete.
constexpr Duration DrainCheckPeriod = 50ms;
/// Time between two requests to peers for the recorded versions of upstreams.
constexpr Duration RecordRequestPeriod = 500ms;
/// Time after which an instance that never reached the store admits requests,
/// with the configuration and upstreams that peers sent.
constexpr Duration RegistrationTimeout = 5s;

/// \returns the time after the start of a drain for which all calls are
/// admitted.
static Duration fullAdmissionTime(Duration StopLimit) {
  return std::min(MaxFullAdmission, StopLimit / FullAdmissionDivisor);
}

static Member ownMember(const RouterIdentity &Who) {
  return Member{Incarnation{Who.Instance, 0}, Who.Domain, Who.PeerAddress,
                false, Who.Capacity};
}

FleetCore::FleetCore(RouterIdentity Who, FleetPolicy Settings,
                     RouterDependencies Dependencies,
                     FleetCodecs PlatformCodecs)
    : Identity(std::move(Who)), Policy(std::move(Settings)), Deps(Dependencies),
      Codecs(PlatformCodecs), RandomSource(Identity.Seed),
      Store(Dependencies.Store, Timers, RandomSource, Identity.Store),
      Registry(ownMember(Identity), Store, Timers, RandomSource),
      OperatorChanges(*this), UpstreamChanges(*this),
      OperatorKeys(PlatformCodecs.Deployment.operatorPrefix(), Policy.WatchWait,
                   Store, Timers, RandomSource, OperatorChanges),
      UpstreamKeys(PlatformCodecs.Deployment.upstreamPrefix(),
                   std::min(Policy.WatchWait, MaxUpstreamWatchWait), Store,
                   Timers, RandomSource, UpstreamChanges),
      Upstreams(PlatformCodecs.Deployment, Dependencies.Log),
      Election(Identity.Instance, Identity.Domain),
      Limits(Identity.Instance,
             {Dependencies.Peers, Timers, RandomSource, Dependencies.Log}),
      StoredVersions({Store, RandomSource, Dependencies.Log, Versions}),
      Origins(Identity.Instance,
              {Dependencies.Peers, Timers, Members, Versions}),
      Engine(Identity.Domain, Policy.Retries,
             RelayDependencies{Dependencies.Callers, Dependencies.Upstreams,
                               Dependencies.Log, Dependencies.Wall, Timers,
                               RandomSource, PlatformCodecs.Calls, Members,
                               Limits}),
      StoredSuspects({Store, RandomSource, Dependencies.Log, Dependencies.Wall,
                      Engine.partQuarantine()}),
      PartNewsRepetitions(PartNewsRepeatPeriod) {
  Engine.notify(*this);
  Engine.limitVersions(Origins);
  Engine.limitBufferedBytes(Policy.MaxBufferedBytes);
  for (const std::string &Address : Policy.PeerSeeds)
    if (Address != Identity.PeerAddress)
      UnlistedPeers[InstanceId{"seed-" + Address}] = Member{
          Incarnation{InstanceId{"seed-" + Address}, 0}, {}, Address, false};
}

void FleetCore::start(TimePoint Now) {
  StartedAt = Now;
  Start.emplace(Now);
  updatePermitIssuers(Now);
  Registry.start(
      Now,
      [this](const Incarnation &Registered, TimePoint At) {
        onRegistered(Registered, At);
      },
      [this](std::vector<Member> Listed, TimePoint At) {
        onMembersListed(std::move(Listed), At);
      });
  OperatorKeys.start(Now);
  UpstreamKeys.start(Now);
  gossip(Now);
  sendLoad(Now);
  housekeeping(Now);
}

// Registration and membership.

void FleetCore::onRegistered(const Incarnation &Registered, TimePoint Now) {
  OwnIncarnation = Registered;
  Deps.Log.onEvent("registered",
                   "life " + std::to_string(registrationOf(Registered)));
  Budgets = std::make_unique<BudgetAgent>(
      *OwnIncarnation, Identity.Domain, Policy.Budget,
      BudgetDependencies{Store, Deps.Peers, Timers, RandomSource, Engine});
  Budgets->onMembers(Members.members(), Now);
  Engine.attach(*Budgets, *OwnIncarnation, Now);
}

void FleetCore::onMembersListed(std::vector<Member> Listed, TimePoint Now) {
  // Entries may lapse while the store is unreachable. Peers whose messages
  // arrive are alive and stay members.
  Membership Latest;
  Latest.update(Listed);
  for (const Member &Item : Members.members()) {
    const auto Heard = LastHeardAt.find(Item.Identity.Instance);
    const bool Alive =
        Heard != LastHeardAt.end() && Now < Heard->second + PeerTimeout;
    if (Alive && Latest.find(Item.Identity.Instance) == nullptr)
      Listed.push_back(Item);
  }
  for (const Member &Item : Listed)
    UnlistedPeers.erase(Item.Identity.Instance);
  Members.update(Listed);
  Election.onMembers(Listed);
  Origins.setWatchers(Election.watchers());
  Origins.onMembersChanged(Now);
  updatePermitIssuers(Now);
  if (Latest.find(Identity.Instance) != nullptr)
    confirmMembership(Now + InstanceRegistry::listPeriod(Listed.size()) +
                      PeerTimeout);
  if (Budgets)
    Budgets->onMembers(std::move(Listed), Now);
}

void FleetCore::updatePermitIssuers(TimePoint Now) {
  std::vector<Member> Candidates = Members.members();
  if (Members.find(Identity.Instance) == nullptr)
    Candidates.push_back(ownMember(Identity));
  for (const auto &[Name, Item] : UnlistedPeers) {
    const auto Heard = LastHeardAt.find(Name);
    if (Heard != LastHeardAt.end() && Now < Heard->second + PeerTimeout)
      Candidates.push_back(Item);
  }
  // Instances read the list at different times, it may be stale, and an
  // instance that is not in it any more issues permits for a short time.
  const Duration Settling = InstanceRegistry::listPeriod(Candidates.size()) +
                            StaleListAge + PeerTimeout;
  Limits.onMembers(Candidates, Settling, Now);
}

void FleetCore::confirmMembership(TimePoint Until) {
  MemberUntil = std::max(MemberUntil, Until);
  if (!DrainingSince)
    Limits.stopIssuingAt(MemberUntil);
}

void FleetCore::confirmMembershipByPeers(TimePoint Now) {
  const std::vector<Member> &All = Members.members();
  // Instances of a large fleet hear few others.
  if (All.size() > SmallFleet)
    return;
  const auto Heard =
      std::count_if(All.begin(), All.end(), [&](const Member &Item) {
        const auto Found = LastHeardAt.find(Item.Identity.Instance);
        return Found != LastHeardAt.end() && Now < Found->second + PeerTimeout;
      });
  const auto Others = static_cast<std::ptrdiff_t>(
      All.size() - (Members.find(Identity.Instance) == nullptr ? 0 : 1));
  if (2 * Heard >= Others)
    confirmMembership(Now + PeerTimeout);
}

std::vector<Member> FleetCore::peers() const {
  std::vector<Member> All = Members.members();
  for (const auto &[Name, Item] : UnlistedPeers)
    All.push_back(Item);
  return All;
}

std::vector<InstanceId> FleetCore::otherPeers() const {
  std::vector<InstanceId> Others;
  std::set<std::string> Seen{Identity.PeerAddress};
  for (const Member &Item : peers())
    if (Seen.insert(Item.PeerAddress).second)
      Others.push_back(Item.Identity.Instance);
  return Others;
}

std::vector<InstanceId> FleetCore::gossipPeers() const {
  std::vector<InstanceId> Others = otherPeers();
  if (Others.size() <= SmallFleet)
    return Others;
  std::vector<std::pair<std::uint64_t, InstanceId>> Ranked;
  Ranked.reserve(Others.size());
  for (InstanceId &Peer : Others)
    Ranked.emplace_back(hash64(Identity.Instance.Value + Peer.Value),
                        std::move(Peer));
  std::partial_sort(Ranked.begin(), Ranked.begin() + MaxGossipPeers,
                    Ranked.end());
  Others.clear();
  for (std::size_t Index = 0; Index < MaxGossipPeers; ++Index)
    Others.push_back(std::move(Ranked[Index].second));
  return Others;
}

// Configuration.

void FleetCore::OperatorListener::onListed(
    const std::vector<StoreEntry> &Listed, std::uint64_t Revision,
    TimePoint Now) {
  Owner.applyConfiguration(Listed, Now);
  EvacuationNotice InForce;
  InForce.Revision = Revision;
  for (const StoreEntry &Entry : Listed)
    if (const std::optional<FailureDomain> Domain =
            Owner.Codecs.Deployment.evacuatedDomain(Entry.Key))
      InForce.Domains.push_back(*Domain);
  if (Owner.Evacuated.onListed(InForce))
    Owner.onEvacuationsChanged("store", Now);
}

void FleetCore::OperatorListener::onListedInPart(
    const std::vector<StoreEntry> &Entries, TimePoint Now) {
  for (const StoreEntry &Entry : Entries)
    onChanged(Entry, Now);
}

void FleetCore::OperatorListener::onChanged(const StoreEntry &Entry,
                                            TimePoint Now) {
  Owner.applyConfiguration({Entry}, Now);
  const std::optional<FailureDomain> Domain =
      Owner.Codecs.Deployment.evacuatedDomain(Entry.Key);
  if (Domain &&
      Owner.Evacuated.onChanged(*Domain, !Entry.Deleted, Entry.Revision))
    Owner.onEvacuationsChanged("store", Now);
}

void FleetCore::applyConfiguration(const std::vector<StoreEntry> &Listed,
                                   TimePoint Now) {
  const std::string Key = Codecs.Deployment.configurationKey();
  for (const StoreEntry &Entry : Listed)
    if (!Entry.Deleted && Entry.Key == Key)
      onConfigurationText(Entry.Value, "store", Now);
}

/// \returns the services to which routes with resumable streams lead.
static std::set<ServiceName>
resumableServices(const FleetConfiguration &Accepted) {
  std::set<ServiceName> Services;
  for (const RouteSpec &Route : Accepted.Routes)
    if (Route.Resumable)
      for (const RouteTarget &Target : Route.Targets)
        Services.insert(Target.Service);
  return Services;
}

void FleetCore::onConfigurationText(const std::string &Text,
                                    const std::string &From, TimePoint Now) {
  // A list after a gap in the history contains the text that is in force.
  if (Text == CurrentText)
    return;
  Result<FleetConfiguration> Parsed =
      Codecs.Deployment.parseConfiguration(Text);
  if (!Parsed) {
    Deps.Log.onEvent("configuration-invalid", describe(Parsed.error()));
    return;
  }
  if (Parsed.value().Version <= Version)
    return;
  Version = Parsed.value().Version;
  CurrentText = Text;
  CurrentPacked.reset();
  Pull.onAccepted();
  Deps.Log.onEvent("configuration", "version " +
                                        std::to_string(Version.Number) +
                                        " from " + From);
  if (!Policy.PlaceByMemory)
    for (RoutedService &Service : Parsed.value().Services)
      Service.MemoryTokens.reset();
  ResumableServices = resumableServices(Parsed.value());
  Engine.configure(std::move(Parsed).value(), Now);
  updateVersions(Upstreams.usable(Now), Now);
  sendFollowerDigests();
}

void FleetCore::onPeerConfiguration(const InstanceId &From,
                                    const ConfigurationText &Message,
                                    TimePoint Now) {
  ++Texts.Received;
  Pull.onArrived(From);
  if (Message.Version <= Version) {
    ++Texts.Known;
    return;
  }
  const Result<std::string> Text = unpackText(Message.Text);
  if (Text)
    onConfigurationText(Text.value(), From.Value, Now);
  else
    Deps.Log.onEvent("configuration-invalid",
                     "from " + From.Value + ": " + describe(Text.error()));
}

void FleetCore::sendConfiguration(const InstanceId &To) {
  ++Texts.Sent;
  if (!CurrentPacked)
    CurrentPacked = packText(CurrentText);
  Deps.Peers.send(To, ConfigurationText{Version, *CurrentPacked});
}

void FleetCore::readNewerConfiguration(ConfigurationVersion Required,
                                       TimePoint Now) {
  if (ReadingConfiguration)
    return;
  ReadingConfiguration = true;
  // A possibly stale read is cheaper and usually has the version; only if not,
  // the latest state is read.
  const auto Apply = [this](const StoreReply &Reply, TimePoint At) {
    ReadingConfiguration = false;
    if (Reply.Status == StoreStatus::Ok)
      applyConfiguration(Reply.Entries, At);
  };
  const std::string Key = Codecs.Deployment.configurationKey();
  Store.call(
      ListKeys{Key, "", true}, Now,
      [this, Apply, Key, Required](const StoreReply &Reply, TimePoint At) {
        Apply(Reply, At);
        if (Required <= Version)
          return;
        ReadingConfiguration = true;
        Store.call(ListKeys{Key, "", false}, At, Apply);
      });
}

// Evacuations.

void FleetCore::onEvacuationsChanged(const std::string &From, TimePoint Now) {
  const EvacuationNotice InForce = Evacuated.notice();
  std::string Names;
  for (const FailureDomain &Domain : InForce.Domains)
    Names += " " + Domain.Value;
  Deps.Log.onEvent("evacuation",
                   "failure domains:" + (Names.empty() ? " none" : Names) +
                       ", revision " + std::to_string(InForce.Revision) +
                       " from " + From);
  updateUsableUpstreams(Now);
  if (EvacuationNewsScheduled)
    return;
  // Changes of one store transaction arrive one after the other.
  EvacuationNewsScheduled = true;
  Timers.schedule(Now, [this](TimePoint) { sendEvacuations(); });
}

void FleetCore::sendEvacuations() {
  EvacuationNewsScheduled = false;
  std::vector<InstanceId> Others = gossipPeers();
  RandomSource.shuffle(Others);
  if (Members.members().size() > SmallFleet)
    Others.resize(std::min(Others.size(), EvacuationFanout));
  std::set<InstanceId> To(Election.followers().begin(),
                          Election.followers().end());
  To.insert(Others.begin(), Others.end());
  const PeerDigest Digest = digest();
  for (const InstanceId &Peer : To)
    Deps.Peers.send(Peer, Digest);
}

void FleetCore::onEvacuationNotice(const InstanceId &From,
                                   const PeerDigest &Message, TimePoint Now) {
  if (Evacuated.onListed(Message.Evacuations)) {
    onEvacuationsChanged("peer " + From.Value, Now);
    return;
  }
  // A peer without the store learns of an evacuation by its peers alone.
  if (Message.StoreUnreachable && Evacuated.isNewerThan(Message.Evacuations))
    Deps.Peers.send(From, digest());
}

// Upstreams.

void FleetCore::UpstreamListener::onListed(
    const std::vector<StoreEntry> &Listed, std::uint64_t Revision,
    TimePoint Now) {
  const RegistryNews News{"store list", false, Owner.upstreamsConfirmedAt(),
                          false, Owner.storeRecoveredAt()};
  Owner.Upstreams.onListed(Listed, Revision, News, Now);
  Owner.updateUsableUpstreams(Now);
  Owner.sendFollowerDigests();
}

void FleetCore::UpstreamListener::onListedInPart(
    const std::vector<StoreEntry> &Entries, TimePoint Now) {
  const RegistryNews News{"store list", false, Owner.upstreamsConfirmedAt(),
                          false, Owner.storeRecoveredAt()};
  for (const StoreEntry &Entry : Entries)
    Owner.applyUpstreamChange(Entry, News, Now);
  Owner.updateUsableUpstreams(Now);
}

void FleetCore::UpstreamListener::onChanged(const StoreEntry &Entry,
                                            TimePoint Now) {
  const RegistryNews News{"store watch", false, Owner.upstreamsConfirmedAt(),
                          true, Owner.storeRecoveredAt()};
  Owner.applyUpstreamChange(Entry, News, Now);
  Owner.updateUsableUpstreams(Now);
}

void FleetCore::applyUpstreamChange(const StoreEntry &Entry,
                                    const RegistryNews &News, TimePoint Now) {
  queueChange(Upstreams.onChanged(Entry, News, Now), Now);
  Upstreams.onCaughtUp(Entry.Revision);
}

std::optional<TimePoint> FleetCore::storeRecoveredAt() const {
  return std::max(UpstreamKeys.recoveredAt(), Election.recoveredAt());
}

std::optional<TimePoint> FleetCore::upstreamsConfirmedAt() const {
  return std::max(UpstreamKeys.lastReplyAt(), Election.confirmedAt());
}

std::optional<TimePoint> FleetCore::outageEndedAt(TimePoint Now) const {
  const bool InContact = UpstreamKeys.following() ? UpstreamKeys.inContact()
                                                  : !Election.watches(Now);
  return InContact ? storeRecoveredAt() : Now;
}

void FleetCore::updateRegistryState(TimePoint Now) {
  const std::optional<TimePoint> ConfirmedAt = upstreamsConfirmedAt();
  Engine.setRegistryState(
      {Upstreams.revision(), ConfirmedAt.value_or(TimePoint())});
  Versions.onConfirmed(ConfirmedAt);
  Versions.onComplete(UpstreamKeys.completeUntil());
  Origins.onListConfirmed(Now);
}

void FleetCore::queueChange(const StoreEntry &Entry, TimePoint Now) {
  if (UnsentChanges.empty()) {
    UnsentSince = Upstreams.revision();
    Timers.schedule(Now + ChangeBatchDelay,
                    [this](TimePoint At) { sendChanges(At); });
  }
  UnsentChanges.push_back(Entry);
}

void FleetCore::sendChanges(TimePoint Now) {
  UpstreamList Changed;
  Changed.Entries.swap(UnsentChanges);
  Changed.Since = UnsentSince;
  Changed.Revision = Changed.Entries.back().Revision;
  // If every instance sent each change to every peer, the number of messages
  // would grow with the square of the fleet.
  std::set<InstanceId> To(Election.followers().begin(),
                          Election.followers().end());
  for (const auto &[Peer, ReportedAt] : PeersWithoutStore)
    if (Now < ReportedAt + PeerWithoutStoreTimeout)
      To.insert(Peer);
  for (const InstanceId &Peer : To)
    Deps.Peers.send(Peer, Changed);
}

void FleetCore::onUpstreamList(const InstanceId &From,
                               const UpstreamList &Message, TimePoint Now) {
  RegistryNews News{"peer " + From.Value, true, upstreamsConfirmedAt(), false,
                    outageEndedAt(Now)};
  if (Message.Whole && Message.Revision > Upstreams.revision()) {
    Upstreams.onListed(Message.Entries, Message.Revision, News, Now);
    updateUsableUpstreams(Now);
    return;
  }
  News.OutageEndedAt = storeRecoveredAt();
  const bool NoGap = Message.Since <= Upstreams.revision();
  for (const StoreEntry &Entry : Message.Entries)
    Upstreams.onChanged(Entry, News, Now);
  if (NoGap)
    Upstreams.onCaughtUp(Message.Revision);
  updateUsableUpstreams(Now);
}

void FleetCore::updateUsableUpstreams(TimePoint Now) {
  const std::vector<UpstreamEntry> Usable = Upstreams.usable(Now);
  Engine.setUsable(Evacuated.withoutEvacuated(Usable), Now);
  NextLapse = Upstreams.nextRemoval(Now);
  updateVersions(Usable, Now);
  updateRegistryState(Now);
}

void FleetCore::updateVersions(std::vector<UpstreamEntry> Listed,
                               TimePoint Now) {
  std::erase_if(Listed, [this](const UpstreamEntry &Entry) {
    return !ResumableServices.contains(Entry.Service);
  });
  Versions.onListed(Listed, Now);
}

void FleetCore::maintainVersionRecord(TimePoint Now) {
  StoredVersions.update(Now);
  Origins.onVersionsChanged(Now);
  if (!storeUnreachable() || Now < NextRecordRequest)
    return;
  NextRecordRequest = Now + RecordRequestPeriod;
  for (const ServiceName &Service : Versions.unrecorded())
    Origins.requestRecord(Service);
}

// Peers.

PeerDigest FleetCore::digest() const {
  PeerDigest Digest;
  Digest.Configuration = Version;
  Digest.Draining = DrainingSince.has_value();
  Digest.UpstreamRevision = Upstreams.revision();
  Digest.StoreUnreachable = storeUnreachable();
  Digest.PeerAddress = Identity.PeerAddress;
  Digest.Evacuations = Evacuated.notice();
  // The followers of both kinds of keys are paused and resumed together.
  Digest.WatchesStore = !Digest.StoreUnreachable && UpstreamKeys.following() &&
                        OperatorKeys.inContact();
  return Digest;
}

void FleetCore::updateWatchRole(TimePoint Now) {
  if (Election.watches(Now)) {
    OperatorKeys.resume(Now);
    UpstreamKeys.resume(Now);
  } else {
    OperatorKeys.pause();
    UpstreamKeys.pause();
  }
  if (Now < NextFollowerDigest)
    return;
  NextFollowerDigest = Now + FollowerDigestPeriod;
  sendFollowerDigests();
}

void FleetCore::sendFollowerDigests() {
  if (Election.followers().empty())
    return;
  const PeerDigest Digest = digest();
  for (const InstanceId &Peer : Election.followers())
    Deps.Peers.send(Peer, Digest);
}

void FleetCore::gossip(TimePoint Now) {
  PeerDigest Digest = digest();
  Digest.RateLimits = Limits.news(Now);
  const PartNews News = Engine.partQuarantine().recentNews(Now);
  const bool HasNews = !News.Crashes.empty() || !News.Answered.empty() ||
                       !News.Quarantined.empty();
  std::vector<InstanceId> Others = gossipPeers();
  const std::size_t Fanout =
      Digest.StoreUnreachable ? UrgentGossipFanout : GossipFanout;
  for (std::size_t Sent = 0; Sent < Fanout && !Others.empty(); ++Sent) {
    const std::size_t Index = RandomSource.below(Others.size());
    Deps.Peers.send(Others[Index], Digest);
    if (HasNews)
      Deps.Peers.send(Others[Index], News);
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  const Duration Period =
      Digest.StoreUnreachable ? UrgentGossipPeriod : GossipPeriod;
  Timers.schedule(Now + Period, [this](TimePoint At) { gossip(At); });
}

void FleetCore::sendPartNews(TimePoint Now) {
  PartNewsScheduled = false;
  const PartNews News = Engine.partQuarantine().takeUnsent(Now);
  std::vector<InstanceId> Others = gossipPeers();
  RandomSource.shuffle(Others);
  if (Members.members().size() > SmallFleet)
    Others.resize(std::min(Others.size(), PartNewsFanout));
  for (const InstanceId &Peer : Others)
    Deps.Peers.send(Peer, News);
}

void FleetCore::repeatPartNews(const InstanceId &Peer, TimePoint Now) {
  PartNews News = Engine.partQuarantine().catchUpNews(Now);
  if (!News.Crashes.empty())
    Deps.Peers.send(Peer, std::move(News));
}

void FleetCore::onPartNewsLearned(TimePoint Now) {
  // A trial has to be recorded even if all instances are lost right after it.
  StoredSuspects.update(Now);
  if (PartNewsScheduled)
    return;
  PartNewsScheduled = true;
  Timers.schedule(Now + PartNewsDelay,
                  [this](TimePoint At) { sendPartNews(At); });
}

void FleetCore::sendLoad(TimePoint Now) {
  // Instances of large fleets place calls by the loads that upstreams report.
  if (Members.members().size() > SmallFleet + 1) {
    Timers.schedule(Now + LoadRepeatPeriod,
                    [this](TimePoint At) { sendLoad(At); });
    return;
  }
  const std::vector<InstanceId> Others = otherPeers();
  LoadNotice Load = Engine.upstreams().ownLoad();
  const bool Due = Now >= SentLoadAt + LoadRepeatPeriod;
  if (Load.Upstreams != SentLoad.Upstreams || Due) {
    SentLoad = std::move(Load);
    SentLoadAt = Now;
    for (const InstanceId &Peer : Others)
      Deps.Peers.send(Peer, SentLoad);
  }
  Engine.upstreams().expirePeerLoads(Now);
  Timers.schedule(Now + LoadPeriod, [this](TimePoint At) { sendLoad(At); });
}

void FleetCore::onDigest(const InstanceId &From, const PeerDigest &Message,
                         TimePoint Now) {
  if (Members.find(From) == nullptr && !Message.PeerAddress.empty()) {
    const bool New = !UnlistedPeers.contains(From);
    UnlistedPeers[From] =
        Member{Incarnation{From, 0}, {}, Message.PeerAddress, Message.Draining};
    if (New)
      updatePermitIssuers(Now);
  }
  if (Message.StoreUnreachable)
    PeersWithoutStore[From] = Now;
  else
    PeersWithoutStore.erase(From);
  onEvacuationNotice(From, Message, Now);
  compareConfigurations(From, Message, Now);
  compareUpstreams(From, Message, Now);
}

void FleetCore::compareConfigurations(const InstanceId &From,
                                      const PeerDigest &Message,
                                      TimePoint Now) {
  const bool LargeFleet = Members.members().size() > SmallFleet;
  if (Message.Configuration < Version &&
      (!LargeFleet || Message.StoreUnreachable))
    Deps.Peers.send(From, ConfigurationOffer{Version});
  onVersionOffered(From, Message.Configuration, Now);
}

void FleetCore::onVersionOffered(const InstanceId &From,
                                 ConfigurationVersion Offered, TimePoint Now) {
  if (Offered <= Version)
    return;
  const bool LargeFleet = Members.members().size() > SmallFleet;
  if (LargeFleet && !storeUnreachable()) {
    // A watcher receives the new version from its own watch. The others do not
    // use the store's bandwidth and calls while watchers reply to them.
    if (Election.watches(Now))
      return;
    if (Pull.unanswered(Now)) {
      readNewerConfiguration(Offered, Now);
      return;
    }
  }
  if (!Pull.mayAsk(From, Now))
    return;
  Pull.onAsked(From, Now);
  Deps.Peers.send(From, ConfigurationRequest{});
}

void FleetCore::compareUpstreams(const InstanceId &From,
                                 const PeerDigest &Message, TimePoint Now) {
  const std::uint64_t OwnRevision = Upstreams.revision();
  if (Message.UpstreamRevision < OwnRevision) {
    if (!Message.WatchesStore && !storeUnreachable())
      Deps.Peers.send(From, Upstreams.changesSince(Message.UpstreamRevision));
  } else if (Message.UpstreamRevision > OwnRevision) {
    // The watcher replies to a digest with the entries that are missing here.
    if (Message.WatchesStore && !Election.watches(Now))
      Deps.Peers.send(From, digest());
    return;
  }
  if (Message.WatchesStore && Message.Configuration <= Version)
    Election.onConfirmed(Now);
}

void FleetCore::onPeerMessage(const InstanceId &From,
                              const PeerMessage &Message, TimePoint Now) {
  LastHeardAt[From] = Now;
  if (PartNewsRepetitions.onHeard(From, Now))
    repeatPartNews(From, Now);
  if (const auto *Digest = std::get_if<PeerDigest>(&Message))
    onDigest(From, *Digest, Now);
  else if (const auto *Text = std::get_if<ConfigurationText>(&Message))
    onPeerConfiguration(From, *Text, Now);
  else if (const auto *Offer = std::get_if<ConfigurationOffer>(&Message))
    onVersionOffered(From, Offer->Version, Now);
  else if (std::holds_alternative<ConfigurationRequest>(Message))
    sendConfiguration(From);
  else if (const auto *List = std::get_if<UpstreamList>(&Message))
    onUpstreamList(From, *List, Now);
  else if (const auto *Load = std::get_if<LoadNotice>(&Message))
    Engine.upstreams().onPeerLoad(From, *Load, Now);
  else if (const auto *News = std::get_if<PartNews>(&Message))
    Engine.onPartNews(*News, From, Now);
  Limits.onPeerMessage(From, Message, Now);
  Origins.onPeerMessage(From, Message, Now);
  if (Budgets)
    Budgets->onPeerMessage(From, Message, Now);
}

void FleetCore::onPeerUnreachable(const InstanceId &Peer, TimePoint Now) {
  Limits.onPeerUnreachable(Peer);
  Origins.onPeerUnreachable(Peer);
  PartNewsRepetitions.onLost(Peer);
  if (Budgets)
    Budgets->onPeerUnreachable(Peer, Now);
}

// The store and time.

void FleetCore::onStoreReply(StoreCallId Id, const StoreReply &Reply,
                             TimePoint Now) {
  Store.onReply(Id, Reply, Now);
}

bool FleetCore::storeUnreachable() const {
  // A follower that is paused says nothing about the store: then only failed
  // calls show that it is unreachable.
  return Store.failingSince().has_value() ||
         (UpstreamKeys.following() && !UpstreamKeys.inContact());
}

void FleetCore::checkStore(TimePoint Now) {
  if (storeUnreachable() == StoreWasUnreachable)
    return;
  StoreWasUnreachable = !StoreWasUnreachable;
  std::string Detail =
      "upstreams known to revision " + std::to_string(Upstreams.revision());
  if (const std::optional<StoreFailure> &First = Store.firstFailure())
    Detail += ", " + describe(*First);
  Deps.Log.onEvent(StoreWasUnreachable ? "store-lost" : "store-regained",
                   Detail);
  if (!StoreWasUnreachable && Budgets)
    Budgets->onStoreRegained(Now);
}

void FleetCore::reportStoreCalls(TimePoint Now) {
  if (Now < NextStoreReport)
    return;
  NextStoreReport = Now + StoreReportPeriod;
  logStoreCalls(Store.counters(), Deps.Log);
  logConfigurationTexts(Texts, Deps.Log);
  if (const std::string Refused = Engine.takeRefusals(); !Refused.empty())
    Deps.Log.onEvent("refusals", Refused);
  if (Budgets)
    logBudgets(*Budgets, Deps.Log, Now);
}

void FleetCore::reportStart(TimePoint Now) {
  if (!Start)
    return;
  const RouteTable *Routes = Engine.routes();
  const bool Metered = Routes != nullptr &&
                       std::ranges::any_of(Routes->configuration().Workspaces,
                                           &WorkspaceAccess::Metered);
  const std::array<std::pair<StartStep, bool>, 6> Steps{{
      {StartStep::Registered, OwnIncarnation.has_value()},
      {StartStep::Listed, Members.find(Identity.Instance) != nullptr},
      {StartStep::Configured, Version.Number != 0},
      {StartStep::UpstreamsKnown, Engine.upstreams().size() != 0},
      {StartStep::FirstGrant,
       Metered ? Budgets && !Budgets->held().isZero() : Routes != nullptr},
      {StartStep::Ready, notReadyReason(Now).empty()},
  }};
  for (const auto &[Step, Done] : Steps)
    if (Done)
      Start->complete(Step, Now);
  if (const std::optional<std::string> Line = Start->takeLine(Now))
    Deps.Log.onEvent("start-steps", *Line);
  if (Start->reported())
    Start.reset();
}

void FleetCore::reportDelay(TimePoint Now) {
  const Duration Delay = Now - HousekeepingDue.value_or(Now);
  HousekeepingDue = Now + HousekeepingPeriod;
  if (Delay < ReportedDelay)
    return;
  const auto DelayMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Delay);
  Deps.Log.onEvent("loop-late", std::to_string(DelayMs.count()) +
                                    " ms, calls in flight " +
                                    std::to_string(Engine.inFlight()));
}

void FleetCore::housekeeping(TimePoint Now) {
  reportDelay(Now);
  reportStart(Now);
  reportStoreCalls(Now);
  checkStore(Now);
  confirmMembershipByPeers(Now);
  for (const UpstreamName &Name : Engine.crashTracker().silentUpstreams())
    if (Upstreams.hasVanished(Name, Now))
      Engine.crashTracker().onVanished(Name, "vanished in silence", Now);
  Engine.reviewParts(Now);
  if (Engine.congested(Now))
    CongestedUntil = Now + CongestionRest;
  updateWatchRole(Now);
  updateRegistryState(Now);
  maintainVersionRecord(Now);
  StoredSuspects.update(Now);
  if (NextLapse && Now >= *NextLapse)
    updateUsableUpstreams(Now);
  if (Budgets && Now >= NextExcessReturn) {
    NextExcessReturn = Now + ReturnPeriod;
    Budgets->returnExcess(Now);
  }
  Timers.schedule(Now + HousekeepingPeriod,
                  [this](TimePoint At) { housekeeping(At); });
}

void FleetCore::liftQuarantine(const ContentFingerprint &Content,
                               TimePoint Now) {
  if (const std::optional<PartId> Part = partOf(Content))
    Engine.partQuarantine().lift(*Part, Now);
}

// Stopping.

void FleetCore::drain(TimePoint Now) {
  if (DrainingSince)
    return;
  DrainingSince = Now;
  Limits.stopIssuingAt(Now);
  Registry.leave(Now);
  Timers.schedule(Now + fullAdmissionTime(Policy.StopLimit), [this](TimePoint) {
    Engine.admitOnlyUntil(*DrainingSince + Policy.StopLimit - LastAnswersTime);
  });
  Timers.schedule(Now + Policy.StopLimit - LastAnswersTime,
                  [this](TimePoint At) { endLastCalls(At); });
  Timers.schedule(Now + Policy.UnreadyNotice, [this](TimePoint At) {
    Closing = true;
    finishDrain(At);
  });
}

void FleetCore::finishDrain(TimePoint Now) {
  const bool AdmitsAll =
      Now < *DrainingSince + fullAdmissionTime(Policy.StopLimit);
  const bool Idle = Engine.inFlight() == 0;
  // Grants are returned while long calls still run, since these may outlast the
  // time to stop.
  if (Budgets && (Idle || !AdmitsAll))
    Budgets->drain(Now);
  const bool GrantsReturned = !Budgets || Budgets->drained();
  const bool PastLimit =
      Now >= *DrainingSince + Policy.StopLimit - LastReturnsTime;
  if (Idle && (GrantsReturned || PastLimit)) {
    Registry.remove(Now);
    DrainDone = true;
    return;
  }
  Timers.schedule(Now + DrainCheckPeriod,
                  [this](TimePoint At) { finishDrain(At); });
}

void FleetCore::endLastCalls(TimePoint Now) {
  if (Engine.inFlight() > 0)
    Deps.Log.onEvent("drain-ends-calls",
                     std::to_string(Engine.inFlight()) + " calls in flight");
  Engine.endAll(Now);
}

// Queries.

std::string FleetCore::notReadyReason(TimePoint Now) const {
  if (DrainingSince)
    return "draining";
  if (Version.Number == 0)
    return "no configuration";
  if (Engine.upstreams().size() == 0)
    return "no upstreams";
  if (Now < CongestedUntil)
    return "own link or processor congested";
  const bool Starting = StartedAt && Now < *StartedAt + RegistrationTimeout;
  if (!OwnIncarnation && Starting)
    return "not registered: the store does not answer";
  if (!StoredSuspects.loaded() && Starting)
    return "crash suspects not read: the store does not answer";
  return "";
}

RouterStatus FleetCore::status(TimePoint Now) const {
  RouterStatus Status =
      commonStatus(Identity, notReadyReason(Now), Store, Members);
  Status.Draining = DrainingSince.has_value();
  Status.Configuration = Version;
  Status.Texts = Texts;
  Status.StoreFailing = storeUnreachable();
  Status.Upstreams = Engine.upstreams().size();
  Status.RateLimitedUpstreams = Limits.limited();
  Status.UpstreamsRevision = Upstreams.revision();
  if (const std::optional<TimePoint> ConfirmedAt = upstreamsConfirmedAt())
    Status.UpstreamsAge = Now - *ConfirmedAt;
  Status.Departures = Upstreams.departures();
  Status.EvacuatedDomains = Evacuated.notice().Domains;
  Status.InFlight = static_cast<std::int64_t>(Engine.inFlight());
  Status.Requests = Engine.counters();
  Status.FirstByte = Engine.firstByteLatency();
  Status.Whole = Engine.wholeLatency();
  for (const PartId Part : Engine.partQuarantine().quarantinedParts(Now))
    Status.Quarantined.push_back(fingerprintOf(Part));
  if (Budgets)
    addBudgetStatus(Status, *Budgets);
  return Status;
}

std::optional<CallerBounds> FleetCore::callerBounds() const {
  const RouteTable *Routes = Engine.routes();
  if (Routes == nullptr)
    return std::nullopt;
  return Routes->configuration().Bounds;
}

} // namespace bronzeward
