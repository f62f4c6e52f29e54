#include "bronzeward/src/Routing/UpstreamTable.h"

#include <algorithm>

namespace bronzeward {

/// Failures in a row that eject an upstream.
constexpr int FailuresToEject = 3;
/// How long a failing upstream is passed over, for each failure past that.
constexpr Duration EjectionTime = 2s;
constexpr int MaxEjectionSteps = 5;
/// Own dispatches remembered to correct a report.
constexpr std::size_t MaxRemembered = 4096;
/// Prefix blocks remembered for one upstream, and over all.
constexpr std::size_t MaxPrefixBlocks = 8192;
constexpr std::size_t MaxPrefixBlocksOverAll = 200'000;
/// Weight of a new measurement in the moving averages.
constexpr double Smoothing = 0.1;
/// Upstreams drawn at random for one choice, and those added since they
/// probably have the prefix.
constexpr std::size_t SampleSize = 8;
constexpr std::size_t MaxCached = 4;
/// Starting values, before anything was measured.
constexpr Duration InitialServiceTime = 2s;
constexpr Duration InitialPrefillTokenTime = 100us;
/// Assumed one-way delay between failure domains.
constexpr Duration DomainDistance = 3ms;
/// Bytes of prompt taken as one token when the prefix is estimated.
constexpr std::int64_t BytesPerToken = 4;

void UpstreamTable::configure(const Configuration &Text) {
  std::map<UpstreamName, UpstreamState> Fresh;
  const std::size_t Blocks = std::clamp<std::size_t>(
      MaxPrefixBlocksOverAll / std::max<std::size_t>(1, Text.Upstreams.size()),
      16, MaxPrefixBlocks);
  ByService.clear();
  for (const UpstreamSpec &Spec : Text.Upstreams) {
    ByService[Spec.Service].push_back(Spec.Name);
    const auto Known = States.find(Spec.Name);
    const bool Same = Known != States.end() &&
                      Known->second.Spec.Host == Spec.Host &&
                      Known->second.Spec.Port == Spec.Port;
    UpstreamState State;
    if (Same) {
      State = std::move(Known->second);
    } else {
      State.ServiceTime = InitialServiceTime;
      State.PrefillTokenTime = InitialPrefillTokenTime;
      State.Prefixes = PrefixIndex(Blocks);
    }
    State.Spec = Spec;
    Fresh.emplace(Spec.Name, std::move(State));
  }
  States = std::move(Fresh);
}

UpstreamState *UpstreamTable::state(const UpstreamName &Name) {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

const UpstreamState *UpstreamTable::find(const UpstreamName &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

static void remember(std::deque<TimePoint> &Times, TimePoint Now) {
  Times.push_back(Now);
  if (Times.size() > MaxRemembered)
    Times.pop_front();
}

void UpstreamTable::onDispatched(const UpstreamName &Name,
                                 const PrefixBlocks &Blocks, bool Suspect,
                                 TimePoint Now) {
  UpstreamState *State = state(Name);
  if (State == nullptr)
    return;
  ++State->Outstanding;
  State->Suspects += Suspect ? 1 : 0;
  remember(State->Dispatches, Now);
  State->Prefixes.insert(Blocks);
  Directory.insert(Blocks, Name);
}

void UpstreamTable::finishOne(UpstreamState &State, bool Suspect,
                              TimePoint Now) {
  State.Outstanding = std::max<std::int64_t>(0, State.Outstanding - 1);
  if (Suspect)
    State.Suspects = std::max<std::int64_t>(0, State.Suspects - 1);
  remember(State.Completions, Now);
}

void UpstreamTable::onCompleted(const UpstreamName &Name, bool Suspect,
                                Duration Served, TimePoint Now) {
  UpstreamState *State = state(Name);
  if (State == nullptr)
    return;
  finishOne(*State, Suspect, Now);
  State->ConsecutiveFailures = 0;
  State->ServiceTime += std::chrono::duration_cast<Duration>(
      (Served - State->ServiceTime) * Smoothing);
}

void UpstreamTable::onFailed(const UpstreamName &Name, bool Suspect,
                             TimePoint Now) {
  UpstreamState *State = state(Name);
  if (State == nullptr)
    return;
  finishOne(*State, Suspect, Now);
  // What the engine had cached may be gone with it.
  State->Prefixes.clear();
  const int Over = ++State->ConsecutiveFailures - FailuresToEject;
  if (Over < 0)
    return;
  State->EjectedUntil =
      Now + EjectionTime * std::min(Over + 1, MaxEjectionSteps);
}

void UpstreamTable::onReport(const UpstreamName &Name,
                             const LoadReport &Report) {
  UpstreamState *State = state(Name);
  if (State == nullptr)
    return;
  if (State->Report && Report.Measured < State->Report->Measured)
    return;
  State->Report = Report;
  const auto Drop = [&](std::deque<TimePoint> &Times) {
    while (!Times.empty() && Times.front() <= Report.Measured)
      Times.pop_front();
  };
  Drop(State->Dispatches);
  Drop(State->Completions);
}

void UpstreamTable::onLeaving(const UpstreamName &Name, bool Leaving) {
  UpstreamState *State = state(Name);
  if (State != nullptr)
    State->Leaving = Leaving;
}

double UpstreamTable::load(const UpstreamState &State) const {
  const double Own = static_cast<double>(State.Outstanding);
  if (!State.Report)
    return Own;
  const double Reported =
      static_cast<double>(State.Report->Running + State.Report->Queued);
  const double Since = static_cast<double>(State.Dispatches.size()) -
                       static_cast<double>(State.Completions.size());
  return std::max(Own, Reported + Since);
}

bool UpstreamTable::takesWork(const UpstreamState &State,
                              const std::vector<UpstreamName> &Avoid,
                              bool Suspect, TimePoint Now) {
  if (State.Leaving || Now < State.EjectedUntil ||
      (Suspect && State.Suspects > 0))
    return false;
  return std::find(Avoid.begin(), Avoid.end(), State.Spec.Name) == Avoid.end();
}

Candidate UpstreamTable::describe(const UpstreamState &State,
                                  const ServiceSpec &Service,
                                  const PrefixBlocks &Blocks) const {
  Candidate Item;
  Item.Name = State.Spec.Name;
  Item.Load = load(State);
  Item.Outstanding = State.Outstanding;
  Item.Slots = Service.UpstreamSlots;
  Item.CachedTokens = static_cast<std::int64_t>(
      State.Prefixes.matching(Blocks) * PrefixBlockBytes / BytesPerToken);
  Item.ServiceTime = State.ServiceTime;
  Item.PrefillTokenTime = State.PrefillTokenTime;
  Item.Distance = State.Spec.Domain == Domain ? Duration() : DomainDistance;
  return Item;
}

std::vector<Candidate> UpstreamTable::candidates(
    const ServiceSpec &Service, const PrefixBlocks &Blocks,
    const std::vector<UpstreamName> &Avoid, bool Suspect, TimePoint Now) const {
  std::vector<Candidate> Found;
  const auto Names = ByService.find(Service.Name);
  if (Names == ByService.end())
    return Found;
  for (const UpstreamName &Name : Names->second) {
    const UpstreamState &State = States.at(Name);
    if (takesWork(State, Avoid, Suspect, Now))
      Found.push_back(describe(State, Service, Blocks));
  }
  return Found;
}

std::vector<Candidate>
UpstreamTable::sample(const ServiceSpec &Service, const PrefixBlocks &Blocks,
                      const std::vector<UpstreamName> &Avoid, bool Suspect,
                      Random &Source, TimePoint Now) const {
  const auto Names = ByService.find(Service.Name);
  if (Names == ByService.end())
    return {};
  const std::vector<UpstreamName> &All = Names->second;
  if (All.size() <= SampleSize)
    return candidates(Service, Blocks, Avoid, Suspect, Now);
  std::vector<UpstreamName> Drawn = Directory.find(Blocks, MaxCached);
  const std::size_t Wanted = Drawn.size() + SampleSize;
  while (Drawn.size() < Wanted)
    Drawn.push_back(All[Source.below(All.size())]);
  std::vector<Candidate> Found;
  std::vector<UpstreamName> Seen = Avoid;
  for (const UpstreamName &Name : Drawn) {
    const auto State = States.find(Name);
    if (State == States.end() || State->second.Spec.Service != Service.Name ||
        !takesWork(State->second, Seen, Suspect, Now))
      continue;
    Seen.push_back(Name);
    Found.push_back(describe(State->second, Service, Blocks));
  }
  // Most may be away; then all are looked at.
  return Found.empty() ? candidates(Service, Blocks, Avoid, Suspect, Now)
                       : Found;
}

bool UpstreamTable::available(const ServiceName &Service, TimePoint Now) const {
  const auto Names = ByService.find(Service);
  if (Names == ByService.end())
    return false;
  return std::any_of(Names->second.begin(), Names->second.end(),
                     [&](const UpstreamName &Name) {
                       const UpstreamState &State = States.at(Name);
                       return !State.Leaving && Now >= State.EjectedUntil;
                     });
}

} // namespace bronzeward
