#include "test/support/FleetNetwork.h"

#include "bronzeward/src/Net/PeerCodec.h"

#include <boost/json.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <sstream>

namespace bronzeward::fakes {

namespace json = boost::json;

/// Time between two steps of the network.
constexpr Duration StepTime = 10ms;
/// Time without delivery after which a peer's connection is closed, as in
/// PeerTransport.
constexpr Duration DeliveryTimeout = 1s;
/// Link of a strong instance, in bytes per second, and the processor cores of a
/// strong and of a weak one.
constexpr double StrongLink = 25e6;
constexpr double StrongCapacity = 0.5;
constexpr double WeakCapacity = 0.12;
/// Time after which a store call without a reply fails; equal to the instances'
/// call timeout.
constexpr Duration StoreCallTimeout = 900ms;
/// Time between two events of an answer.
constexpr Duration EventPause = 100ms;
/// Time from a crash until the upstream's entry lapses, and until it is back.
constexpr Duration UpstreamLapseTime = 1s;
constexpr Duration UpstreamRestartTime = 2s;
/// Bytes between two progress reports of a long reply.
constexpr double ProgressBytes = 65536;
/// Bytes of one reply of the store without its values.
constexpr double ReplyOverheadBytes = 300;

/// Prefix of the keys that evacuate failure domains.
const std::string EvacuationPrefix = "op/evacuate/";

// The store.

static bool hasPrefix(const std::string &Key, const std::string &Prefix) {
  return Key.starts_with(Prefix);
}

void InMemoryStore::execute(std::size_t Caller, StoreCallId Id,
                            const StoreCall &Call, TimePoint Now) {
  StoreReply Reply;
  Reply.Status = StoreStatus::Ok;
  if (const auto *Wait = std::get_if<WatchKeys>(&Call)) {
    Waiting.push_back({Caller, Id, *Wait, Now + Wait->Wait});
    endWatches(Now);
    return;
  }
  if (const auto *List = std::get_if<ListKeys>(&Call)) {
    for (const auto &[Key, Entry] : Entries)
      if (hasPrefix(Key, List->Prefix) && !Entry.Deleted)
        Reply.Entries.push_back(Entry);
    Reply.Revision = Revision;
  } else if (const auto *Read = std::get_if<ReadKey>(&Call)) {
    const auto Found = Entries.find(Read->Key);
    if (Found != Entries.end() && !Found->second.Deleted)
      Reply.Entries.push_back(Found->second);
  } else if (const auto *Swap = std::get_if<CompareAndSwap>(&Call)) {
    Reply = swap(*Swap, Now);
  } else if (const auto *Delete = std::get_if<DeleteKey>(&Call)) {
    remove(Delete->Key, Now);
  } else if (std::holds_alternative<GrantLease>(Call)) {
    Reply.Lease.Number = ++LastLease;
  }
  Replies.push_back({Caller, Id, std::move(Reply)});
}

StoreReply InMemoryStore::swap(const CompareAndSwap &Call, TimePoint Now) {
  StoreReply Reply;
  const auto Found = Entries.find(Call.Key);
  const bool Exists = Found != Entries.end() && !Found->second.Deleted;
  if ((Exists ? Found->second.Revision : 0) != Call.ExpectedRevision) {
    Reply.Status = StoreStatus::Conflict;
    return Reply;
  }
  write(Call.Key, Call.Value, Now);
  Reply.Status = StoreStatus::Ok;
  Reply.Revision = Revision;
  return Reply;
}

void InMemoryStore::write(const std::string &Key, const std::string &Value,
                          TimePoint Now) {
  Entries[Key] = {Key, Value, ++Revision, false};
  endWatches(Now);
}

void InMemoryStore::remove(const std::string &Key, TimePoint Now) {
  Entries[Key] = {Key, "", ++Revision, true};
  endWatches(Now);
}

void InMemoryStore::forget(std::size_t Caller) {
  std::erase_if(Waiting,
                [&](const Watch &Item) { return Item.Caller == Caller; });
  std::erase_if(
      Replies, [&](const PendingReply &Item) { return Item.Caller == Caller; });
}

std::vector<StoreEntry> InMemoryStore::changes(const WatchKeys &Call) const {
  std::vector<StoreEntry> Changed;
  for (const auto &[Key, Entry] : Entries)
    if (hasPrefix(Key, Call.Prefix) && Entry.Revision > Call.AfterRevision)
      Changed.push_back(Entry);
  std::sort(Changed.begin(), Changed.end(),
            [](const StoreEntry &Left, const StoreEntry &Right) {
              return Left.Revision < Right.Revision;
            });
  return Changed;
}

void InMemoryStore::endWatches(TimePoint Now) {
  std::erase_if(Waiting, [this, Now](const Watch &Item) {
    StoreReply Reply;
    Reply.Status = StoreStatus::Ok;
    Reply.Entries = changes(Item.Call);
    Reply.Revision = Revision;
    if (Reply.Entries.empty() && Now < Item.Until)
      return false;
    Replies.push_back({Item.Caller, Item.Id, std::move(Reply)});
    return true;
  });
}

std::vector<InMemoryStore::PendingReply>
InMemoryStore::takeReplies(TimePoint Now) {
  endWatches(Now);
  std::vector<PendingReply> Taken;
  Taken.swap(Replies);
  return Taken;
}

// One instance.

struct FleetNetwork::Node : StorePort, PeerPort, CallerPort, UpstreamPort {
  Node(FleetNetwork &Owner, std::size_t OwnIndex)
      : Network(Owner), Index(OwnIndex) {
    RouterIdentity Who;
    Who.Instance.Value = "i" + std::to_string(OwnIndex);
    Who.Domain.Value = "d" + std::to_string(OwnIndex % Owner.Domains);
    Who.PeerAddress = Who.Instance.Value;
    Who.Seed = OwnIndex + 1 + 1000 * Owner.Starts[OwnIndex];
    Who.Capacity = Owner.Capacity[OwnIndex];
    Who.Store.CallTimeout = 900ms;
    Who.Store.MaxOpen = 600ms;
    FleetPolicy Policy;
    Policy.Retries.Extra = Owner.ExtraRetries;
    Core = std::make_unique<FleetCore>(
        Who, Policy,
        RouterDependencies{*this, *this, *this, *this, Owner.Log, Owner.Wall},
        FleetCodecs{Owner.Deployment, Owner.Calls});
  }

