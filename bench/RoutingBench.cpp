/// \file
/// Benches the policies of choice on virtual time: 20 engines in three failure
/// domains, eight instances that see lagging load reports, fixed seeds.

#include "bench/EngineModel.h"
#include "bench/Report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>

namespace bronzeward::bench {

constexpr std::size_t Engines = 20;
constexpr std::size_t Instances = 8;
constexpr std::uint64_t Seeds = 3;
constexpr Duration RunTime = 120s;
constexpr Duration WarmUp = 30s;
constexpr Duration Hop = 3ms;
/// Requests a second that 20 engines serve when most prompts are cached.
constexpr double FullRate = 60.0;

/// \brief One workload.
struct Workload {
  const char *Name = "";
  /// Load as a share of FullRate.
  double Load = 0.8;
  std::size_t Prefixes = 60;
  std::int64_t PrefixTokens = 4000;
  std::int64_t OwnTokens = 200;
  Duration ReportLag = 500ms;
  /// Tokens of engine 0 take this many times as long.
  double SlowFactor = 1.0;
};

constexpr std::array<Workload, 4> Workloads{{
    {"prefixes", 0.8, 60, 4000, 200, 500ms, 1.0},
    {"lag_5s", 0.8, 60, 4000, 200, 5s, 1.0},
    {"unshared", 0.5, 1'000'000, 800, 200, 500ms, 1.0},
    {"slow_engine", 0.7, 60, 4000, 200, 500ms, 4.0},
}};

struct PolicyName {
  ChoicePolicyKind Kind;
  const char *Name;
};
constexpr std::array<PolicyName, 5> Policies{{
    {ChoicePolicyKind::ExpectedDelay, "expected_delay"},
    {ChoicePolicyKind::RoundRobin, "round_robin"},
    {ChoicePolicyKind::LeastOutstanding, "least_outstanding"},
    {ChoicePolicyKind::PowerOfTwo, "power_of_two"},
    {ChoicePolicyKind::PrefixHash, "prefix_hash"},
}};

/// \brief Figures of one run.
struct Figures {
  std::vector<double> FirstTokenS;
  std::vector<double> TokenMs;
  double CachedTokens = 0;
  double PromptTokens = 0;
};

/// \brief One run of one policy.
class Run {
public:
  Run(const Workload &Kind, ChoicePolicyKind Choice, std::uint64_t Seed)
      : Work(Kind), Source(Seed) {
    Text.Services.emplace_back();
    Text.Services[0].Name.Value = "draft";
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      UpstreamSpec Spec;
      Spec.Name.Value = "engine-" + std::to_string(Index);
      Spec.Service = Text.Services[0].Name;
      Spec.Domain.Value = "domain-" + std::to_string(Index % 3);
      Text.Upstreams.push_back(Spec);
      EngineCosts Costs;
      if (Index == 0) {
        Costs.OutputToken = std::chrono::duration_cast<Duration>(
            Costs.OutputToken * Work.SlowFactor);
        Costs.PrefillToken = std::chrono::duration_cast<Duration>(
            Costs.PrefillToken * Work.SlowFactor);
      }
      Models.push_back(std::make_unique<EngineModel>(Costs, Timers));
    }
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      Tables.emplace_back(FailureDomain{"domain-" + std::to_string(Index % 3)});
      Tables.back().configure(Text);
      Choosers.push_back(makeChoicePolicy(Choice));
    }
  }

  Figures run() {
    const TimePoint Begin{1h};
    arrive(Begin, Begin + RunTime);
    report(Begin, Begin + RunTime);
    const TimePoint End = Begin + RunTime + 60s;
    while (Timers.next() && *Timers.next() <= End)
      Timers.runDue(*Timers.next());
    return std::move(Seen);
  }

