#include "bronzeward/src/Relay/StreamOriginAgent.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bronzeward {

/// Instances that remember each stream, so that some remain when others fail.
constexpr std::size_t ReplicaCount = 3;
/// Instances that a search asks. Those that remember a stream are among them
/// even if the lists of members differ in some instances.
constexpr std::size_t SearchFanout = 6;
/// Streams of which an instance remembers the origin.
constexpr std::size_t MaxStreams = 32768;
/// Streams that an instance replicates again at once, the newest, and the
/// maximum number in one message.
constexpr std::size_t MaxReplicatedAgain = 4096;
constexpr std::size_t MaxStreamsPerNotice = 1024;
/// Time between two repetitions of streams to one peer.
constexpr Duration RepeatPeriod = 5s;
/// An instance is hardly ever a replica of a stream for which more than this
/// multiple of ReplicaCount instances are expected to rank before it.
constexpr std::uint64_t RankMargin = 8;
/// Time for which streams are collected before they are sent.
constexpr Duration ReplicationDelay = 30ms;
/// Time after which a search ends without the missing replies: several round
/// trips between failure domains, a fraction of what callers wait for.
constexpr Duration SearchTimeout = 120ms;
/// Time after which a search ends that awaits a recent list of upstreams, here
/// or at a peer. After a pause of the process, the store replies within it.
constexpr Duration ListTimeout = 300ms;

StreamOriginAgent::StreamOriginAgent(InstanceId Own,
                                     StreamOriginDependencies Dependencies)
    : Self(std::move(Own)), Deps(Dependencies),
      Known(VersionHistory::StreamLifetime, MaxStreams),
      Replicated(VersionHistory::StreamLifetime, MaxStreams),
      Repetitions(RepeatPeriod) {}

static std::uint64_t rankOf(const InstanceId &Instance, StreamKey Stream) {
  return hash64(Instance.Value, Stream.Hash);
}

/// \returns the instances that remember a stream for the fleet, in order of
/// preference.
static std::vector<InstanceId> replicasOf(StreamKey Stream,
                                          const std::vector<Member> &Members,
                                          std::size_t MaxCount) {
  std::vector<std::pair<std::uint64_t, InstanceId>> Ranked;
  for (const Member &Item : Members)
    if (!Item.Leaving)
      Ranked.emplace_back(rankOf(Item.Identity.Instance, Stream),
                          Item.Identity.Instance);
  const std::size_t Count = std::min(MaxCount, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end());
  std::vector<InstanceId> Chosen;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Chosen.push_back(std::move(Ranked[Index].second));
  return Chosen;
}

// Replication.

void StreamOriginAgent::onBegun(const ServiceName &Service,
                                const StreamOrigin &Begun, TimePoint Now) {
  Known.add(Begun, Now);
  if (!Deps.Versions.sole(Service)) {
    replicate(Begun, Now);
    return;
  }
  Unreplicated.push_back({Service, Begun, Now});
  while (Unreplicated.size() > MaxStreams ||
         Now >= Unreplicated.front().BegunAt + VersionHistory::StreamLifetime)
    Unreplicated.pop_front();
}

void StreamOriginAgent::onVersionsChanged(TimePoint Now) {
  recall(Now);
  if (std::exchange(VersionsSeen, Deps.Versions.changes()) ==
      Deps.Versions.changes())
    return;
  std::deque<LocalStream> Left;
  for (LocalStream &Item : Unreplicated) {
    if (Now >= Item.BegunAt + VersionHistory::StreamLifetime)
      continue;
    if (Deps.Versions.sole(Item.Service))
      Left.push_back(std::move(Item));
    else
      replicate({Item.Begun.Stream, Item.Begun.Version,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     Now - Item.BegunAt)},
                Now);
  }
  Unreplicated.swap(Left);
}

void StreamOriginAgent::replicate(const StreamOrigin &Begun, TimePoint Now) {
  Replicated.add(Begun, Now);
  for (const InstanceId &Replica :
       replicasOf(Begun.Stream, Deps.Members.members(), ReplicaCount))
    queue(Replica, Begun, Now);
}