  void send(StoreCallId Id, const StoreCall &Call) override {
    Network.callStore(Index, Id, Call);
  }
  void send(const InstanceId &To, const PeerMessage &Message) override {
    Network.sendToPeer(Index, To, Message);
  }
  void dispatch(const UpstreamCall &Call) override {
    Network.callUpstream(Index, Call);
  }
  void probe(const UpstreamProbe &Probe) override {
    if (Network.isDown(Probe.Upstream))
      Network.RefusedProbes.emplace_back(Index, Probe.Upstream);
  }
  void cancel(AttemptId Attempt) override {
    std::erase_if(Network.PendingAnswers, [&](const PendingAnswer &Item) {
      return Item.Instance == Index && Item.Attempt == Attempt;
    });
  }
  void answer(CallerTicket To, const Answer &Response) override {
    CallerAnswer Given{Index, Network.Now, Response.Status, To.Number,
                       std::nullopt};
    if (const std::string *After = findHeader(Response.Headers, "Retry-After"))
      Given.RetryAfter = std::stod(*After);
    Network.Answers.push_back(Given);
  }
  void beginStream(CallerTicket, const Answer &) override {}
  void sendPart(CallerTicket, const std::string &) override {}
  void endStream(CallerTicket To, const std::string &) override {
    Network.Answers.push_back(
        {Index, Network.Now, 200, To.Number, std::nullopt});
  }
  void disconnect(CallerTicket To) override {
    Network.Answers.push_back({Index, Network.Now, 0, To.Number, std::nullopt});
  }

