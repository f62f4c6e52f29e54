#include "bronzeward/src/Routing/UpstreamTable.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// Consecutive failures after which an upstream is ejected.
constexpr int FailuresToEject = 3;
/// Ejection time, multiplied by the number of failures from the ejecting one
/// on, up to MaxEjectionSteps.
constexpr Duration EjectionTime = 2s;
constexpr int MaxEjectionSteps = 5;
/// Maximum number of dispatch or completion times kept for one upstream.
constexpr std::size_t MaxEventTimes = 4096;
/// Maximum number of prefix blocks kept for one upstream, and for all.
constexpr std::size_t MaxPrefixBlocks = 8192;
constexpr std::size_t MaxTotalPrefixBlocks = 200'000;
/// Weight of a new measurement in the moving averages.
constexpr double Smoothing = 0.1;
/// Upstreams of a sample that are drawn at random, and those that are added
/// because they probably have the prefix cached.
constexpr std::size_t SampleSize = 8;
constexpr std::size_t MaxPrefixHolders = 4;
/// Preferred upstreams of a prefix that are added to a sample.
constexpr std::size_t MaxPreferred = 6;
/// Each lower preference rank is assumed to have one part in this many less of
/// a known prefix cached.
constexpr std::int64_t PreferenceDiscount = 50;
/// Minimum prompt tokens of a prefill speed measurement; fewer are too noisy.
constexpr std::int64_t MinMeasuredTokens = 128;
/// Upper bound of a measured prefill time per token.
constexpr Duration MaxPrefillTokenTime = 2ms;
/// Maximum factor from this instance's queued prompt tokens to those of all
/// instances.
constexpr double MaxPrefillScale = 8.0;
/// Initial values of the moving averages.
constexpr Duration InitialServiceTime = 2s;
constexpr Duration InitialPrefillTokenTime = 100us;
/// Assumed one-way delay between failure domains.
constexpr Duration DomainDistance = 3ms;
/// Assumed prompt bytes per token where cached tokens are estimated.
constexpr std::int64_t BytesPerToken = 4;

/// \returns the number of requests in a report.
static double totalRequests(const LoadReport &Report) {
  return static_cast<double>(Report.Running + Report.Queued);
}

void UpstreamTable::configure(const Configuration &Accepted) {
  std::map<UpstreamName, UpstreamState> NewStates;
  const std::size_t Blocks = std::clamp<std::size_t>(
      MaxTotalPrefixBlocks /
          std::max<std::size_t>(1, Accepted.Upstreams.size()),
      16, MaxPrefixBlocks);
  ByService.clear();
  for (const UpstreamSpec &Spec : Accepted.Upstreams) {
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
    NewStates.emplace(Spec.Name, std::move(State));
  }
  States = std::move(NewStates);
  Rings.clear();
  LoadsByService.clear();
  for (const auto &[Name, State] : States) {
    if (!State.Report)
      continue;
    ReportedLoads &Loads = LoadsByService[State.Spec.Service];
    Loads.Count += 1.0;
    Loads.Sum += totalRequests(*State.Report);
  }
  for (const auto &[Service, Names] : ByService)
    Rings[Service].build(Names);
}

