#include "bronzeward/src/Routing/UpstreamTable.h"

#include <algorithm>
#include <cmath>

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
/// Homes of a prefix that are looked at.
constexpr std::size_t MaxHomes = 6;
/// A further home counts as having one part in this many less of the prefix.
constexpr std::int64_t HomeDiscount = 50;
/// Fewer prompt tokens say little of an upstream's speed.
constexpr std::int64_t MinMeasuredTokens = 128;
/// Slowest speed that a measurement is taken for.
constexpr Duration MaxPrefillTokenTime = 2ms;
/// Most by which this instance's waiting prompts stand for all.
constexpr double MaxPrefillScale = 8.0;
/// Starting values, before anything was measured.
constexpr Duration InitialServiceTime = 2s;
constexpr Duration InitialPrefillTokenTime = 100us;
/// Assumed one-way delay between failure domains.
constexpr Duration DomainDistance = 3ms;
/// Bytes of prompt taken as one token when the prefix is estimated.
constexpr std::int64_t BytesPerToken = 4;

/// \returns requests that a report tells of.
static double requestsOf(const LoadReport &Report) {
  return static_cast<double>(Report.Running + Report.Queued);
}

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
  Homes.clear();
  Reported.clear();
  for (const auto &[Name, State] : States) {
    if (!State.Report)
      continue;
    ReportedLoads &All = Reported[State.Spec.Service];
    All.Count += 1.0;
    All.Sum += requestsOf(*State.Report);
  }
  for (const auto &[Service, Names] : ByService)
    Homes[Service].build(Names);
}

UpstreamState *UpstreamTable::state(const UpstreamName &Name) {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

const UpstreamState *UpstreamTable::find(const UpstreamName &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

static std::int64_t tokensOf(std::size_t Blocks) {
  return static_cast<std::int64_t>(Blocks * PrefixBlockBytes / BytesPerToken);
}

static std::int64_t cachedTokens(const UpstreamState &State,
                                 const PrefixBlocks &Blocks) {
  return tokensOf(State.Prefixes.matching(Blocks));
}

static void remember(std::deque<TimePoint> &Times, TimePoint Now) {
  Times.push_back(Now);
  if (Times.size() > MaxRemembered)
    Times.pop_front();
}

DispatchEstimate UpstreamTable::onDispatched(const UpstreamName &Name,
                                             const PrefixBlocks &Blocks,
                                             std::int64_t PromptTokens,
                                             bool Suspect, TimePoint Now) {
  UpstreamState *State = state(Name);
  if (State == nullptr)
    return {};
  DispatchEstimate Expected;
  Expected.Ahead = prefillAhead(*State, load(*State, Now));
  Expected.Fresh =
      std::max<std::int64_t>(0, PromptTokens - cachedTokens(*State, Blocks));
  State->PendingPrefill += Expected.Fresh;
  ++State->Outstanding;
  State->Suspects += Suspect ? 1 : 0;
  remember(State->Dispatches, Now);
  State->Prefixes.insert(Blocks);
  Directory.insert(Blocks, Name);
  return Expected;
}

void UpstreamTable::onNoAnswer(const UpstreamName &Name,
                               const DispatchEstimate &Expected) {
  UpstreamState *State = state(Name);
  if (State != nullptr)
    State->PendingPrefill =
        std::max<std::int64_t>(0, State->PendingPrefill - Expected.Fresh);
}

void UpstreamTable::onFirstToken(const UpstreamName &Name,
                                 const DispatchEstimate &Expected,
                                 Duration Waited) {
  onNoAnswer(Name, Expected);
  UpstreamState *State = state(Name);
  const std::int64_t Tokens = Expected.Fresh + Expected.Ahead;
  if (State == nullptr || Tokens < MinMeasuredTokens)
    return;
  const Duration PerToken = std::min(Waited / Tokens, MaxPrefillTokenTime);
  State->PrefillTokenTime += std::chrono::duration_cast<Duration>(
      (PerToken - State->PrefillTokenTime) * Smoothing);
}

std::int64_t UpstreamTable::prefillAhead(const UpstreamState &State,
                                         double Load) {
  // Other instances' prompts are taken to wait as this one's do.
  const double Own = std::max(1.0, static_cast<double>(State.Outstanding));
  const double Scale = std::clamp(Load / Own, 1.0, MaxPrefillScale);
  return static_cast<std::int64_t>(static_cast<double>(State.PendingPrefill) *
                                   Scale);
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
  ReportedLoads &All = Reported[State->Spec.Service];
  if (State->Report)
    All.Sum -= requestsOf(*State->Report);
  else
    All.Count += 1.0;
  All.Sum += requestsOf(Report);
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

double UpstreamTable::load(const UpstreamState &State, TimePoint Now) const {
  const double Own = static_cast<double>(State.Outstanding);
  if (!State.Report)
    return Own;
  const double Seen = requestsOf(*State.Report);
  const ReportedLoads &All = Reported.at(State.Spec.Service);
  const double Mean = All.Sum / All.Count;
  const std::chrono::duration<double> Age = Now - State.Report->Measured;
  const std::chrono::duration<double> Turnover = State.ServiceTime;
  const double Weight = std::exp(-Age / Turnover);
  const double Since = static_cast<double>(State.Dispatches.size()) -
                       static_cast<double>(State.Completions.size());
  return std::max(Own, Mean + Weight * (Seen - Mean) + Since);
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
                                  const PrefixBlocks &Blocks,
                                  TimePoint Now) const {
  Candidate Item;
  Item.Name = State.Spec.Name;
  Item.Load = load(State, Now);
  Item.Outstanding = State.Outstanding;
  Item.Slots = Service.UpstreamSlots;
  Item.CachedTokens = cachedTokens(State, Blocks);
  Item.PrefillAhead = prefillAhead(State, Item.Load);
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
      Found.push_back(describe(State, Service, Blocks, Now));
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
  std::vector<UpstreamName> Drawn;
  if (!Blocks.empty())
    for (const std::size_t Index :
         Homes.at(Service.Name).homes(Blocks.front(), MaxHomes))
      Drawn.push_back(All[Index]);
  const std::size_t HomeCount = Drawn.size();
  for (UpstreamName &Name : Directory.find(Blocks, MaxCached))
    Drawn.push_back(std::move(Name));
  const std::size_t Wanted = Drawn.size() + SampleSize;
  while (Drawn.size() < Wanted)
    Drawn.push_back(All[Source.below(All.size())]);
  std::vector<Candidate> Found;
  std::vector<UpstreamName> Seen = Avoid;
  const std::int64_t Known = tokensOf(Directory.known(Blocks));
  for (std::size_t Index = 0; Index < Drawn.size(); ++Index) {
    const UpstreamName &Name = Drawn[Index];
    const auto State = States.find(Name);
    if (State == States.end() || State->second.Spec.Service != Service.Name ||
        !takesWork(State->second, Seen, Suspect, Now))
      continue;
    Seen.push_back(Name);
    Found.push_back(describe(State->second, Service, Blocks, Now));
    if (Index >= HomeCount)
      continue;
    // Other instances send a prefix that they know to the same homes.
    const std::int64_t Shared =
        Known - Known * static_cast<std::int64_t>(Index) / HomeDiscount;
    Found.back().CachedTokens = std::max(Found.back().CachedTokens, Shared);
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