  FleetNetwork &Network;
  std::size_t Index;
  std::unique_ptr<FleetCore> Core;
  std::size_t BytesFromPeers = 0;
};

// The network.

FleetNetwork::FleetNetwork(std::size_t Size, std::size_t DomainCount,
                           double LinkBytesPerSecond, std::size_t Strong)
    : Domains(DomainCount), Bandwidth(Size, LinkBytesPerSecond),
      Capacity(Size, WeakCapacity), Starts(Size), Links(Size) {
  for (std::size_t Index = 0; Index < std::min(Size, Strong * Domains);
       ++Index) {
    Bandwidth[Index] = StrongLink;
    Capacity[Index] = StrongCapacity;
  }
  for (std::size_t Index = 0; Index < Size; ++Index)
    Nodes.push_back(std::make_unique<Node>(*this, Index));
  for (const std::unique_ptr<Node> &Item : Nodes)
    Item->Core->start(Now);
}

FleetNetwork::~FleetNetwork() = default;

/// \returns the part of a route's name, host and prefix that differs.
static std::string routeName(std::size_t Number) {
  return std::to_string(hash64(std::to_string(Number)) % 1000000);
}

void FleetNetwork::configure(std::uint64_t Version, std::size_t Routes) {
  json::array Listed;
  for (std::size_t Number = 0; Number < Routes; ++Number) {
    const std::string Name = routeName(Number);
    Listed.push_back(json::object{{"name", "r" + Name},
                                  {"host", "h" + Name + ".example"},
                                  {"prefix", "/p" + Name + "/"},
                                  {"kind", "streaming"},
                                  {"service", "drafting"},
                                  {"timeout_ms", 12000},
                                  {"target_latency_ms", 800},
                                  {"gap_aim_ms", 400},
                                  {"priority", 1},
                                  {"attempts", Attempts},
                                  {"session_affinity", true},
                                  {"stream_resume", Attempts > 1},
                                  {"public", false}});
  }
  Store.write(Deployment.configurationKey(),
              json::serialize(json::object{{"version", Version},
                                           {"routes", std::move(Listed)},
                                           {"services", json::array()}}),
              Now);
}

void FleetNetwork::writeUpstream(const std::string &Name,
                                 const std::string &Domain,
                                 const std::string &Version) {
  VersionOf[Name] = Version;
  Store.write(Deployment.upstreamPrefix() + Name,
              json::serialize(json::object{{"service", "drafting"},
                                           {"address", "10.0.0.1:80"},
                                           {"zone", Domain},
                                           {"version", Version},
                                           {"capacity", 64},
                                           {"state", "ready"},
                                           {"warmup_left_ms", 0},
                                           {"sequence", 1},
                                           {"born", 1}}),
              Now);
}

void FleetNetwork::evacuate(const std::string &Domain) {
  Store.write(EvacuationPrefix + Domain, "{}", Now);
}

void FleetNetwork::endEvacuation(const std::string &Domain) {
  Store.remove(EvacuationPrefix + Domain, Now);
}

void FleetNetwork::writeEntry(const std::string &Name,
                              const std::string &Value) {
  Store.write(Deployment.upstreamPrefix() + Name, Value, Now);
}

std::size_t FleetNetwork::logged(const std::string &Event) const {
  const auto Found = Log.Counts.find(Event);
  return Found == Log.Counts.end() ? 0 : Found->second;
}

void FleetNetwork::removeUpstream(const std::string &Name) {
  Store.remove(Deployment.upstreamPrefix() + Name, Now);
}

void FleetNetwork::setStoreUnreachable(std::size_t Index, bool IsUnreachable) {
  if (IsUnreachable)
    WithoutStore.insert(Index);
  else
    WithoutStore.erase(Index);
}

void FleetNetwork::setPeersUnreachable(std::size_t Index, bool IsUnreachable) {
  if (IsUnreachable)
    WithoutPeers.insert(Index);
  else
    WithoutPeers.erase(Index);
}

void FleetNetwork::setPaused(std::size_t Index, bool IsPaused) {
  if (IsPaused)
    Paused.insert(Index);
  else
    Paused.erase(Index);
}

void FleetNetwork::kill(std::size_t Index) {
  ++Starts[Index];
  Nodes[Index]->Core.reset();
  Links[Index].clear();
  std::erase_if(Unanswered, [Index](const UnansweredCall &Item) {
    return Item.Caller == Index;
  });
  Store.forget(Index);
}

void FleetNetwork::expireEntry(std::size_t Index) {
  Store.remove(InstancePrefix + ("i" + std::to_string(Index)), Now);
}

void FleetNetwork::restart(std::size_t Index) {
  kill(Index);
  Nodes[Index] = std::make_unique<Node>(*this, Index);
  Nodes[Index]->Core->start(Now);
}

void FleetNetwork::restartWithRetries(double Extra) {
  ExtraRetries = Extra;
  for (std::size_t Index = 0; Index < size(); ++Index)
    restart(Index);
}

std::uint64_t FleetNetwork::request(std::size_t Index,
                                    const std::vector<std::string> &Parts,
                                    std::chrono::milliseconds TimeLimit) {
  CallerRequest In;
  In.Headers = {{"X-Attempt-Id", std::to_string(LastTicket + 1)},
                {"X-Deadline-Ms", std::to_string(TimeLimit.count())}};
  if (!Parts.empty()) {
    std::string List;
    for (const std::string &Part : Parts)
      List += (List.empty() ? "" : ",") + Part + ":100";
    In.Headers.push_back({"X-Prompt-Prefix", List});
    // No two prompts are alike.
    In.Body = In.Headers.front().Value;
  }
  return send(Index, std::move(In));
}

std::uint64_t FleetNetwork::resume(std::size_t Index, const std::string &First,
                                   int LastEvent) {
  CallerRequest In;
  In.Headers = {{"X-Attempt-Id", std::to_string(LastTicket + 1)},
                {"X-Deadline-Ms", "12000"},
                {"X-Prompt-Prefix", "resumed:100"},
                {"Resumes", First},
                {"Last-Event-Id", std::to_string(LastEvent)}};
  In.Body = In.Headers.front().Value;
  return send(Index, std::move(In));
}

std::uint64_t FleetNetwork::requestWithBody(std::size_t Index,
                                            const std::string &Body) {
  CallerRequest In;
  In.Headers = {{"X-Attempt-Id", std::to_string(LastTicket + 1)},
                {"X-Deadline-Ms", "12000"}};
  In.Body = Body;
  return send(Index, std::move(In));
}

std::uint64_t FleetNetwork::send(std::size_t Index, CallerRequest In) {
  const std::string Name = routeName(0);
  In.Ticket = CallerTicket{++LastTicket};
  In.Method = "POST";
  In.Target = "/p" + Name + "/";
  In.Host = "h" + Name + ".example";
  Nodes[Index]->Core->onCallerRequest(std::move(In), Now);
  return LastTicket;
}

void FleetNetwork::stateRateLimit(const std::string &Upstream,
                                  const std::string &Limit) {
  StatedLimits[UpstreamName{Upstream}] = Limit;
}

bool FleetNetwork::crashes(const UpstreamArrival &Item) const {
  return Item.Body == CrashingBody ||
         std::find(Item.Parts.begin(), Item.Parts.end(), CrashingPart) !=
             Item.Parts.end();
}

void FleetNetwork::callUpstream(std::size_t From, const UpstreamCall &Call) {
  std::vector<std::string> Parts;
  if (const std::string *List = findHeader(Call.Headers, "X-Prompt-Prefix")) {
    std::istringstream In(*List);
    for (std::string Part; std::getline(In, Part, ',');)
      Parts.push_back(Part.substr(0, Part.find(':')));
  }
  if (FullLinks.contains(From)) {
    TimingOut.emplace_back(Now + Call.ConnectTimeout, From, Call.Attempt);
    return;
  }
  // A process that has ended refuses connections.
  if (isDown(Call.Upstream)) {
    RefusedAttempts.push_back({From, Call.Attempt});
    return;
  }
  Arrivals.push_back({Call.Upstream, From, Now, Parts, Call.Body.text(),
                      std::stoull(Call.Match.Value)});
  PendingAnswers.push_back({Now + AnswerTime, From, Starts[From], Call.Attempt,
                            Call.Upstream, std::move(Parts),
                            crashes(Arrivals.back())});
  const std::string *Last = findHeader(Call.Headers, "Last-Event-Id");
  if (Last != nullptr && !Last->empty())
    PendingAnswers.back().NextEvent = std::stoi(*Last) + 1;
}

void FleetNetwork::refuseAttempts() {
  std::vector<std::pair<std::size_t, UpstreamName>> Probes;
  Probes.swap(RefusedProbes);
  for (const auto &[Instance, Upstream] : Probes)
    if (Nodes[Instance]->Core)
      Nodes[Instance]->Core->onUpstreamRefused(Upstream, Now);
  std::vector<std::pair<std::size_t, AttemptId>> Due;
  Due.swap(RefusedAttempts);
  for (const auto &[Instance, Attempt] : Due)
    if (Nodes[Instance]->Core)
      Nodes[Instance]->Core->onUpstreamFailure(Attempt,
                                               UpstreamFailure::NotSent, Now);
}

void FleetNetwork::setLinkFull(std::size_t Index, bool IsFull) {
  if (IsFull)
    FullLinks.insert(Index);
  else
    FullLinks.erase(Index);
}

bool FleetNetwork::ready(std::size_t Index) const {
  return Nodes[Index]->Core->status(Now).Ready;
}

void FleetNetwork::timeOutAttempts() {
  while (!TimingOut.empty() && Now >= std::get<TimePoint>(TimingOut.front())) {
    const auto [At, Instance, Attempt] = TimingOut.front();
    TimingOut.pop_front();
    if (Nodes[Instance]->Core)
      Nodes[Instance]->Core->onUpstreamFailure(
          Attempt, UpstreamFailure::ConnectTimedOut, Now);
  }
}

void FleetNetwork::drain(std::size_t Index) { Nodes[Index]->Core->drain(Now); }

bool FleetNetwork::drained(std::size_t Index) const {
  return Nodes[Index]->Core->drained();
}

bool FleetNetwork::isDown(const UpstreamName &Upstream) const {
  return EndedUpstreams.contains(Upstream);
}

void FleetNetwork::crash(const UpstreamName &Upstream) {
  if (!EndedUpstreams.insert(Upstream).second)
    return;
  Crashes.push_back(Now);
  DownUpstreams.push_back(
      {Upstream, Now + UpstreamLapseTime, Now + UpstreamRestartTime});
  std::vector<PendingAnswer> Broken;
  std::erase_if(PendingAnswers, [&](const PendingAnswer &Item) {
    if (Item.Upstream != Upstream)
      return false;
    Broken.push_back(Item);
    return true;
  });
  for (const PendingAnswer &Item : Broken)
    if (Starts[Item.Instance] == Item.Start)
      Nodes[Item.Instance]->Core->onUpstreamFailure(
          Item.Attempt, UpstreamFailure::Closed, Now);
}

void FleetNetwork::restartUpstreams() {
  for (DownUpstream &Item : DownUpstreams) {
    if (Item.Removed || Now < Item.RemovedAt)
      continue;
    Item.Removed = true;
    removeUpstream(Item.Name.Value);
  }
  std::erase_if(DownUpstreams, [&](const DownUpstream &Item) {
    if (Now < Item.ReturnsAt)
      return false;
    writeUpstream(Item.Name.Value + "x", "d0", VersionOf[Item.Name.Value]);
    return true;
  });
}

static std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: a\n\n";
}