void StreamOriginAgent::queue(const InstanceId &Replica,
                              const StreamOrigin &Begun, TimePoint Now) {
  if (Replica == Self)
    return;
  if (Outbox.empty())
    Deps.Timers.schedule(Now + ReplicationDelay,
                         [this](TimePoint) { flush(); });
  Outbox[Replica].push_back(Begun);
}

void StreamOriginAgent::flush() {
  std::map<InstanceId, std::vector<StreamOrigin>> Sent;
  Sent.swap(Outbox);
  for (const auto &[Replica, Streams] : Sent)
    for (std::size_t First = 0; First < Streams.size();
         First += MaxStreamsPerNotice) {
      const std::size_t End =
          std::min(First + MaxStreamsPerNotice, Streams.size());
      const auto At = Streams.begin();
      Deps.Peers.send(
          Replica, StreamOriginNotice{{At + static_cast<std::ptrdiff_t>(First),
                                       At + static_cast<std::ptrdiff_t>(End)}});
    }
}

void StreamOriginAgent::onMembersChanged(TimePoint Now) {
  const std::vector<Member> &Members = Deps.Members.members();
  const std::vector<Member> Before = std::exchange(ReplicatedMembers, Members);
  std::map<InstanceId, std::uint64_t> LivesBefore;
  std::set<InstanceId> Left;
  for (const Member &Item : Before)
    if (!Item.Leaving) {
      LivesBefore[Item.Identity.Instance] = Item.Identity.Epoch;
      Left.insert(Item.Identity.Instance);
    }
  std::set<InstanceId> Empty;
  for (const Member &Item : Members) {
    if (Item.Leaving)
      continue;
    Left.erase(Item.Identity.Instance);
    const auto Life = LivesBefore.find(Item.Identity.Instance);
    if (Life == LivesBefore.end() || Life->second != Item.Identity.Epoch)
      Empty.insert(Item.Identity.Instance);
  }
  replicateAgain(Before, Empty, Left, Now);
  recall(Now);
}

void StreamOriginAgent::recall(TimePoint Now) {
  if (!RecallDecided && Deps.Members.find(Self) != nullptr) {
    RecallDecided = true;
    RecallUntil = Now + VersionHistory::StreamLifetime;
  }
  if (!RecallUntil || !Deps.Versions.mixed())
    return;
  const bool StreamsFromBeforeStart = Now < *RecallUntil;
  RecallUntil.reset();
  if (!StreamsFromBeforeStart)
    return;
  for (const Member &Item : Deps.Members.members())
    if (Item.Identity.Instance != Self)
      Deps.Peers.send(Item.Identity.Instance, StreamOriginRecall{});
}

/// \returns whether an instance may be a replica of a stream, without ranking
/// all members.
static bool mayRemember(const InstanceId &Instance, StreamKey Stream,
                        std::size_t MemberCount) {
  const std::uint64_t Share =
      std::numeric_limits<std::uint64_t>::max() / (MemberCount + 1);
  return MemberCount <= RankMargin * ReplicaCount ||
         rankOf(Instance, Stream) / (RankMargin * ReplicaCount) < Share;
}

void StreamOriginAgent::replicateAgain(const std::vector<Member> &Before,
                                       const std::set<InstanceId> &Empty,
                                       const std::set<InstanceId> &Left,
                                       TimePoint Now) {
  std::set<InstanceId> Changed = Empty;
  Changed.insert(Left.begin(), Left.end());
  Changed.erase(Self);
  if (Changed.empty())
    return;
  const std::vector<Member> &Members = Deps.Members.members();
  for (const StreamOrigin &Item : Replicated.newest(MaxReplicatedAgain, Now)) {
    const bool Affected =
        std::ranges::any_of(Changed, [&](const InstanceId &Instance) {
          return mayRemember(Instance, Item.Stream, Members.size());
        });
    if (!Affected)
      continue;
    const std::vector<InstanceId> Old =
        replicasOf(Item.Stream, Before, ReplicaCount);
    for (const InstanceId &Replica :
         replicasOf(Item.Stream, Members, ReplicaCount))
      if (Empty.contains(Replica) || std::ranges::count(Old, Replica) == 0)
        queue(Replica, Item, Now);
  }
}

