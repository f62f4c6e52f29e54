#include "bronzeward/src/Relay/UpstreamPool.h"

#include "bronzeward/src/Relay/ExponentialDecay.h"

#include <algorithm>

namespace bronzeward {

/// Decay time of the failure rate and the slowdown, so that a recovered
/// upstream receives calls again.
constexpr std::chrono::duration<double> HealthDecayTime = 4s;
/// Decay time of a reported load. Calls of other instances begin and end in the
/// meantime.
constexpr std::chrono::duration<double> LoadDecayTime = 500ms;
/// First and longest time for which an unreachable upstream is ejected. The
/// time doubles with each ejection until the upstream answers.
constexpr Duration MinEjection = 500ms;
constexpr Duration MaxEjection = 4s;
/// How long an upstream that rejected a call for lack of capacity is skipped.
constexpr Duration RejectionPause = 100ms;
/// An upstream counts as silent if a call waits for its first byte for longer
/// than this and for longer than SilenceMultiple times the expected delay.
constexpr Duration MinSilence = 800ms;
constexpr int SilenceMultiple = 4;
/// Weight of one outcome in the moving average of failures.
constexpr double BrokenWeight = 0.25;
constexpr double FailedWeight = 0.1;
constexpr double AnsweredWeight = 0.15;
/// Weight of a new value in the moving averages of the service time, the
/// slowdown and the time per prompt token, the latter for values below and
/// above the average.
constexpr double ServiceTimeSmoothing = 0.1;
constexpr double SlowdownSmoothing = 0.3;
constexpr double MaxSlowdown = 10.0;
/// The same for the slowdown that the reported slowness leaves over, which
/// varies more.
constexpr double ResidualSmoothing = 0.1;
constexpr double LowerTokenTimeWeight = 0.2;
constexpr double HigherTokenTimeWeight = 0.01;
/// Probability from which a part counts as one that needs no further room.
constexpr double LikelyHeld = 0.5;
/// Weight of one call in the mean tokens that calls add to an upstream's
/// memory.
constexpr double AddedTokensSmoothing = 0.05;
/// How long a peer's load notice is valid. Peers renew it more often.
constexpr Duration PeerLoadLifetime = 1s;
/// Lower bound of the expected delay in the slowdown ratio. Shorter delays say
/// little about an upstream's speed.
constexpr Duration MinComparedDelay = 20ms;
/// Prompts with fewer computed tokens say little about the time per token.
constexpr std::int64_t MinComparedTokens = 1000;
/// Initial estimates.
constexpr Duration InitialServiceTime = 50ms;
constexpr Duration InitialTokenTime = 20us;
/// An instance may exceed its share of connections while less than one in this
/// many of the upstream's connections are in use. Each call has a connection,
/// and idle connections are not reported.
constexpr std::int64_t CrowdedDivisor = 2;
/// Beyond its share, an instance uses at most one in this many of an upstream's
/// connections.
constexpr std::int64_t MaxUseDivisor = 4;
/// How long a reported load is used as the number of connections in use.
constexpr Duration LoadReportLifetime = 1s;
/// Assumed one-way network delay between failure domains.
constexpr Duration CrossDomainDelay = 4ms;
/// Prompt prefixes remembered per upstream.
constexpr std::size_t MaxPrefixes = 4096;
/// All upstreams of services up to this size are candidates. For larger
/// services the candidates are the preferred upstreams and a random sample.
constexpr std::size_t MaxFullScan = 64;
/// One in this many of the tokens that a prompt's second preferred upstream has
/// to compute again are not counted, as it may have cached them.
constexpr std::int64_t SecondPreferredDivisor = 4;
constexpr std::size_t MaxPreferred = 4;
constexpr std::size_t SampleSize = 8;

static CallFootprint footprintOf(const PlacementQuery &Query) {
  return parseFootprint(Query.Prefixes, Query.PartTokens, Query.PromptTokens,
                        Query.OutputTokens);
}

std::vector<UpstreamName>
UpstreamPool::setUsable(const std::vector<UpstreamEntry> &Usable,
                        TimePoint Now) {
  std::vector<UpstreamName> Restarted;
  std::map<UpstreamName, State> Updated;
  std::map<ServiceName, std::vector<UpstreamName>> Names;
  for (const UpstreamEntry &Entry : Usable) {
    Names[Entry.Service].push_back(Entry.Name);
    const auto Existing = States.find(Entry.Name);
    const bool Restart = Existing != States.end() &&
                         Existing->second.Entry.Started != Entry.Started;
    State Item;
    if (Existing != States.end() && !Restart) {
      Item = std::move(Existing->second);
    } else {
      Item.Availability = std::make_shared<UpstreamAvailability>();
      Item.ServiceTime = InitialServiceTime;
      Item.Prefixes = PrefixIndex(MaxPrefixes);
      Item.LastHeard = Now;
    }
    if (Restart)
      Restarted.push_back(Entry.Name);
    Item.Entry = Entry;
    Updated.emplace(Entry.Name, std::move(Item));
  }
  for (auto &[Name, Replaced] : States)
    if (Replaced.Availability)
      Replaced.Availability->withdraw();
  States = std::move(Updated);
  for (auto &[Name, Service] : Services) {
    Service.Names.clear();
    Service.Versions.clear();
  }
  for (auto &[Name, Listed] : Names) {
    ServiceState &Service = Services[Name];
    if (Service.TokenTime == Duration())
      Service.TokenTime = InitialTokenTime;
    Service.Names = std::move(Listed);
    Service.Ring.build(Service.Names);
    for (const UpstreamName &Upstream : Service.Names)
      Service.Versions.push_back(States.at(Upstream).Entry.Version);
  }
  return Restarted;
}

UpstreamPool::State *UpstreamPool::state(const UpstreamName &Name) {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

std::shared_ptr<const UpstreamAvailability>
UpstreamPool::availability(const UpstreamName &Name) const {
  return States.at(Name).Availability;
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
  const Candidate Result = makeCandidate(*Item, Query, MaxPreferred, Now);
  RunningAttempt Begun;
  Begun.Upstream = Name;
  Begun.FreshTokens =
      std::max<std::int64_t>(0, Query.PromptTokens - Result.CachedTokens);
  Begun.Expected = expectedDelay({Query.PromptTokens, 0}, Result);
  Begun.HostSlowness = Item->Speed.hostSlowness(Now);
  Begun.SentAt = Now;
  if (Query.MemoryTokens) {
    Begun.Footprint = footprintOf(Query);
    const std::int64_t Added = recordAddedTokens(*Item, Query, Now);
    Item->Held.add(Begun.Footprint);
    countTokensOfOthers(*Item, Now);
    Item->Retention.onCall(Query.Prefixes, Added, *Query.MemoryTokens);
  }
  Item->PendingTokens += Begun.FreshTokens;
  ++Item->Outstanding;
  Item->Unanswered.emplace(Attempt, Now);
  if (!Query.MemoryTokens)
    Item->Prefixes.insert(Query.Prefixes);
  RunningAttempts.emplace(Attempt, std::move(Begun));
}

void UpstreamPool::onFirstByte(AttemptId Attempt, TimePoint Now) {
  const auto Found = RunningAttempts.find(Attempt);
  if (Found == RunningAttempts.end())
    return;
  RunningAttempt &Current = Found->second;
  State *Item = state(Current.Upstream);
  if (Item == nullptr)
    return;
  Item->LastHeard = Now;
  if (Current.Answered)
    return;
  Current.Answered = true;
  Item->PendingTokens -= std::min(Item->PendingTokens, Current.FreshTokens);
  Item->Unanswered.erase(Attempt);
  updateEstimates(*Item, Current, Now);
}

void UpstreamPool::updateEstimates(State &Item, const RunningAttempt &Attempt,
                                   TimePoint Now) {
  const Duration TimeToFirstByte = Now - Attempt.SentAt;
  ServiceState &Service = Services[Item.Entry.Service];
  if (Attempt.FreshTokens >= MinComparedTokens) {
    // The time includes queueing behind other calls, so lower values are closer
    // to the computation time and have more weight.
    const Duration PerToken = TimeToFirstByte / Attempt.FreshTokens;
    const double Weight = PerToken < Service.TokenTime ? LowerTokenTimeWeight
                                                       : HigherTokenTimeWeight;
    Service.TokenTime += std::chrono::duration_cast<Duration>(
        (std::min(PerToken, 5 * InitialTokenTime) - Service.TokenTime) *
        Weight);
  }
  const std::chrono::duration<double> Expected =
      std::max(Attempt.Expected, MinComparedDelay);
  double MinRatio = 1.0;
  double Smoothing = SlowdownSmoothing;
  double Measured = std::chrono::duration<double>(TimeToFirstByte) / Expected;
  if (Item.Speed.isReported()) {
    Measured /= averageHostSlowness(Item, Attempt, Now);
    if (Attempt.FreshTokens >= MinComparedTokens)
      Item.Speed.onAnswer(Measured, Now);
    Measured /= Item.Speed.lastingSlowness(Now);
    // The host's slowness during the call is estimated too high as often as too
    // low.
    MinRatio = 1.0 / MaxSlowdown;
    Smoothing = ResidualSmoothing;
  }
  const double Ratio = std::clamp(Measured, MinRatio, MaxSlowdown);
  const double Previous = currentSlowdown(Item, Now);
  Item.Slowdown = Previous + (Ratio - Previous) * Smoothing;
  Item.SlowdownAt = Now;
}

void UpstreamPool::updateServiceTime(State &Item, const RunningAttempt &Attempt,
                                     TimePoint Now) {
  // Placement multiplies by the slowness of the moment.
  const std::chrono::duration<double> Usual =
      Item.Speed.isReported()
          ? std::chrono::duration<double>(Now - Attempt.SentAt) /
                (averageHostSlowness(Item, Attempt, Now) *
                 Item.Speed.lastingSlowness(Now))
          : std::chrono::duration<double>(Now - Attempt.SentAt);
  Item.ServiceTime += std::chrono::duration_cast<Duration>(
      (Usual - Item.ServiceTime) * ServiceTimeSmoothing);
}

void UpstreamPool::onEnded(AttemptId Attempt, AttemptEnd End, TimePoint Now) {
  const auto Found = RunningAttempts.find(Attempt);
  if (Found == RunningAttempts.end())
    return;
  const RunningAttempt Ended = std::move(Found->second);
  RunningAttempts.erase(Found);
  State *Item = state(Ended.Upstream);
  if (Item == nullptr)
    return;
  Item->Outstanding = std::max<std::int64_t>(0, Item->Outstanding - 1);
  if (!Ended.Answered)
    Item->PendingTokens -= std::min(Item->PendingTokens, Ended.FreshTokens);
  Item->Unanswered.erase(Attempt);
  Item->Held.remove(Ended.Footprint);
  const Duration Elapsed = Now - Ended.SentAt;
  switch (End) {
  case AttemptEnd::Answered:
    Item->LastHeard = Now;
    Item->EjectionTime = Duration();
    updateServiceTime(*Item, Ended, Now);
    recordOutcome(*Item, 0.0, AnsweredWeight, Now);
    return;
  case AttemptEnd::Failed:
    Item->LastHeard = Now;
    recordOutcome(*Item, 1.0, FailedWeight, Now);
    return;
  case AttemptEnd::Broken:
    recordOutcome(*Item, 1.0, BrokenWeight, Now);
    return;
  case AttemptEnd::Unreachable:
  case AttemptEnd::Misdirected:
    eject(*Item, Now);
    return;
  case AttemptEnd::RejectedBusy:
    Item->EjectedUntil = std::max(Item->EjectedUntil, Now + RejectionPause);
    return;
  case AttemptEnd::Cancelled:
    if (!Ended.Answered && Elapsed > MinSilence &&
        Elapsed > SilenceMultiple * Ended.Expected &&
        Item->LastHeard <= Ended.SentAt)
      eject(*Item, Now);
    return;
  }
}

void UpstreamPool::recordOutcome(State &Item, double Failed, double Weight,
                                 TimePoint Now) {
  const double Previous = failureRate(Item, Now);
  Item.Failures = Previous + (Failed - Previous) * Weight;
  Item.FailuresAt = Now;
}

void UpstreamPool::eject(State &Item, TimePoint Now) {
  Item.EjectionTime =
      std::clamp(2 * Item.EjectionTime, MinEjection, MaxEjection);
  Item.EjectedUntil = Now + Item.EjectionTime;
  Item.Prefixes.clear();
  Item.Retention.clear();
}

void UpstreamPool::onRefused(const UpstreamName &Name, TimePoint Now) {
  if (State *Item = state(Name))
    eject(*Item, Now);
}

void UpstreamPool::onLoad(const UpstreamName &Name, const ReportedLoad &Load,
                          TimePoint Now) {
  State *Item = state(Name);
  if (Item == nullptr)
    return;
  countTokensOfOthers(*Item, Now);
  Item->Load = Load;
  Item->LoadReportedAt = Now;
  if (Load.HostSlowness)
    Item->Speed.onReport(*Load.HostSlowness, Now);
}

void UpstreamPool::onLeaving(const UpstreamName &Name, TimePoint Now) {
  State *Item = state(Name);
  if (Item == nullptr)
    return;
  Gate.onLeaving(Item->Entry, Now);
  // Calls that are placed there nevertheless come after a change of its entry.
  std::exchange(Item->Availability, std::make_shared<UpstreamAvailability>())
      ->withdraw();
}

void UpstreamPool::onBackOff(const UpstreamName &Name, Duration Time,
                             TimePoint Now) {
  if (const State *Item = state(Name))
    Gate.onBackOff(Item->Entry, Time, Now);
}

std::vector<UpstreamName>
UpstreamPool::upstreamsOf(const ServiceName &Service) const {
  const auto Found = Services.find(Service);
  return Found == Services.end() ? std::vector<UpstreamName>()
                                 : Found->second.Names;
}

TimePoint UpstreamPool::blockedUntil(const UpstreamName &Name) const {
  const UpstreamEntry *Entry = find(Name);
  return Entry == nullptr ? TimePoint::max() : Gate.blockedUntil(*Entry);
}

void UpstreamPool::onPeerLoad(const InstanceId &Peer, const LoadNotice &Load,
                              TimePoint Now) {
  PeerLoads[Peer] = {Load, Now};
  sumPeerLoads();
}

void UpstreamPool::expirePeerLoads(TimePoint Now) {
  const std::size_t Dropped = std::erase_if(PeerLoads, [Now](const auto &Item) {
    return Now > Item.second.ReceivedAt + PeerLoadLifetime;
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
    for (const UpstreamBacklog &Backlog : Load.Notice.Upstreams)
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

double UpstreamPool::failureRate(const State &Item, TimePoint Now) {
  return Item.Failures * decayWeight(Now - Item.FailuresAt, HealthDecayTime);
}

double UpstreamPool::currentSlowdown(const State &Item, TimePoint Now) {
  return 1.0 + (Item.Slowdown - 1.0) *
                   decayWeight(Now - Item.SlowdownAt, HealthDecayTime);
}

double UpstreamPool::averageHostSlowness(const State &Item,
                                         const RunningAttempt &Attempt,
                                         TimePoint Now) {
  return (Attempt.HostSlowness + Item.Speed.hostSlowness(Now)) / 2.0;
}

double UpstreamPool::estimatedLoad(const State &Item, TimePoint Now) {
  const double Own = static_cast<double>(Item.Outstanding + Item.PeerCalls);
  if (!Item.LoadReportedAt)
    return Own;
  const double Reported =
      static_cast<double>(Item.Load.Running + Item.Load.Waiting);
  return std::max(
      Own, Reported * decayWeight(Now - *Item.LoadReportedAt, LoadDecayTime));
}

std::int64_t UpstreamPool::recordAddedTokens(const State &Item,
                                             const PlacementQuery &Query,
                                             TimePoint Now) {
  ServiceState &Service = Services[Item.Entry.Service];
  const std::uint64_t Key = sharedPrefixHash(Query.Prefixes);
  const std::vector<std::size_t> Preferred =
      Key == 0 ? std::vector<std::size_t>() : Service.Ring.preferred(Key, 1);
  const bool IsPreferred =
      !Preferred.empty() && Service.Names[Preferred.front()] == Item.Entry.Name;
  const Candidate Estimate =
      makeCandidate(Item, Query, IsPreferred ? 0 : MaxPreferred, Now);
  const std::int64_t Added =
      std::max<std::int64_t>(0, Query.PromptTokens - Estimate.CachedTokens) +
      Query.OutputTokens;
  double &Mean = Service.MeanAddedTokens;
  Mean = Mean == 0.0 ? static_cast<double>(Added)
                     : Mean + (static_cast<double>(Added) - Mean) *
                                  AddedTokensSmoothing;
  return Added;
}

std::int64_t UpstreamPool::tokensOfOthers(const State &Item,
                                          TimePoint Now) const {
  const auto Service = Services.find(Item.Entry.Service);
  if (Service == Services.end())
    return 0;
  const double Calls = std::max(0.0, estimatedLoad(Item, Now) -
                                         static_cast<double>(Item.Outstanding));
  return static_cast<std::int64_t>(Calls * Service->second.MeanAddedTokens);
}

void UpstreamPool::countTokensOfOthers(State &Item, TimePoint Now) const {
  const std::chrono::duration<double> Elapsed =
      std::min(Now - Item.OthersCountedAt, LoadReportLifetime);
  Item.OthersCountedAt = Now;
  const auto Service = Services.find(Item.Entry.Service);
  if (Service == Services.end() || Service->second.TokenTime <= Duration() ||
      Item.ServiceTime <= Duration())
    return;
  const double Turns = Elapsed / Item.ServiceTime;
  const double MostComputed = Elapsed / Service->second.TokenTime;
  Item.Retention.onOthersTokens(std::min(
      MostComputed, Turns * static_cast<double>(tokensOfOthers(Item, Now))));
}

void UpstreamPool::estimateMemory(Candidate &Result, const State &Item,
                                  const PlacementQuery &Query,
                                  std::size_t PreferenceRank,
                                  TimePoint Now) const {
  const std::int64_t Held = Item.Held.total() + tokensOfOthers(Item, Now);
  const std::int64_t Spare = *Query.MemoryTokens - Held;
  double Cached = 0.0;
  double Probability = 1.0;
  std::int64_t Evictable = 0;
  std::size_t LikelyParts = 0;
  for (std::size_t Index = 0; Index < Query.Prefixes.size(); ++Index) {
    const std::uint64_t Prefix = Query.Prefixes[Index];
    const bool Shared = Index + 1 < Query.Prefixes.size();
    const PrefixRetention::Users Who =
        Shared && PreferenceRank == 0 ? PrefixRetention::Users::AllInstances
                                      : PrefixRetention::Users::ThisInstance;
    // Parts that running calls have are not evicted. A part is of use only
    // after all parts before it.
    if (!Shared || !Item.Held.holds(Prefix)) {
      Evictable += Query.PartTokens[Index];
      Probability =
          Evictable > Spare
              ? 0.0
              : std::min(Probability,
                         Item.Retention.heldProbability(Prefix, Spare, Who));
    }
    Cached += Probability * static_cast<double>(Query.PartTokens[Index]);
    if (Probability >= LikelyHeld)
      ++LikelyParts;
  }
  Result.CachedTokens = static_cast<std::int64_t>(Cached);
  Result.RoomDelay = timeUntilRoom(
      {.Memory = *Query.MemoryTokens,
       .Held = Held,
       .Needed = Item.Held.addedBy(footprintOf(Query), LikelyParts)},
      Item.ServiceTime);
}

bool UpstreamPool::hasConnectionLeft(const State &Item,
                                     const PlacementQuery &Query,
                                     TimePoint Now) {
  if (Item.Outstanding < Query.ConnectionShare)
    return true;
  // Callers are spread unevenly: an instance may use connections that others
  // leave free, as long as the upstream reports that enough are free.
  const bool Reported =
      Item.LoadReportedAt && Now < *Item.LoadReportedAt + LoadReportLifetime;
  const std::int64_t InUse = Item.Load.Running + Item.Load.Waiting;
  return Reported && InUse < Query.MaxConnections / CrowdedDivisor &&
         Item.Outstanding < Query.MaxConnections / MaxUseDivisor;
}

bool UpstreamPool::isHealthy(const State &Item, TimePoint Now) const {
  if (Now < Item.EjectedUntil)
    return false;
  for (const auto &[Attempt, Sent] : Item.Unanswered) {
    const auto Found = RunningAttempts.find(Attempt);
    const Duration SilenceTimeout =
        Found == RunningAttempts.end()
            ? MinSilence
            : std::max(MinSilence, SilenceMultiple * Found->second.Expected);
    if (Now > Sent + SilenceTimeout && Item.LastHeard <= Sent)
      return false;
  }
  return true;
}

void UpstreamPool::estimateCached(Candidate &Result, const State &Item,
                                  const PlacementQuery &Query,
                                  std::size_t PreferenceRank) const {
  // Other instances send prompts with the same shared parts to the same
  // preferred upstream, so they are probably cached there.
  std::size_t Cached = Item.Prefixes.matching(Query.Prefixes);
  const std::size_t Shared =
      Query.Prefixes.empty() ? 0 : Query.Prefixes.size() - 1;
  if (PreferenceRank == 0)
    Cached = std::max(Cached, Shared);
  for (std::size_t Index = 0; Index < Cached; ++Index)
    Result.CachedTokens += Query.PartTokens[Index];
  for (std::size_t Index = Cached; Index < Shared; ++Index)
    Result.RecomputedTokens += Query.PartTokens[Index];
  // Calls that spill over from the first preferred upstream all go to the
  // second one, which then has the shared parts cached.
  if (PreferenceRank == 1)
    Result.RecomputedTokens -= Result.RecomputedTokens / SecondPreferredDivisor;
}

Candidate UpstreamPool::makeCandidate(const State &Item,
                                      const PlacementQuery &Query,
                                      std::size_t PreferenceRank,
                                      TimePoint Now) const {
  Candidate Result;
  Result.Name = Item.Entry.Name;
  Result.Load = estimatedLoad(Item, Now);
  Result.Outstanding = Item.Outstanding;
  Result.Slots = Item.Entry.Slots;
  Result.QueuedPrefillTokens = Item.PendingTokens + Item.PeerTokens;
  Result.ServiceTime = Item.ServiceTime;
  const auto Service = Services.find(Item.Entry.Service);
  if (Service != Services.end())
    Result.PrefillTokenTime = Service->second.TokenTime;
  Result.NetworkDelay =
      Item.Entry.Domain == Domain ? Duration() : CrossDomainDelay;
  Result.Slowdown = currentSlowdown(Item, Now) * Item.Speed.slowness(Now);
  Result.FailureFraction = failureRate(Item, Now);
  if (Query.MemoryTokens)
    estimateMemory(Result, Item, Query, PreferenceRank, Now);
  else
    estimateCached(Result, Item, Query, PreferenceRank);
  return Result;
}

static bool mayUse(const PlacementQuery &Query, VersionId Version) {
  return !Query.Versions ||
         std::find(Query.Versions->begin(), Query.Versions->end(), Version) !=
             Query.Versions->end();
}

std::vector<std::size_t> UpstreamPool::eligible(const ServiceState &Service,
                                                const PlacementQuery &Query) {
  std::vector<std::size_t> Indexes;
  Indexes.reserve(Service.Names.size());
  for (std::size_t Index = 0; Index < Service.Names.size(); ++Index)
    if (mayUse(Query, Service.Versions[Index]))
      Indexes.push_back(Index);
  return Indexes;
}

std::vector<std::size_t> UpstreamPool::preferred(const ServiceState &Service,
                                                 const PlacementQuery &Query) {
  const std::uint64_t Key = sharedPrefixHash(Query.Prefixes);
  if (Key == 0)
    return {};
  if (!Query.Versions)
    return Service.Ring.preferred(Key, MaxPreferred);
  // The first ones may all have another version.
  std::vector<std::size_t> Order =
      Service.Ring.preferred(Key, Service.Names.size());
  std::erase_if(Order, [&](std::size_t Index) {
    return !mayUse(Query, Service.Versions[Index]);
  });
  Order.resize(std::min(Order.size(), MaxPreferred));
  return Order;
}

std::vector<std::size_t> UpstreamPool::scanOrder(const ServiceState &Service,
                                                 const PlacementQuery &Query,
                                                 Random &Source) const {
  const std::vector<std::size_t> Eligible = eligible(Service, Query);
  const std::size_t All = Eligible.size();
  std::vector<std::size_t> Order = preferred(Service, Query);
  const std::size_t PreferredCount = Order.size();
  const auto AddUnlessPreferred = [&](std::size_t Index) {
    const auto End =
        Order.begin() + static_cast<std::ptrdiff_t>(PreferredCount);
    if (std::find(Order.begin(), End, Index) == End)
      Order.push_back(Index);
  };
  if (All <= MaxFullScan) {
    const std::size_t Start = All == 0 ? 0 : Source.below(All);
    for (std::size_t Step = 0; Step < All; ++Step)
      AddUnlessPreferred(Eligible[(Start + Step) % All]);
  } else {
    for (std::size_t Step = 0; Step < SampleSize; ++Step)
      AddUnlessPreferred(Eligible[Source.below(All)]);
  }
  return Order;
}

/// Counts, for each candidate, the tokens that are computed again there but not
/// where most are cached.
static void compareCached(std::vector<Candidate> &Candidates,
                          const PlacementQuery &Query) {
  std::int64_t Most = 0;
  for (const Candidate &Item : Candidates)
    Most = std::max(Most, Item.CachedTokens);
  Most = std::min(Most, Query.PromptTokens);
  for (Candidate &Item : Candidates)
    Item.RecomputedTokens = std::max<std::int64_t>(0, Most - Item.CachedTokens);
}

std::vector<Candidate> UpstreamPool::candidates(const PlacementQuery &Query,
                                                Random &Source,
                                                TimePoint Now) const {
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Unhealthy;
  const auto Service = Services.find(Query.Service);
  if (Service == Services.end())
    return Healthy;
  if (Query.MemoryTokens && footprintOf(Query).total() > *Query.MemoryTokens)
    return Healthy;
  const bool HasPreferred = sharedPrefixHash(Query.Prefixes) != 0;
  const std::vector<std::size_t> Order =
      scanOrder(Service->second, Query, Source);
  for (std::size_t Position = 0; Position < Order.size(); ++Position) {
    const UpstreamName &Name = Service->second.Names[Order[Position]];
    if (std::find(Query.Excluded.begin(), Query.Excluded.end(), Name) !=
        Query.Excluded.end())
      continue;
    const State &Item = States.at(Name);
    if (Now < Gate.blockedUntil(Item.Entry) ||
        !hasConnectionLeft(Item, Query, Now))
      continue;
    const std::size_t Rank = HasPreferred ? Position : MaxPreferred;
    (isHealthy(Item, Now) ? Healthy : Unhealthy)
        .push_back(makeCandidate(Item, Query, Rank, Now));
  }
  if (Healthy.empty())
    Healthy.swap(Unhealthy);
  if (Query.MemoryTokens)
    compareCached(Healthy, Query);
  return Healthy;
}

} // namespace bronzeward