void FleetNetwork::answerCalls() {
  std::vector<PendingAnswer> Due;
  std::erase_if(PendingAnswers, [&](const PendingAnswer &Item) {
    if (Now < Item.Due)
      return false;
    Due.push_back(Item);
    return true;
  });
  for (const PendingAnswer &Item : Due) {
    if (Starts[Item.Instance] != Item.Start)
      continue;
    if (isDown(Item.Upstream)) {
      // Broken by a crash of this very step.
      Nodes[Item.Instance]->Core->onUpstreamFailure(
          Item.Attempt, UpstreamFailure::Closed, Now);
      continue;
    }
    const bool Begins = !Item.Begun;
    const bool Ends = !Begins && Now >= Item.EndsAt;
    if (Item.Crashing && (Ends || !CrashDelay)) {
      PendingAnswers.push_back(Item);
      crash(Item.Upstream);
      continue;
    }
    if (Begins)
      beginAnswer(Item);
    else if (!Ends)
      Nodes[Item.Instance]->Core->onUpstreamBytes(
          Item.Attempt, eventText(Item.NextEvent), Now);
    if (!Ends && (Item.Crashing || !Item.Parts.empty())) {
      PendingAnswer Next = Item;
      Next.Begun = true;
      ++Next.NextEvent;
      if (Begins)
        Next.EndsAt = Now + (Item.Crashing ? *CrashDelay : WritingTime);
      Next.Due = std::min(Now + EventPause, Next.EndsAt);
      PendingAnswers.push_back(std::move(Next));
      continue;
    }
    FleetCore &Core = *Nodes[Item.Instance]->Core;
    Core.onUpstreamBytes(Item.Attempt,
                         eventText(Item.NextEvent + (Begins ? 1 : 0)), Now);
    Core.onUpstreamEnd(Item.Attempt, Now);
  }
}