// Searches.

OriginLookup StreamOriginAgent::lookUp(const RequestId &Request,
                                       const ServiceName &Service,
                                       StreamKey Stream, TimePoint Now) {
  using Outcome = OriginLookup::Outcome;
  const bool Confirmed = Deps.Versions.confirmed(Now);
  if (const std::optional<VersionId> Here = Known.find(Stream, Now)) {
    if (Confirmed || Deps.Versions.lists(Service, *Here))
      return {Outcome::Found, *Here};
    beginSearch(Request, Service, Stream, Now).Origin = Here;
    return {Outcome::Pending, {}};
  }
  const std::optional<VersionId> Sole = Deps.Versions.sole(Service);
  if (Sole && Confirmed)
    return {Outcome::Found, *Sole};
  std::vector<InstanceId> Asked =
      replicasOf(Stream, Deps.Members.members(), SearchFanout);
  for (const InstanceId &Watcher : Watchers)
    if (std::ranges::count(Asked, Watcher) == 0)
      Asked.push_back(Watcher);
  std::erase(Asked, Self);
  if (Asked.empty() && !Sole)
    return {Outcome::Unknown, {}};
  beginSearch(Request, Service, Stream, Now).Asked = Asked.size();
  for (const InstanceId &Replica : Asked)
    Deps.Peers.send(Replica, StreamOriginRequest{LastSearch, Service, Stream});
  return {Outcome::Pending, {}};
}

StreamOriginAgent::Search &
StreamOriginAgent::beginSearch(const RequestId &Request,
                               const ServiceName &Service, StreamKey Stream,
                               TimePoint Now) {
  const std::uint64_t Number = ++LastSearch;
  Search &Started = Searches[Number];
  Started.Request = Request;
  Started.Service = Service;
  Started.Stream = Stream;
  Started.BeganAt = Now;
  Started.Timeout =
      Deps.Timers.schedule(Now + SearchTimeout, [this, Number](TimePoint At) {
        conclude(Number, true, At);
      });
  return Started;
}

void StreamOriginAgent::abandon(const RequestId &Request) {
  for (auto Item = Searches.begin(); Item != Searches.end(); ++Item)
    if (Item->second.Request == Request) {
      Deps.Timers.cancel(Item->second.Timeout);
      Searches.erase(Item);
      return;
    }
}

void StreamOriginAgent::requestRecord(const ServiceName &Service) {
  const StreamKey Any{hash64(Self.Value)};
  for (const InstanceId &Peer :
       replicasOf(Any, Deps.Members.members(), ReplicaCount))
    if (Peer != Self)
      Deps.Peers.send(Peer, StreamOriginRequest{0, Service, Any});
}

void StreamOriginAgent::onPeerMessage(const InstanceId &From,
                                      const PeerMessage &Message,
                                      TimePoint Now) {
  if (Repetitions.onHeard(From, Now) ||
      std::holds_alternative<StreamOriginRecall>(Message))
    replicateAgain(Deps.Members.members(), {From}, {}, Now);
  if (const auto *Notice = std::get_if<StreamOriginNotice>(&Message)) {
    for (const StreamOrigin &Begun : Notice->Streams) {
      Known.add(Begun, Now);
      Replicated.add(Begun, Now);
    }
  } else if (const auto *Request = std::get_if<StreamOriginRequest>(&Message)) {
    onRequest(From, *Request, Now);
  } else if (const auto *Reply = std::get_if<StreamOriginReply>(&Message)) {
    onReply(*Reply, Now);
  }
}

void StreamOriginAgent::onRequest(const InstanceId &From,
                                  const StreamOriginRequest &Message,
                                  TimePoint Now) {
  // An instance that lists a version that is not recorded, as far as it knows,
  // cannot vouch for the record.
  std::optional<std::chrono::milliseconds> Uncertainty;
  const std::optional<Duration> Unknown = Deps.Versions.uncertainty(Now);
  if (Unknown && Deps.Versions.sole(Message.Service))
    Uncertainty = std::chrono::ceil<std::chrono::milliseconds>(*Unknown);
  Deps.Peers.send(From,
                  StreamOriginReply{Message.Number, Message.Service,
                                    Known.find(Message.Stream, Now),
                                    Deps.Versions.possible(Message.Service),
                                    Uncertainty});
}

