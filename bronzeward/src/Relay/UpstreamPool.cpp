#include "bronzeward/src/Relay/UpstreamPool.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// Time over which failures and slowness are forgotten, so that an upstream
/// which got better is tried again.
constexpr std::chrono::duration<double> Forgetting = 4s;
/// Time over which a stated load loses its weight; calls of other instances
/// come and go meanwhile.
constexpr std::chrono::duration<double> LoadFreshness = 500ms;
/// First and longest time for which an unreachable upstream is passed over.
constexpr Duration MinShun = 500ms;
constexpr Duration MaxShun = 4s;
/// An upstream that turned a call away is passed over for this long.
constexpr Duration TurnedAwayPause = 100ms;
/// A call that waits for its first byte for longer than this, and than
/// SilenceMultiple of the expected time, makes its upstream count as silent.
constexpr Duration SilenceFloor = 800ms;
constexpr int SilenceMultiple = 4;
/// Weights of one outcome in the share of failures.
constexpr double BrokenWeight = 0.25;
constexpr double FailedWeight = 0.1;
constexpr double AnsweredWeight = 0.15;
/// Weight of a new measurement in the moving averages.
constexpr double Smoothing = 0.1;
constexpr double SlownessSmoothing = 0.3;
constexpr double MaxSlowness = 10.0;
constexpr double LowerWeight = 0.2;
constexpr double HigherWeight = 0.01;
/// How long a peer's notice of its load holds; it repeats it sooner.
constexpr Duration PeerLoadTime = 1s;
/// Expected times below this say little of an upstream's speed.
constexpr Duration MinMeasured = 20ms;
/// Fewer prompt tokens say little of the time for one.
constexpr std::int64_t MinMeasuredTokens = 1000;
/// Starting values, before anything was measured.
constexpr Duration InitialServiceTime = 50ms;
constexpr Duration InitialTokenTime = 20us;
/// An upstream counts as crowded from one part in this many of its connections;
/// each call has one, and idle ones are not told.
constexpr std::int64_t CrowdedPart = 2;
/// Most that one instance uses of an upstream's connections: one part in this.
constexpr std::int64_t HotPart = 4;
/// How long a stated load says how many connections are in use.
constexpr Duration LoadTold = 1s;
/// One-way delay assumed between failure domains.
constexpr Duration DomainDistance = 4ms;
/// Prompt beginnings remembered for one upstream.
constexpr std::size_t MaxPrefixes = 4096;
/// Services with up to this many upstreams are looked at whole; of larger ones
/// the homes of the prompt and a random sample.
constexpr std::size_t LookAtAll = 64;
/// One part in this many of the cost of computing again is forgiven at the
/// second home.
constexpr std::int64_t SecondHomePart = 4;
constexpr std::size_t MaxHomes = 4;
constexpr std::size_t SampleSize = 8;

/// \returns the weight of a value that is Age old.
static double faded(Duration Age, std::chrono::duration<double> Over) {
  return std::exp(-std::chrono::duration<double>(Age) / Over);
}

std::vector<UpstreamName>
UpstreamPool::setUsable(const std::vector<UpstreamEntry> &Usable,
                        TimePoint Now) {
  std::vector<UpstreamName> Restarted;
  std::map<UpstreamName, State> Fresh;
  std::map<ServiceName, std::vector<UpstreamName>> Names;
  for (const UpstreamEntry &Entry : Usable) {
    Names[Entry.Service].push_back(Entry.Name);
    const auto Known = States.find(Entry.Name);
    const bool Restart =
        Known != States.end() && Known->second.Entry.Started != Entry.Started;
    State Item;
    if (Known != States.end() && !Restart) {
      Item = std::move(Known->second);
    } else {
      Item.ServiceTime = InitialServiceTime;
      Item.Prefixes = PrefixIndex(MaxPrefixes);
      Item.LastHeard = Now;
    }
    if (Restart)
      Restarted.push_back(Entry.Name);
    Item.Entry = Entry;
    Fresh.emplace(Entry.Name, std::move(Item));
  }
  States = std::move(Fresh);
  for (auto &[Name, Service] : Services)
    Service.Names.clear();
  for (auto &[Name, Listed] : Names) {
    ServiceState &Service = Services[Name];
    if (Service.TokenTime == Duration())
      Service.TokenTime = InitialTokenTime;
    Service.Names = std::move(Listed);
    Service.Homes.build(Service.Names);
  }
  return Restarted;
}