void FleetNetwork::beginAnswer(const PendingAnswer &Item) {
  HttpHead Head{200, {{"Content-Type", "text/event-stream"}}};
  const std::string &Limit = StatedLimits[Item.Upstream];
  if (!Limit.empty())
    Head.Headers.push_back({"Server-Limit", Limit});
  FleetCore &Core = *Nodes[Item.Instance]->Core;
  Core.onUpstreamHead(Item.Attempt, Head, Now);
  Core.onUpstreamBytes(Item.Attempt, eventText(Item.NextEvent), Now);
}

std::uint64_t FleetNetwork::version(std::size_t Index) const {
  return Nodes[Index]->Core->status(Now).Configuration.Number;
}

std::size_t FleetNetwork::upstreams(std::size_t Index) const {
  return Nodes[Index]->Core->status(Now).Upstreams;
}

std::size_t FleetNetwork::bytesFromPeers(std::size_t Index) const {
  return Nodes[Index]->BytesFromPeers;
}

void FleetNetwork::sendToPeer(std::size_t From, const InstanceId &To,
                              const PeerMessage &Message) {
  const std::size_t Index = std::stoul(To.Value.substr(1));
  if (!Nodes[Index]->Core) {
    Refused.emplace_back(From, Index);
    return;
  }
  if (WithoutPeers.contains(From) || WithoutPeers.contains(Index)) {
    LostBehindCut.emplace_back(Now + DeliveryTimeout, From, Index);
    return;
  }
  capnp::MallocMessageBuilder Built;
  internal::write(Built.initRoot<schema::PeerMessage>(),
                  InstanceId{"i" + std::to_string(From)}, Message);
  const double Bytes =
      static_cast<double>(capnp::computeSerializedSizeInWords(Built)) *
      sizeof(capnp::word);
  Links[Index][From].push_back({Bytes, 0, Now, Message, std::nullopt});
}