UpstreamState *UpstreamTable::findState(const UpstreamName &Name) {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

const UpstreamState *UpstreamTable::find(const UpstreamName &Name) const {
  const auto Found = States.find(Name);
  return Found == States.end() ? nullptr : &Found->second;
}

static std::int64_t tokensInBlocks(std::size_t Blocks) {
  return static_cast<std::int64_t>(Blocks * PrefixBlockBytes / BytesPerToken);
}

static std::int64_t cachedTokens(const UpstreamState &State,
                                 const PrefixBlocks &Blocks) {
  return tokensInBlocks(State.Prefixes.matching(Blocks));
}

static void appendTime(std::deque<TimePoint> &Times, TimePoint Now) {
  Times.push_back(Now);
  if (Times.size() > MaxEventTimes)
    Times.pop_front();
}

DispatchEstimate UpstreamTable::onDispatched(const UpstreamName &Name,
                                             const PrefixBlocks &Blocks,
                                             std::int64_t PromptTokens,
                                             bool Suspect, TimePoint Now) {
  UpstreamState *State = findState(Name);
  if (State == nullptr)
    return {};
  DispatchEstimate Expected;
  Expected.Ahead = prefillAhead(*State, load(*State, Now));
  Expected.Fresh =
      std::max<std::int64_t>(0, PromptTokens - cachedTokens(*State, Blocks));
  State->PendingPrefill += Expected.Fresh;
  ++State->Outstanding;
  State->Suspects += Suspect ? 1 : 0;
  appendTime(State->Dispatches, Now);
  State->Prefixes.insert(Blocks);
  Directory.insert(Blocks, Name);
  return Expected;
}

void UpstreamTable::onNoAnswer(const UpstreamName &Name,
                               const DispatchEstimate &Expected) {
  UpstreamState *State = findState(Name);
  if (State != nullptr)
    State->PendingPrefill =
        std::max<std::int64_t>(0, State->PendingPrefill - Expected.Fresh);
}

void UpstreamTable::onFirstToken(const UpstreamName &Name,
                                 const DispatchEstimate &Expected,
                                 Duration Waited) {
  onNoAnswer(Name, Expected);
  UpstreamState *State = findState(Name);
  const std::int64_t Tokens = Expected.Fresh + Expected.Ahead;
  if (State == nullptr || Tokens < MinMeasuredTokens)
    return;
  const Duration PerToken = std::min(Waited / Tokens, MaxPrefillTokenTime);
  State->PrefillTokenTime += std::chrono::duration_cast<Duration>(
      (PerToken - State->PrefillTokenTime) * Smoothing);
}

std::int64_t UpstreamTable::prefillAhead(const UpstreamState &State,
                                         double Load) {
  // Assumes that other instances' requests have as many queued prompt tokens
  // on average as those of this instance.
  const double Own = std::max(1.0, static_cast<double>(State.Outstanding));
  const double Scale = std::clamp(Load / Own, 1.0, MaxPrefillScale);
  return static_cast<std::int64_t>(static_cast<double>(State.PendingPrefill) *
                                   Scale);
}

void UpstreamTable::recordAttemptEnd(UpstreamState &State, bool Suspect,
                                     TimePoint Now) {
  State.Outstanding = std::max<std::int64_t>(0, State.Outstanding - 1);
  if (Suspect)
    State.Suspects = std::max<std::int64_t>(0, State.Suspects - 1);
  appendTime(State.Completions, Now);
}

void UpstreamTable::onCompleted(const UpstreamName &Name, bool Suspect,
                                Duration Served, TimePoint Now) {
  UpstreamState *State = findState(Name);
  if (State == nullptr)
    return;
  recordAttemptEnd(*State, Suspect, Now);
  State->ConsecutiveFailures = 0;
  State->ServiceTime += std::chrono::duration_cast<Duration>(
      (Served - State->ServiceTime) * Smoothing);
}

void UpstreamTable::onFailed(const UpstreamName &Name, bool Suspect,
                             TimePoint Now) {
  UpstreamState *State = findState(Name);
  if (State == nullptr)
    return;
  recordAttemptEnd(*State, Suspect, Now);
  // The upstream may have restarted and lost its cache.
  State->Prefixes.clear();
  const int Excess = ++State->ConsecutiveFailures - FailuresToEject;
  if (Excess < 0)
    return;
  State->EjectedUntil =
      Now + EjectionTime * std::min(Excess + 1, MaxEjectionSteps);
}

void UpstreamTable::onReport(const UpstreamName &Name,
                             const LoadReport &Report) {
  UpstreamState *State = findState(Name);
  if (State == nullptr)
    return;
  if (State->Report && Report.Measured < State->Report->Measured)
    return;
  ReportedLoads &Loads = LoadsByService[State->Spec.Service];
  if (State->Report)
    Loads.Sum -= totalRequests(*State->Report);
  else
    Loads.Count += 1.0;
  Loads.Sum += totalRequests(Report);
  State->Report = Report;
  const auto DropOld = [&](std::deque<TimePoint> &Times) {
    while (!Times.empty() && Times.front() <= Report.Measured)
      Times.pop_front();
  };
  DropOld(State->Dispatches);
  DropOld(State->Completions);
}

void UpstreamTable::onLeaving(const UpstreamName &Name, bool Leaving) {
  UpstreamState *State = findState(Name);
  if (State != nullptr)
    State->Leaving = Leaving;
}

double UpstreamTable::load(const UpstreamState &State, TimePoint Now) const {
  const double Own = static_cast<double>(State.Outstanding);
  if (!State.Report)
    return Own;
  const double ReportedLoad = totalRequests(*State.Report);
  const ReportedLoads &Loads = LoadsByService.at(State.Spec.Service);
  const double Mean = Loads.Sum / Loads.Count;
  const std::chrono::duration<double> Age = Now - State.Report->Measured;
  const std::chrono::duration<double> Turnover = State.ServiceTime;
  const double Weight = std::exp(-Age / Turnover);
  const double Correction = static_cast<double>(State.Dispatches.size()) -
                            static_cast<double>(State.Completions.size());
  return std::max(Own, Mean + Weight * (ReportedLoad - Mean) + Correction);
}

bool UpstreamTable::isEligible(const UpstreamState &State,
                               const std::vector<UpstreamName> &Excluded,
                               bool Suspect, TimePoint Now) {
  if (State.Leaving || Now < State.EjectedUntil ||
      (Suspect && State.Suspects > 0))
    return false;
  return std::find(Excluded.begin(), Excluded.end(), State.Spec.Name) ==
         Excluded.end();
}

Candidate UpstreamTable::makeCandidate(const UpstreamState &State,
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

std::vector<Candidate>
UpstreamTable::candidates(const ServiceSpec &Service,
                          const PrefixBlocks &Blocks,
                          const std::vector<UpstreamName> &Excluded,
                          bool Suspect, TimePoint Now) const {
  std::vector<Candidate> Eligible;
  const auto Names = ByService.find(Service.Name);
  if (Names == ByService.end())
    return Eligible;
  for (const UpstreamName &Name : Names->second) {
    const UpstreamState &State = States.at(Name);
    if (isEligible(State, Excluded, Suspect, Now))
      Eligible.push_back(makeCandidate(State, Service, Blocks, Now));
  }
  return Eligible;
}

std::vector<Candidate>
UpstreamTable::sample(const ServiceSpec &Service, const PrefixBlocks &Blocks,
                      const std::vector<UpstreamName> &Excluded, bool Suspect,
                      Random &Source, TimePoint Now) const {
  const auto Names = ByService.find(Service.Name);
  if (Names == ByService.end())
    return {};
  const std::vector<UpstreamName> &All = Names->second;
  if (All.size() <= SampleSize)
    return candidates(Service, Blocks, Excluded, Suspect, Now);
  std::vector<UpstreamName> Drawn;
  if (!Blocks.empty())
    for (const std::size_t Index :
         Rings.at(Service.Name).homes(Blocks.front(), MaxPreferred))
      Drawn.push_back(All[Index]);
  const std::size_t PreferredCount = Drawn.size();
  for (UpstreamName &Name : Directory.find(Blocks, MaxPrefixHolders))
    Drawn.push_back(std::move(Name));
  const std::size_t DrawnCount = Drawn.size() + SampleSize;
  while (Drawn.size() < DrawnCount)
    Drawn.push_back(All[Source.below(All.size())]);
  std::vector<Candidate> Sample;
  std::vector<UpstreamName> Visited = Excluded;
  const std::int64_t KnownTokens = tokensInBlocks(Directory.known(Blocks));
  for (std::size_t Index = 0; Index < Drawn.size(); ++Index) {
    const UpstreamName &Name = Drawn[Index];
    const auto State = States.find(Name);
    if (State == States.end() || State->second.Spec.Service != Service.Name ||
        !isEligible(State->second, Visited, Suspect, Now))
      continue;
    Visited.push_back(Name);
    Sample.push_back(makeCandidate(State->second, Service, Blocks, Now));
    if (Index >= PreferredCount)
      continue;
    // Other instances send a known prefix to the same preferred upstreams, so
    // it is probably cached there.
    const std::int64_t SharedTokens =
        KnownTokens -
        KnownTokens * static_cast<std::int64_t>(Index) / PreferenceDiscount;
    Sample.back().CachedTokens =
        std::max(Sample.back().CachedTokens, SharedTokens);
  }
  // If no sampled upstream is eligible, most may be unavailable; check all.
  return Sample.empty() ? candidates(Service, Blocks, Excluded, Suspect, Now)
                        : Sample;
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