UpstreamPool::State *UpstreamPool::state(const UpstreamName &Name) {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

const UpstreamEntry *UpstreamPool::find(const UpstreamName &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second.Entry;
}

bool UpstreamPool::serves(const ServiceName &Service) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && !Found->second.Names.empty();
}

bool UpstreamPool::heardWithin(const UpstreamName &Name, Duration Time,
                               TimePoint Now) const {
  const auto Found = States.find(Name);
  return Found != States.end() && Now < Found->second.LastHeard + Time;
}

void UpstreamPool::onDispatched(AttemptId Attempt, const UpstreamName &Name,
                                const PlacementQuery &Query, TimePoint Now) {
  State *Item = state(Name);
  if (Item == nullptr)
    return;
  const Candidate Seen = describe(*Item, Query, MaxHomes, Now);
  Try Begun;
  Begun.Upstream = Name;
  Begun.FreshTokens =
      std::max<std::int64_t>(0, Query.PromptTokens - Seen.CachedTokens);
  Begun.Expected = expectedDelay({Query.PromptTokens, 0}, Seen);
  Begun.At = Now;
  Item->PendingTokens += Begun.FreshTokens;
  ++Item->Outstanding;
  Item->Unanswered.emplace(Attempt, Now);
  Item->Prefixes.insert(Query.Prefixes);
  Tries.emplace(Attempt, std::move(Begun));
}

void UpstreamPool::onFirstByte(AttemptId Attempt, TimePoint Now) {
  const auto Found = Tries.find(Attempt);
  if (Found == Tries.end())
    return;
  Try &Running = Found->second;
  State *Item = state(Running.Upstream);
  if (Item == nullptr)
    return;
  Item->LastHeard = Now;
  if (Running.Answered)
    return;
  Running.Answered = true;
  Item->PendingTokens -= std::min(Item->PendingTokens, Running.FreshTokens);
  Item->Unanswered.erase(Attempt);
  learn(*Item, Running, Now);
}

void UpstreamPool::learn(State &Item, const Try &Done, TimePoint Now) {
  const Duration Waited = Now - Done.At;
  ServiceState &Service = Services[Item.Entry.Service];
  if (Done.FreshTokens >= MinMeasuredTokens) {
    // Waiting behind others is in the measurement, so that lower ones count
    // for more.
    const Duration PerToken = Waited / Done.FreshTokens;
    const double Weight =
        PerToken < Service.TokenTime ? LowerWeight : HigherWeight;
    Service.TokenTime += std::chrono::duration_cast<Duration>(
        (std::min(PerToken, 5 * InitialTokenTime) - Service.TokenTime) *
        Weight);
  }
  const std::chrono::duration<double> Expected =
      std::max(Done.Expected, MinMeasured);
  const double Ratio = std::clamp(
      std::chrono::duration<double>(Waited) / Expected, 1.0, MaxSlowness);
  const double Before = slowdown(Item, Now);
  Item.Slowness = Before + (Ratio - Before) * SlownessSmoothing;
  Item.SlownessAt = Now;
}

void UpstreamPool::onEnded(AttemptId Attempt, TryEnd How, TimePoint Now) {
  const auto Found = Tries.find(Attempt);
  if (Found == Tries.end())
    return;
  const Try Done = std::move(Found->second);
  Tries.erase(Found);
  State *Item = state(Done.Upstream);
  if (Item == nullptr)
    return;
  Item->Outstanding = std::max<std::int64_t>(0, Item->Outstanding - 1);
  if (!Done.Answered)
    Item->PendingTokens -= std::min(Item->PendingTokens, Done.FreshTokens);
  Item->Unanswered.erase(Attempt);
  const Duration Took = Now - Done.At;
  switch (How) {
  case TryEnd::Answered:
    Item->LastHeard = Now;
    Item->ShunTime = Duration();
    Item->ServiceTime += std::chrono::duration_cast<Duration>(
        (Took - Item->ServiceTime) * Smoothing);
    noteOutcome(*Item, 0.0, AnsweredWeight, Now);
    return;
  case TryEnd::Failed:
    Item->LastHeard = Now;
    noteOutcome(*Item, 1.0, FailedWeight, Now);
    return;
  case TryEnd::Broken:
    noteOutcome(*Item, 1.0, BrokenWeight, Now);
    return;
  case TryEnd::Unreachable:
  case TryEnd::Misdirected:
    shun(*Item, Now);
    return;
  case TryEnd::TurnedAway:
    Item->ShunnedUntil = std::max(Item->ShunnedUntil, Now + TurnedAwayPause);
    return;
  case TryEnd::Cancelled:
    if (!Done.Answered && Took > SilenceFloor &&
        Took > SilenceMultiple * Done.Expected && Item->LastHeard <= Done.At)
      shun(*Item, Now);
    return;
  }
}