void FleetNetwork::callStore(std::size_t From, StoreCallId Id,
                             const StoreCall &Call) {
  if (!WithoutStore.contains(From)) {
    Store.execute(From, Id, Call, Now);
    return;
  }
  const auto *Watch = std::get_if<WatchKeys>(&Call);
  Unanswered.push_back(
      {From, Id,
       Now + StoreCallTimeout + (Watch == nullptr ? 0ms : Watch->Wait)});
}

void FleetNetwork::deliver(std::size_t From, std::size_t To,
                           const Transfer &Item) {
  if (!Nodes[To]->Core)
    return;
  FleetCore &Core = *Nodes[To]->Core;
  if (Item.Reply)
    Core.onStoreReply(Item.Reply->Id, Item.Reply->Reply, Now);
  else
    Core.onPeerMessage(InstanceId{"i" + std::to_string(From)}, Item.Message,
                       Now);
}

void FleetNetwork::moveBytes(std::size_t To) {
  Connections &Link = Links[To];
  std::erase_if(Link, [](const auto &Item) { return Item.second.empty(); });
  const double Share =
      Paused.contains(To)
          ? 0.0
          : Bandwidth[To] * std::chrono::duration<double>(StepTime).count() /
                static_cast<double>(std::max<std::size_t>(1, Link.size()));
  std::vector<std::pair<std::size_t, Transfer>> Done;
  std::vector<std::size_t> Lost;
  for (auto &[From, Waiting] : Link) {
    double Left = Share;
    while (!Waiting.empty() && Left > 0) {
      const double Moved = std::min(Left, Waiting.front().BytesLeft);
      Waiting.front().BytesLeft -= Moved;
      reportProgress(To, Waiting.front(), Moved);
      Left -= Moved;
      Nodes[To]->BytesFromPeers +=
          From < size() ? static_cast<std::size_t>(Moved) : 0;
      if (Waiting.front().BytesLeft > 0)
        break;
      Done.emplace_back(From, std::move(Waiting.front()));
      Waiting.pop_front();
    }
    if (From < size() && !Waiting.empty() &&
        Now >= Waiting.front().SentAt + DeliveryTimeout) {
      Waiting.clear();
      Lost.push_back(From);
    }
  }
  for (const auto &[From, Item] : Done)
    deliver(From, To, Item);
  for (const std::size_t From : Lost)
    Refused.emplace_back(From, To);
}