private:
  void arrive(TimePoint Now, TimePoint Until) {
    if (Now >= Until)
      return;
    Timers.schedule(Now, [this, Until](TimePoint At) {
      start(At, At >= Until - RunTime + WarmUp);
      const std::chrono::duration<double> Gap(
          Source.exponential(1.0 / (FullRate * Work.Load)));
      arrive(At + std::chrono::duration_cast<Duration>(Gap), Until);
    });
  }

  void report(TimePoint Now, TimePoint Until) {
    if (Now >= Until)
      return;
    Timers.schedule(Now, [this, Until](TimePoint At) {
      for (std::size_t Index = 0; Index < Engines; ++Index) {
        const LoadReport Measured = Models[Index]->load(At);
        Timers.schedule(
            At + Work.ReportLag, [this, Index, Measured](TimePoint) {
              for (UpstreamTable &Table : Tables)
                Table.onReport(Text.Upstreams[Index].Name, Measured);
            });
      }
      report(At + 250ms, Until);
    });
  }

  /// Prefixes are drawn with a popularity that falls as one over the rank.
  std::uint64_t drawPrefix() {
    const double Top = static_cast<double>(Work.Prefixes);
    return static_cast<std::uint64_t>(std::pow(Top, Source.unit()));
  }

  void start(TimePoint Now, bool Measured) {
    const std::size_t Home = Source.below(Instances);
    const std::uint64_t Prefix = drawPrefix();
    EngineJob Job;
    const std::size_t Blocks = static_cast<std::size_t>(
        Work.PrefixTokens * 4 / static_cast<std::int64_t>(PrefixBlockBytes));
    for (std::size_t Index = 0; Index < Blocks; ++Index)
      Job.Blocks.push_back(hash64(std::to_string(Prefix), Index));
    Job.PromptTokens = Work.PrefixTokens + Work.OwnTokens;
    Job.OutputTokens = static_cast<std::int64_t>(50 + Source.below(200));
    ChoiceInput Input;
    Input.PromptTokens = Job.PromptTokens;
    Input.PrefixHash = Job.Blocks.front();
    UpstreamTable &Table = Tables[Home];
    ChoicePolicy &Chooser = *Choosers[Home];
    const ServiceSpec &Service = Text.Services[0];
    const std::vector<Candidate> Found =
        Chooser.usesSample()
            ? Table.sample(Service, Job.Blocks, {}, false, Source, Now)
            : Table.candidates(Service, Job.Blocks, {}, false, Now);
    const Choice Chosen = Chooser.choose(Input, Found, Source);
    const UpstreamName Name = Found[Chosen.Index].Name;
    const DispatchEstimate Expected =
        Table.onDispatched(Name, Job.Blocks, Input.PromptTokens, false, Now);
    Job.OnFirst = [this, Now, Measured, Name, &Table, Expected,
                   Prompt = Job.PromptTokens](TimePoint At,
                                              std::int64_t Cached) {
      Table.onFirstToken(Name, Expected, At + Hop - Now);
      if (!Measured)
        return;
      const std::chrono::duration<double> Took = At + Hop - Now;
      Seen.FirstTokenS.push_back(Took.count());
      Seen.CachedTokens += static_cast<double>(Cached);
      Seen.PromptTokens += static_cast<double>(Prompt);
    };
    Job.OnEnd = [this, Now, Measured, Name, &Table](TimePoint At,
                                                    Duration Token) {
      Table.onCompleted(Name, false, At - Now, At);
      if (Measured)
        Seen.TokenMs.push_back(
            std::chrono::duration<double, std::milli>(Token).count());
    };
    const std::size_t Index = static_cast<std::size_t>(
        std::stoul(Name.Value.substr(std::string("engine-").size())));
    Timers.schedule(
        Now + Hop, [this, Index, Moved = std::move(Job)](TimePoint At) mutable {
          Models[Index]->submit(std::move(Moved), At);
        });
  }

  Workload Work;
  Random Source;
  TimerQueue Timers;
  Configuration Text;
  std::vector<std::unique_ptr<EngineModel>> Models;
  std::vector<UpstreamTable> Tables;
  std::vector<std::unique_ptr<ChoicePolicy>> Choosers;
  Figures Seen;
};

static double percentile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  return Values.empty() ? 0.0
                        : Values[static_cast<std::size_t>(
                              Share * static_cast<double>(Values.size() - 1))];
}

/// Worst p95 over the seeds of each policy.
using Worst = std::map<ChoicePolicyKind, double>;

static Worst runWorkload(const Workload &Work, Report &Out) {
  Worst Slowest;
  for (const PolicyName &Policy : Policies) {
    const std::string Prefix =
        std::string("routing.") + Work.Name + "." + Policy.Name + ".";
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const Figures Seen = Run(Work, Policy.Kind, Seed).run();
      const double P95 = percentile(Seen.FirstTokenS, 0.95);
      Slowest[Policy.Kind] = std::max(Slowest[Policy.Kind], P95);
      Out.atMost(Prefix + "first_token_p50_s",
                 percentile(Seen.FirstTokenS, 0.5));
      Out.atMost(Prefix + "first_token_p95_s", P95);
      Out.atMost(Prefix + "first_token_p99_s",
                 percentile(Seen.FirstTokenS, 0.99));
      Out.atMost(Prefix + "between_tokens_p95_ms",
                 percentile(Seen.TokenMs, 0.95));
      Out.atLeast(Prefix + "cache_hit_share",
                  Seen.CachedTokens / Seen.PromptTokens);
    }
  }
  return Slowest;
}

} // namespace bronzeward::bench

int main(int Argc, char **Argv) {
  using namespace bronzeward::bench;
  using bronzeward::ChoicePolicyKind;
  Report Out;
  for (const Workload &Work : Workloads) {
    Worst Slowest = runWorkload(Work, Out);
    const double Own = Slowest[ChoicePolicyKind::ExpectedDelay];
    const std::string Prefix = std::string("routing.") + Work.Name;
    Out.atMost(Prefix + ".p95_over_power_of_two",
               Own / Slowest[ChoicePolicyKind::PowerOfTwo]);
    Out.atMost(Prefix + ".p95_over_prefix_hash",
               Own / Slowest[ChoicePolicyKind::PrefixHash]);
  }
  const int Broken =
      Out.print(Argc > 1 ? Argv[1] : "bench/bounds.txt", "routing.");
  std::printf("%d bounds broken\n", Broken);
  return Broken == 0 ? 0 : 1;
}