void UpstreamPool::noteOutcome(State &Item, double Failed, double Weight,
                               TimePoint Now) {
  const double Before = failureShare(Item, Now);
  Item.Failures = Before + (Failed - Before) * Weight;
  Item.FailuresAt = Now;
}

void UpstreamPool::shun(State &Item, TimePoint Now) {
  Item.ShunTime = std::clamp(2 * Item.ShunTime, MinShun, MaxShun);
  Item.ShunnedUntil = Now + Item.ShunTime;
  Item.Prefixes.clear();
}

void UpstreamPool::onLoad(const UpstreamName &Name, const StatedLoad &Load,
                          TimePoint Now) {
  State *Item = state(Name);
  if (Item == nullptr)
    return;
  Item->Load = Load;
  Item->LoadAt = Now;
}

void UpstreamPool::onLeaving(const UpstreamName &Name, TimePoint Now) {
  if (const State *Item = state(Name))
    Gate.onLeaving(Item->Entry, Now);
}

void UpstreamPool::onBackOff(const UpstreamName &Name, Duration Time,
                             TimePoint Now) {
  if (const State *Item = state(Name))
    Gate.onBackOff(Item->Entry, Time, Now);
}

Duration UpstreamPool::closedFor(const ServiceName &Service,
                                 TimePoint Now) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return {};
  TimePoint First = TimePoint::max();
  for (const UpstreamName &Name : Found->second.Names)
    First = std::min(First, Gate.opensAt(States.at(Name).Entry));
  return First == TimePoint::max() || First <= Now ? Duration() : First - Now;
}

void UpstreamPool::onPeerLoad(const InstanceId &Peer, const LoadNotice &Load,
                              TimePoint Now) {
  PeerLoads[Peer] = {Load, Now};
  sumPeerLoads();
}

void UpstreamPool::expirePeerLoads(TimePoint Now) {
  const std::size_t Dropped = std::erase_if(PeerLoads, [Now](const auto &Item) {
    return Now > Item.second.At + PeerLoadTime;
  });
  if (Dropped > 0)
    sumPeerLoads();
}

void UpstreamPool::sumPeerLoads() {
  for (auto &[Name, Item] : States) {
    Item.PeerCalls = 0;
    Item.PeerTokens = 0;
  }
  for (const auto &[Peer, Load] : PeerLoads)
    for (const UpstreamBacklog &Backlog : Load.Told.Upstreams)
      if (State *Item = state(Backlog.Name)) {
        Item->PeerCalls += Backlog.Calls;
        Item->PeerTokens += Backlog.PromptTokens;
      }
}

LoadNotice UpstreamPool::ownLoad() const {
  LoadNotice Own;
  for (const auto &[Name, Item] : States)
    if (Item.Outstanding > 0)
      Own.Upstreams.push_back({Name,
                               static_cast<std::uint32_t>(Item.Outstanding),
                               Item.PendingTokens});
  return Own;
}

double UpstreamPool::failureShare(const State &Item, TimePoint Now) {
  return Item.Failures * faded(Now - Item.FailuresAt, Forgetting);
}

double UpstreamPool::slowdown(const State &Item, TimePoint Now) {
  return 1.0 + (Item.Slowness - 1.0) * faded(Now - Item.SlownessAt, Forgetting);
}

double UpstreamPool::load(const State &Item, TimePoint Now) {
  const double Own = static_cast<double>(Item.Outstanding + Item.PeerCalls);
  if (!Item.LoadAt)
    return Own;
  const double Stated =
      static_cast<double>(Item.Load.Running + Item.Load.Waiting);
  return std::max(Own, Stated * faded(Now - *Item.LoadAt, LoadFreshness));
}

bool UpstreamPool::hasConnectionLeft(const State &Item,
                                     const PlacementQuery &Query,
                                     TimePoint Now) {
  if (Item.Outstanding < Query.ConnectionShare)
    return true;
  // Callers come unevenly: an instance may use what the others do not, while
  // the upstream says that much is left.
  const bool Told = Item.LoadAt && Now < *Item.LoadAt + LoadTold;
  const std::int64_t InUse = Item.Load.Running + Item.Load.Waiting;
  return Told && InUse < Query.MaxConnections / CrowdedPart &&
         Item.Outstanding < Query.MaxConnections / HotPart;
}