void FleetNetwork::reportUnreachable() {
  std::vector<std::pair<std::size_t, std::size_t>> Reports;
  Reports.swap(Refused);
  for (; !LostBehindCut.empty() && Now >= std::get<0>(LostBehindCut.front());
       LostBehindCut.pop_front())
    Reports.emplace_back(std::get<1>(LostBehindCut.front()),
                         std::get<2>(LostBehindCut.front()));
  for (const auto &[From, To] : Reports)
    if (Nodes[From]->Core)
      Nodes[From]->Core->onPeerUnreachable(InstanceId{"i" + std::to_string(To)},
                                           Now);
}

void FleetNetwork::reportProgress(std::size_t To, Transfer &Item,
                                  double Moved) {
  Item.UnreportedBytes += Moved;
  if (!Item.Reply || Item.UnreportedBytes < ProgressBytes)
    return;
  Item.UnreportedBytes = 0;
  Nodes[To]->Core->onStoreProgress(Item.Reply->Id, StoreProgress::Bytes, Now);
}

void FleetNetwork::failUnansweredCalls() {
  std::vector<UnansweredCall> Due;
  std::erase_if(Unanswered, [&](const UnansweredCall &Item) {
    if (Now < Item.Until || Paused.contains(Item.Caller))
      return false;
    Due.push_back(Item);
    return true;
  });
  for (const UnansweredCall &Item : Due)
    Nodes[Item.Caller]->Core->onStoreReply(Item.Id, StoreReply(), Now);
}

void FleetNetwork::step() {
  Now += StepTime;
  failUnansweredCalls();
  for (InMemoryStore::PendingReply &Item : Store.takeReplies(Now)) {
    if (WithoutStore.contains(Item.Caller)) {
      Unanswered.push_back({Item.Caller, Item.Id, Now + StoreCallTimeout});
      continue;
    }
    // Values are transferred as base64.
    double Bytes = ReplyOverheadBytes;
    for (const StoreEntry &Entry : Item.Reply.Entries)
      Bytes += static_cast<double>(Entry.Value.size()) * 4 / 3;
    const std::size_t To = Item.Caller;
    Links[To][size()].push_back({Bytes, 0, Now, {}, std::move(Item)});
  }
  for (std::size_t To = 0; To < size(); ++To)
    moveBytes(To);
  reportUnreachable();
  refuseAttempts();
  timeOutAttempts();
  answerCalls();
  restartUpstreams();
  for (std::size_t Index = 0; Index < size(); ++Index)
    if (Nodes[Index]->Core && !Paused.contains(Index))
      Nodes[Index]->Core->runTimers(Now);
}

void FleetNetwork::runFor(Duration Time) {
  const TimePoint End = Now + Time;
  while (Now < End)
    step();
}

} // namespace bronzeward::fakes
