#include "bronzeward/src/Router/FleetCore.h"

#include <algorithm>
#include <set>

namespace bronzeward {

/// Time between two digests to peers, and while the store does not answer.
constexpr Duration GossipPeriod = 500ms;
constexpr Duration UrgentGossipPeriod = 250ms;
/// Peers that get each digest while the store answers, and while it does not:
/// then as many as there are in a small fleet, and enough that some of them
/// have the store where a part of a large fleet has lost it.
constexpr std::size_t GossipFanout = 3;
constexpr std::size_t UrgentGossipFanout = 7;
/// A peer that said within this time that it has lost the store is told of
/// each change.
constexpr Duration AwayTime = 1s;
/// Time between two notices of this instance's load where it changed, and where
/// it did not.
constexpr Duration LoadPeriod = 100ms;
constexpr Duration LoadRepeat = 500ms;
/// A peer heard within this time stays a member although its entry lapsed.
constexpr Duration HeardTime = 2s;
/// Time between two digests of a watcher to those who rely on it.
constexpr Duration FollowerDigestPeriod = 1s;
/// Time for which changes are gathered before they are passed on.
constexpr Duration GatherTime = 30ms;
/// Peers that an instance of a large fleet gossips with, always the same, so
/// that it keeps few connections.
constexpr std::size_t GossipPeers = 8;
/// Quarantined contents in one digest.
constexpr std::size_t MaxDigestSuspects = 16;
/// Time between two looks at what changes without an event.
constexpr Duration HousekeepingPeriod = 100ms;
/// Time between two log lines of the calls made to the store.
constexpr Duration StoreReportPeriod = 10s;
/// Time between two returns of budget that is not needed.
constexpr Duration ReturnPeriod = 1s;
/// Time between two looks at whether a drain is done.
constexpr Duration DrainCheckPeriod = 50ms;
/// Time after which an instance that the store never answered takes requests
/// with what its peers told it.
constexpr Duration RegistrationPatience = 5s;

static Member ownMember(const RouterIdentity &Who) {
  return Member{Incarnation{Who.Instance, 0}, Who.Domain, Who.PeerAddress,
                false, Who.Capacity};
}

FleetCore::FleetCore(RouterIdentity Who, FleetPolicy Settings,
                     RouterSurroundings Parts, FleetCodecs Forms)
    : Identity(std::move(Who)), Policy(std::move(Settings)), Around(Parts),
      Codecs(Forms), Source(Identity.Seed),
      Store(Parts.Store, Timers, Source, Identity.Store),
      Registry(ownMember(Identity), Store, Timers, Source),
      Configurations(*this), Registrations(*this),
      ConfigurationKeys(Forms.Deployment.configurationKey(), Policy.WatchWait,
                        Store, Timers, Source, Configurations),
      UpstreamKeys(Forms.Deployment.upstreamPrefix(), Policy.WatchWait, Store,
                   Timers, Source, Registrations),
      Duty(Identity.Instance, Identity.Domain),
      Engine(Identity.Domain, Policy.Retries,
             RelaySurroundings{Parts.Callers, Parts.Upstreams, Parts.Log,
                               Parts.Wall, Timers, Source, Forms.Calls,
                               Members}) {
  for (const std::string &Address : Policy.PeerSeeds)
    if (Address != Identity.PeerAddress)
      Unlisted[InstanceId{"seed-" + Address}] = Member{
          Incarnation{InstanceId{"seed-" + Address}, 0}, {}, Address, false};
}

void FleetCore::start(TimePoint Now) {
  StartedAt = Now;
  Registry.start(
      Now,
      [this](const Incarnation &Registered, TimePoint At) {
        onRegistered(Registered, At);
      },
      [this](std::vector<Member> Listed, TimePoint At) {
        onMembersListed(std::move(Listed), At);
      });
  ConfigurationKeys.start(Now);
  UpstreamKeys.start(Now);
  gossip(Now);
  tellLoad(Now);
  housekeeping(Now);
}

// Registration and membership.

void FleetCore::onRegistered(const Incarnation &Registered, TimePoint Now) {
  Life = Registered;
  Around.Log.onEvent("registered",
                     "life " + std::to_string(registrationOf(Registered)));
  Budgets = std::make_unique<BudgetAgent>(
      *Life, Identity.Domain, Policy.Budget,
      BudgetDependencies{Store, Around.Peers, Timers, Source, Engine});
  Budgets->onMembers(Members.members(), Now);
  Engine.attach(*Budgets, *Life, Now);
}

void FleetCore::onMembersListed(std::vector<Member> Listed, TimePoint Now) {
  // Entries lapse while the store is away; peers that are heard are alive.
  Membership Fresh;
  Fresh.update(Listed);
  for (const Member &Item : Members.members()) {
    const auto Heard = LastHeard.find(Item.Identity.Instance);
    const bool Alive =
        Heard != LastHeard.end() && Now < Heard->second + HeardTime;
    if (Alive && Fresh.find(Item.Identity.Instance) == nullptr)
      Listed.push_back(Item);
  }
  for (const Member &Item : Listed)
    Unlisted.erase(Item.Identity.Instance);
  Members.update(Listed);
  Duty.onMembers(Listed);
  if (Budgets)
    Budgets->onMembers(std::move(Listed), Now);
}

std::vector<Member> FleetCore::peers() const {
  std::vector<Member> All = Members.members();
  for (const auto &[Name, Item] : Unlisted)
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
  std::partial_sort(Ranked.begin(), Ranked.begin() + GossipPeers, Ranked.end());
  Others.clear();
  for (std::size_t Place = 0; Place < GossipPeers; ++Place)
    Others.push_back(std::move(Ranked[Place].second));
  return Others;
}

// Configuration.

void FleetCore::ConfigurationFeed::onListed(
    const std::vector<StoreEntry> &Found, std::uint64_t, TimePoint Now) {
  for (const StoreEntry &Entry : Found)
    onChanged(Entry, Now);
}

void FleetCore::ConfigurationFeed::onChanged(const StoreEntry &Entry,
                                             TimePoint Now) {
  if (!Entry.Deleted && Entry.Key == Owner.Codecs.Deployment.configurationKey())
    Owner.onConfigurationText(Entry.Value, "store", Now);
}

void FleetCore::onConfigurationText(const std::string &Text,
                                    const std::string &From, TimePoint Now) {
  // Lists after a gap bring the text in force again.
  if (Text == CurrentText)
    return;
  Result<FleetConfiguration> Parsed =
      Codecs.Deployment.parseConfiguration(Text);
  if (!Parsed) {
    Around.Log.onEvent("configuration-invalid", describe(Parsed.error()));
    return;
  }
  if (Parsed.value().Version <= Version)
    return;
  Version = Parsed.value().Version;
  CurrentText = Text;
  CurrentPacked.reset();
  Pull.onAccepted();
  Around.Log.onEvent("configuration", "version " +
                                          std::to_string(Version.Number) +
                                          " from " + From);
  Engine.configure(std::move(Parsed).value(), Now);
  tellFollowers();
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
    Around.Log.onEvent("configuration-invalid",
                       "from " + From.Value + ": " + describe(Text.error()));
}

void FleetCore::sendConfiguration(const InstanceId &To) {
  ++Texts.Sent;
  if (!CurrentPacked)
    CurrentPacked = packText(CurrentText);
  Around.Peers.send(To, ConfigurationText{Version, *CurrentPacked});
}

void FleetCore::readNewerConfiguration(ConfigurationVersion Wanted,
                                       TimePoint Now) {
  if (ReadingConfiguration)
    return;
  ReadingConfiguration = true;
  // Mostly a cheap read has it; the store may be asked for the latest then.
  const auto Take = [this](const StoreReply &Reply, TimePoint At) {
    ReadingConfiguration = false;
    if (Reply.Status == StoreStatus::Ok)
      Configurations.onListed(Reply.Entries, Reply.Revision, At);
  };
  const std::string Key = Codecs.Deployment.configurationKey();
  Store.call(ListKeys{Key, "", true}, Now,
             [this, Take, Key, Wanted](const StoreReply &Reply, TimePoint At) {
               Take(Reply, At);
               if (Wanted <= Version)
                 return;
               ReadingConfiguration = true;
               Store.call(ListKeys{Key, "", false}, At, Take);
             });
}

// Upstreams.

void FleetCore::UpstreamFeed::onListed(const std::vector<StoreEntry> &Found,
                                       std::uint64_t Revision, TimePoint Now) {
  Owner.takeUpstreams(Found, Revision, Owner.storeRegainedAt(), Now);
  Owner.tellFollowers();
}

void FleetCore::UpstreamFeed::onChanged(const StoreEntry &Entry,
                                        TimePoint Now) {
  Owner.takeUpstream(Entry, Owner.storeRegainedAt(), Now);
  Owner.passOnChange(Entry, Now);
  Owner.Directory.onCaughtUp(Entry.Revision);
  Owner.refreshUsable(Now);
}

std::optional<TimePoint> FleetCore::storeRegainedAt() const {
  return std::max(UpstreamKeys.regainedAt(), Duty.regainedAt());
}

void FleetCore::passOnChange(const StoreEntry &Entry, TimePoint Now) {
  if (UnsentChanges.empty()) {
    UnsentSince = Directory.revision();
    Timers.schedule(Now + GatherTime,
                    [this](TimePoint At) { sendChanges(At); });
  }
  UnsentChanges.push_back(Entry);
}

void FleetCore::sendChanges(TimePoint Now) {
  UpstreamList Changed;
  Changed.Entries.swap(UnsentChanges);
  Changed.Since = UnsentSince;
  Changed.Revision = Changed.Entries.back().Revision;
  // Telling every peer would make each change cost the square of the fleet.
  std::set<InstanceId> To(Duty.followers().begin(), Duty.followers().end());
  for (const auto &[Peer, SaidAt] : WithoutStore)
    if (Now < SaidAt + AwayTime)
      To.insert(Peer);
  for (const InstanceId &Peer : To)
    Around.Peers.send(Peer, Changed);
}

UpstreamList FleetCore::changesSince(std::uint64_t Revision) const {
  UpstreamList Made;
  Made.Revision = Directory.revision();
  Made.Whole = Revision < EntriesSince;
  Made.Since = Revision;
  for (const auto &[Key, Entry] : Entries)
    if (Made.Whole ? !Entry.Deleted : Entry.Revision > Revision)
      Made.Entries.push_back(Entry);
  return Made;
}

void FleetCore::takeUpstreams(const std::vector<StoreEntry> &Listed,
                              std::uint64_t Revision,
                              std::optional<TimePoint> RegainedAt,
                              TimePoint Now) {
  std::vector<std::pair<UpstreamEntry, std::uint64_t>> Known;
  std::map<std::string, StoreEntry> Fresh;
  for (const StoreEntry &Entry : Listed) {
    const Result<UpstreamEntry> Parsed = Codecs.Deployment.parseUpstream(Entry);
    if (Parsed)
      Known.emplace_back(Parsed.value(), Entry.Revision);
    else
      Around.Log.onEvent("upstream-entry-skipped", describe(Parsed.error()));
    Fresh[Entry.Key] = Entry;
  }
  Entries = std::move(Fresh);
  EntriesSince = Revision;
  Directory.onListed(Known, Revision, RegainedAt, Now);
  refreshUsable(Now);
}

void FleetCore::takeUpstream(const StoreEntry &Entry,
                             std::optional<TimePoint> RegainedAt,
                             TimePoint Now) {
  StoreEntry &Place = Entries[Entry.Key];
  if (Entry.Revision < Place.Revision)
    return;
  Place = Entry;
  if (Entry.Deleted) {
    Directory.onRemoved(Codecs.Deployment.upstreamOf(Entry.Key), Entry.Revision,
                        RegainedAt, Now);
    return;
  }
  const Result<UpstreamEntry> Parsed = Codecs.Deployment.parseUpstream(Entry);
  if (Parsed)
    Directory.onEntry(Parsed.value(), Entry.Revision, Now);
  else
    Around.Log.onEvent("upstream-entry-skipped", describe(Parsed.error()));
}

void FleetCore::onUpstreamList(const UpstreamList &Message, TimePoint Now) {
  if (Message.Whole && Message.Revision > Directory.revision()) {
    takeUpstreams(Message.Entries, Message.Revision, std::nullopt, Now);
    return;
  }
  const bool NoGap = Message.Since <= Directory.revision();
  for (const StoreEntry &Entry : Message.Entries)
    takeUpstream(Entry, storeRegainedAt(), Now);
  if (NoGap)
    Directory.onCaughtUp(Message.Revision);
  refreshUsable(Now);
}

void FleetCore::refreshUsable(TimePoint Now) {
  Engine.setUsable(Directory.usable(Now), Now);
  LapseCheck = Directory.nextLapse(Now);
}

// Peers.

PeerDigest FleetCore::digest() const {
  PeerDigest Made;
  Made.Configuration = Version;
  Made.Draining = DrainingSince.has_value();
  Made.UpstreamRevision = Directory.revision();
  Made.StoreUnreachable = storeAway();
  Made.PeerAddress = Identity.PeerAddress;
  // Both kinds of keys are followed or paused together.
  Made.WatchesStore = !Made.StoreUnreachable && UpstreamKeys.following() &&
                      ConfigurationKeys.inTouch();
  return Made;
}

void FleetCore::updateWatching(TimePoint Now) {
  if (Duty.watches(Now)) {
    ConfigurationKeys.resume(Now);
    UpstreamKeys.resume(Now);
  } else {
    ConfigurationKeys.pause();
    UpstreamKeys.pause();
  }
  if (Now < NextFollowerDigest)
    return;
  NextFollowerDigest = Now + FollowerDigestPeriod;
  tellFollowers();
}

void FleetCore::tellFollowers() {
  if (Duty.followers().empty())
    return;
  const PeerDigest Made = digest();
  for (const InstanceId &Peer : Duty.followers())
    Around.Peers.send(Peer, Made);
}

void FleetCore::gossip(TimePoint Now) {
  PeerDigest Made = digest();
  Made.Suspects = Engine.quarantine().listed(Now);
  Made.Suspects.resize(std::min(Made.Suspects.size(), MaxDigestSuspects));
  std::vector<InstanceId> Others = gossipPeers();
  const std::size_t Fanout =
      Made.StoreUnreachable ? UrgentGossipFanout : GossipFanout;
  for (std::size_t Sent = 0; Sent < Fanout && !Others.empty(); ++Sent) {
    const std::size_t Index = Source.below(Others.size());
    Around.Peers.send(Others[Index], Made);
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  const Duration Pause =
      Made.StoreUnreachable ? UrgentGossipPeriod : GossipPeriod;
  Timers.schedule(Now + Pause, [this](TimePoint At) { gossip(At); });
}

void FleetCore::tellLoad(TimePoint Now) {
  // Large fleets place calls by the loads that upstreams state.
  if (Members.members().size() > SmallFleet + 1) {
    Timers.schedule(Now + LoadRepeat, [this](TimePoint At) { tellLoad(At); });
    return;
  }
  const std::vector<InstanceId> Others = otherPeers();
  LoadNotice Load = Engine.upstreams().ownLoad();
  const bool Due = Now >= ToldLoadAt + LoadRepeat;
  if (Load.Upstreams != ToldLoad.Upstreams || Due) {
    ToldLoad = std::move(Load);
    ToldLoadAt = Now;
    for (const InstanceId &Peer : Others)
      Around.Peers.send(Peer, ToldLoad);
  }
  Engine.upstreams().expirePeerLoads(Now);
  Timers.schedule(Now + LoadPeriod, [this](TimePoint At) { tellLoad(At); });
}

void FleetCore::onDigest(const InstanceId &From, const PeerDigest &Message,
                         TimePoint Now) {
  if (Members.find(From) == nullptr && !Message.PeerAddress.empty())
    Unlisted[From] =
        Member{Incarnation{From, 0}, {}, Message.PeerAddress, Message.Draining};
  if (Message.StoreUnreachable)
    WithoutStore[From] = Now;
  else
    WithoutStore.erase(From);
  for (const ContentFingerprint &Content : Message.Suspects)
    Engine.quarantine().onReported(Content, Now);
  compareConfigurations(From, Message, Now);
  compareUpstreams(From, Message, Now);
}

void FleetCore::compareConfigurations(const InstanceId &From,
                                      const PeerDigest &Message,
                                      TimePoint Now) {
  const bool Large = Members.members().size() > SmallFleet;
  if (Message.Configuration < Version && (!Large || Message.StoreUnreachable))
    Around.Peers.send(From, ConfigurationOffer{Version});
  onOffered(From, Message.Configuration, Now);
}

void FleetCore::onOffered(const InstanceId &From, ConfigurationVersion Offered,
                          TimePoint Now) {
  if (Offered <= Version)
    return;
  const bool Large = Members.members().size() > SmallFleet;
  if (Large && !storeAway()) {
    // Its own watch brings it to a watcher; the others leave the store's bytes
    // and calls to the watchers for as long as these answer.
    if (Duty.watches(Now))
      return;
    if (Pull.unanswered(Now)) {
      readNewerConfiguration(Offered, Now);
      return;
    }
  }
  if (!Pull.mayAsk(From, Now))
    return;
  Pull.onAsked(From, Now);
  Around.Peers.send(From, ConfigurationRequest{});
}

void FleetCore::compareUpstreams(const InstanceId &From,
                                 const PeerDigest &Message, TimePoint Now) {
  const std::uint64_t Known = Directory.revision();
  if (Message.UpstreamRevision < Known) {
    if (!Message.WatchesStore && !storeAway())
      Around.Peers.send(From, changesSince(Message.UpstreamRevision));
  } else if (Message.UpstreamRevision > Known) {
    // The watcher answers a digest with what is missing here.
    if (Message.WatchesStore && !Duty.watches(Now))
      Around.Peers.send(From, digest());
    return;
  }
  if (Message.WatchesStore && Message.Configuration <= Version)
    Duty.onConfirmed(Now);
}

void FleetCore::onPeerMessage(const InstanceId &From,
                              const PeerMessage &Message, TimePoint Now) {
  LastHeard[From] = Now;
  if (const auto *Digest = std::get_if<PeerDigest>(&Message))
    onDigest(From, *Digest, Now);
  else if (const auto *Text = std::get_if<ConfigurationText>(&Message))
    onPeerConfiguration(From, *Text, Now);
  else if (const auto *Offer = std::get_if<ConfigurationOffer>(&Message))
    onOffered(From, Offer->Version, Now);
  else if (std::holds_alternative<ConfigurationRequest>(Message))
    sendConfiguration(From);
  else if (const auto *List = std::get_if<UpstreamList>(&Message))
    onUpstreamList(*List, Now);
  else if (const auto *Load = std::get_if<LoadNotice>(&Message))
    Engine.upstreams().onPeerLoad(From, *Load, Now);
  if (Budgets)
    Budgets->onPeerMessage(From, Message, Now);
}

void FleetCore::onPeerUnreachable(const InstanceId &Peer, TimePoint Now) {
  if (Budgets)
    Budgets->onPeerUnreachable(Peer, Now);
}

// The store and time.

void FleetCore::onStoreReply(StoreCallId Id, const StoreReply &Reply,
                             TimePoint Now) {
  Store.onReply(Id, Reply, Now);
}

bool FleetCore::storeAway() const {
  // Where others follow the store, their word says that it is there.
  return Store.failingSince().has_value() ||
         (UpstreamKeys.following() && !UpstreamKeys.inTouch());
}

void FleetCore::checkStore(TimePoint Now) {
  if (storeAway() == StoreWasAway)
    return;
  StoreWasAway = !StoreWasAway;
  Around.Log.onEvent(StoreWasAway ? "store-lost" : "store-regained",
                     "upstreams known to revision " +
                         std::to_string(Directory.revision()));
  if (!StoreWasAway && Budgets)
    Budgets->onStoreRegained(Now);
}

void FleetCore::reportStoreCalls(TimePoint Now) {
  if (Now < NextStoreReport)
    return;
  NextStoreReport = Now + StoreReportPeriod;
  const StoreCounters &Made = Store.counters();
  Around.Log.onEvent("store-calls",
                     "reads " + std::to_string(Made.Reads) + " lists " +
                         std::to_string(Made.Lists) + " watches " +
                         std::to_string(Made.Watches) + " writes " +
                         std::to_string(Made.Writes) + " leases " +
                         std::to_string(Made.Leases) + " renewals " +
                         std::to_string(Made.Renewals) + " failures " +
                         std::to_string(Made.Failures) + " timeouts " +
                         std::to_string(Made.Timeouts) + " since the start");
  Around.Log.onEvent("peer-configurations",
                     "sent " + std::to_string(Texts.Sent) + " received " +
                         std::to_string(Texts.Received) + " known " +
                         std::to_string(Texts.Known) + " since the start");
}

void FleetCore::housekeeping(TimePoint Now) {
  reportStoreCalls(Now);
  checkStore(Now);
  updateWatching(Now);
  if (LapseCheck && Now >= *LapseCheck)
    refreshUsable(Now);
  if (Budgets && Now >= NextReturn) {
    NextReturn = Now + ReturnPeriod;
    Budgets->returnExcess(Now);
  }
  Timers.schedule(Now + HousekeepingPeriod,
                  [this](TimePoint At) { housekeeping(At); });
}

void FleetCore::liftQuarantine(const ContentFingerprint &Content,
                               TimePoint Now) {
  Engine.quarantine().lift(Content, Now);
}

// Stopping.

void FleetCore::drain(TimePoint Now) {
  if (DrainingSince)
    return;
  DrainingSince = Now;
  Registry.leave(Now);
  Timers.schedule(Now + Policy.UnreadyNotice, [this](TimePoint At) {
    Closing = true;
    finishDrain(At);
  });
}

void FleetCore::finishDrain(TimePoint Now) {
  // Where no other instance is left, callers keep coming.
  const bool Admitting = Now < *DrainingSince + Policy.AdmitWhileDraining;
  if (!Admitting)
    Engine.stopAdmitting();
  const bool Idle = Engine.inFlight() == 0;
  // Grants go back while long calls still run: they may outlast the stop.
  if (Budgets && (Idle || !Admitting))
    Budgets->drain(Now);
  const bool Settled = !Budgets || Budgets->drained();
  const bool Late = Now >= *DrainingSince + Policy.DrainLimit;
  if (Idle && (Settled || Late)) {
    Registry.remove(Now);
    Removed = true;
    return;
  }
  Timers.schedule(Now + DrainCheckPeriod,
                  [this](TimePoint At) { finishDrain(At); });
}

// Queries.

std::string FleetCore::notReadyReason(TimePoint Now) const {
  if (DrainingSince)
    return "draining";
  if (Version.Number == 0)
    return "no configuration";
  if (Engine.upstreams().size() == 0)
    return "no upstreams";
  if (!Life && StartedAt && Now < *StartedAt + RegistrationPatience)
    return "not registered: the store does not answer";
  return "";
}

RouterStatus FleetCore::status(TimePoint Now) const {
  RouterStatus Status =
      commonStatus(Identity, notReadyReason(Now), Store, Members);
  Status.Draining = DrainingSince.has_value();
  Status.Configuration = Version;
  Status.Texts = Texts;
  Status.StoreFailing = storeAway();
  Status.Upstreams = Engine.upstreams().size();
  Status.InFlight = static_cast<std::int64_t>(Engine.inFlight());
  Status.Requests = Engine.counters();
  Status.FirstByte = Engine.firstByteLatency();
  Status.Whole = Engine.wholeLatency();
  if (Budgets)
    noteBudgets(Status, *Budgets);
  return Status;
}

std::optional<CallerBounds> FleetCore::callerBounds() const {
  const RouteTable *Routes = Engine.routes();
  if (Routes == nullptr)
    return std::nullopt;
  return Routes->text().Bounds;
}

} // namespace bronzeward