bool UpstreamPool::inGoodStanding(const State &Item, TimePoint Now) const {
  if (Now < Item.ShunnedUntil)
    return false;
  for (const auto &[Attempt, Sent] : Item.Unanswered) {
    const auto Running = Tries.find(Attempt);
    const Duration Patience =
        Running == Tries.end()
            ? SilenceFloor
            : std::max(SilenceFloor,
                       SilenceMultiple * Running->second.Expected);
    if (Now > Sent + Patience && Item.LastHeard <= Sent)
      return false;
  }
  return true;
}

Candidate UpstreamPool::describe(const State &Item, const PlacementQuery &Query,
                                 std::size_t HomeRank, TimePoint Now) const {
  Candidate Seen;
  Seen.Name = Item.Entry.Name;
  Seen.Load = load(Item, Now);
  Seen.Outstanding = Item.Outstanding;
  Seen.Slots = Item.Entry.Slots;
  Seen.QueuedPrefillTokens = Item.PendingTokens + Item.PeerTokens;
  Seen.ServiceTime = Item.ServiceTime;
  const auto Service = Services.find(Item.Entry.Service);
  if (Service != Services.end())
    Seen.PrefillTokenTime = Service->second.TokenTime;
  Seen.NetworkDelay = Item.Entry.Domain == Domain ? Duration() : DomainDistance;
  Seen.Slowdown = slowdown(Item, Now);
  Seen.FailureFraction = failureShare(Item, Now);
  // Other instances send the shared parts to the same home.
  std::size_t Cached = Item.Prefixes.matching(Query.Prefixes);
  const std::size_t Shared =
      Query.Prefixes.empty() ? 0 : Query.Prefixes.size() - 1;
  if (HomeRank == 0)
    Cached = std::max(Cached, Shared);
  for (std::size_t Index = 0; Index < Cached; ++Index)
    Seen.CachedTokens += Query.PartTokens[Index];
  for (std::size_t Index = Cached; Index < Shared; ++Index)
    Seen.RecomputedTokens += Query.PartTokens[Index];
  // Calls that leave the home meet at the next one, which has the parts then.
  if (HomeRank == 1)
    Seen.RecomputedTokens -= Seen.RecomputedTokens / SecondHomePart;
  return Seen;
}

std::vector<std::size_t> UpstreamPool::considered(const ServiceState &Service,
                                                  const PlacementQuery &Query,
                                                  Random &Source) const {
  const std::size_t All = Service.Names.size();
  std::vector<std::size_t> Order;
  const std::uint64_t Key = homeKey(Query.Prefixes);
  if (Key != 0)
    Order = Service.Homes.preferred(Key, MaxHomes);
  const std::size_t Homes = Order.size();
  const auto Add = [&](std::size_t Index) {
    const auto End = Order.begin() + static_cast<std::ptrdiff_t>(Homes);
    if (std::find(Order.begin(), End, Index) == End)
      Order.push_back(Index);
  };
  if (All <= LookAtAll) {
    const std::size_t Start = All == 0 ? 0 : Source.below(All);
    for (std::size_t Step = 0; Step < All; ++Step)
      Add((Start + Step) % All);
  } else {
    for (std::size_t Step = 0; Step < SampleSize; ++Step)
      Add(Source.below(All));
  }
  return Order;
}

std::vector<Candidate> UpstreamPool::candidates(const PlacementQuery &Query,
                                                Random &Source,
                                                TimePoint Now) const {
  std::vector<Candidate> Good;
  std::vector<Candidate> Rest;
  const auto Service = Services.find(Query.Service);
  if (Service == Services.end())
    return Good;
  const bool HasHome = homeKey(Query.Prefixes) != 0;
  const std::vector<std::size_t> Order =
      considered(Service->second, Query, Source);
  for (std::size_t Place = 0; Place < Order.size(); ++Place) {
    const UpstreamName &Name = Service->second.Names[Order[Place]];
    if (std::find(Query.Avoid.begin(), Query.Avoid.end(), Name) !=
        Query.Avoid.end())
      continue;
    const State &Item = States.at(Name);
    if (Now < Gate.opensAt(Item.Entry) || !hasConnectionLeft(Item, Query, Now))
      continue;
    const std::size_t Rank = HasHome ? Place : MaxHomes;
    (inGoodStanding(Item, Now) ? Good : Rest)
        .push_back(describe(Item, Query, Rank, Now));
  }
  return Good.empty() ? Rest : Good;
}

} // namespace bronzeward