void StreamOriginAgent::onReply(const StreamOriginReply &Message,
                                TimePoint Now) {
  Deps.Versions.onPeerRecord(Message.Service, Message.Possible, Now);
  const auto Found = Searches.find(Message.Number);
  if (Found == Searches.end())
    return;
  if (Message.Origin) {
    // The stream goes on here, where its caller may look for it again.
    Known.add({Found->second.Stream, *Message.Origin}, Now);
    Replicated.add({Found->second.Stream, *Message.Origin}, Now);
    Found->second.Origin = Message.Origin;
    conclude(Message.Number, false, Now);
    return;
  }
  Search &Item = Found->second;
  ++Item.Replied;
  const std::optional<VersionId> Sole = Deps.Versions.sole(Item.Service);
  // An instance that has just started knows no version.
  Item.Agreed = Item.Agreed && Sole &&
                std::ranges::all_of(Message.Possible, [&Sole](VersionId Named) {
                  return Named == *Sole;
                });
  // The reply was written after the search began, however late it is read.
  if (Message.Uncertainty && !Message.Possible.empty())
    Item.CompleteUntil =
        std::max(Item.CompleteUntil,
                 std::optional<TimePoint>(Item.BeganAt - *Message.Uncertainty));
  conclude(Message.Number, false, Now);
}

bool StreamOriginAgent::certain(const Search &Item, TimePoint Now) const {
  const bool ByPeer = Item.CompleteUntil &&
                      Now < *Item.CompleteUntil + VersionHistory::ListValidity;
  return Item.Agreed && Deps.Versions.sole(Item.Service) &&
         (ByPeer || Deps.Versions.confirmed(Now));
}

void StreamOriginAgent::onListConfirmed(TimePoint Now) {
  if (Searches.empty() || !Deps.Versions.confirmed(Now))
    return;
  std::vector<std::uint64_t> Numbers;
  for (const auto &[Number, Item] : Searches)
    Numbers.push_back(Number);
  for (const std::uint64_t Number : Numbers)
    conclude(Number, false, Now);
}

void StreamOriginAgent::conclude(std::uint64_t Number, bool TimedOut,
                                 TimePoint Now) {
  const auto Found = Searches.find(Number);
  if (Found == Searches.end())
    return;
  Search &Item = Found->second;
  const bool Final = Now >= Item.BeganAt + ListTimeout;
  if (Item.Origin) {
    if (Final || Deps.Versions.confirmed(Now) ||
        Deps.Versions.lists(Item.Service, *Item.Origin))
      finish(Number, Item.Origin, Now);
    else if (TimedOut)
      awaitList(Number, Item);
    return;
  }
  if (!TimedOut && Item.Replied < Item.Asked)
    return;
  const std::optional<VersionId> Sole = Deps.Versions.sole(Item.Service);
  const bool Decided = certain(Item, Now);
  if (Decided || Final || !Item.Agreed || !Sole)
    finish(Number, Decided ? Sole : std::nullopt, Now);
  else if (TimedOut)
    awaitList(Number, Item);
}

void StreamOriginAgent::awaitList(std::uint64_t Number, Search &Item) {
  // Missing replies are no longer awaited.
  Item.Asked = Item.Replied;
  Item.Timeout = Deps.Timers.schedule(
      Item.BeganAt + ListTimeout,
      [this, Number](TimePoint At) { conclude(Number, true, At); });
}

void StreamOriginAgent::finish(std::uint64_t Number,
                               std::optional<VersionId> Version,
                               TimePoint Now) {
  const auto Found = Searches.find(Number);
  const Search Item = std::move(Found->second);
  Searches.erase(Found);
  Deps.Timers.cancel(Item.Timeout);
  if (Listener != nullptr)
    Listener->onOriginLookedUp(Item.Request, Version, Now);
}

} // namespace bronzeward
