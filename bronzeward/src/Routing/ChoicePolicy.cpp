#include "bronzeward/src/Routing/ChoicePolicy.h"

#include <algorithm>
#include <string>

namespace bronzeward {

/// Candidates drawn at random by the expected-delay policy, beside those that
/// have the prefix cached.
constexpr std::size_t SampleSize = 6;
/// Candidates with a cached prefix that are looked at.
constexpr std::size_t MaxCachedCandidates = 4;
/// Load of a prefix-hash target, as a multiple of the mean, that sends the
/// request on to the next.
constexpr double HashLoadBound = 1.25;

Duration expectedDelay(const ChoiceInput &Input, const Candidate &Item) {
  const double Slots =
      static_cast<double>(std::max<std::int64_t>(1, Item.Slots));
  const double Ahead = std::max(0.0, Item.Load + 1.0 - Slots);
  const Duration Queue =
      std::chrono::duration_cast<Duration>(Item.ServiceTime * (Ahead / Slots));
  const std::int64_t Fresh =
      std::max<std::int64_t>(0, Input.PromptTokens - Item.CachedTokens);
  // Running requests share the engine with the prefill.
  const double Sharing = 1.0 + std::min(Item.Load, Slots) / Slots;
  const Duration Prefill = std::chrono::duration_cast<Duration>(
      Item.PrefillTokenTime * (static_cast<double>(Fresh) * Sharing));
  return Queue + Prefill + 2 * Item.Distance;
}

namespace {

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Least expected delay over a small sample and the best cached candidates.
class ExpectedDelayChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &Input, std::span<const Candidate> Candidates,
                Random &Source) override {
    Choice Best;
    bool First = true;
    const auto Consider = [&](std::size_t Index, const char *Reason) {
      const double Score = seconds(expectedDelay(Input, Candidates[Index]));
      if (!First && Score >= Best.Score)
        return;
      Best = {Index, Score, Reason};
      First = false;
    };
    const std::size_t Samples = std::min(SampleSize, Candidates.size());
    const std::size_t Start = Source.below(Candidates.size());
    const std::size_t Step =
        std::max<std::size_t>(1, Candidates.size() / Samples);
    for (std::size_t Round = 0; Round < Samples; ++Round)
      Consider((Start + Round * Step) % Candidates.size(), "least delay");
    std::size_t Cached = 0;
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      if (Candidates[Index].CachedTokens == 0)
        continue;
      Consider(Index, "cached prefix");
      if (++Cached == MaxCachedCandidates)
        break;
    }
    return Best;
  }
};

class RoundRobinChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &, std::span<const Candidate> Candidates,
                Random &) override {
    return {Next++ % Candidates.size(), 0.0, "next in turn"};
  }

private:
  std::size_t Next = 0;
};

class LeastOutstandingChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &, std::span<const Candidate> Candidates,
                Random &Source) override {
    const std::size_t Start = Source.below(Candidates.size());
    std::size_t Best = Start;
    for (std::size_t Step = 1; Step < Candidates.size(); ++Step) {
      const std::size_t Index = (Start + Step) % Candidates.size();
      if (Candidates[Index].Outstanding < Candidates[Best].Outstanding)
        Best = Index;
    }
    return {Best, static_cast<double>(Candidates[Best].Outstanding),
            "least outstanding"};
  }
};

class PowerOfTwoChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &, std::span<const Candidate> Candidates,
                Random &Source) override {
    const std::size_t Left = Source.below(Candidates.size());
    const std::size_t Right = Source.below(Candidates.size());
    const std::size_t Best =
        Candidates[Left].Load <= Candidates[Right].Load ? Left : Right;
    return {Best, Candidates[Best].Load, "lesser of two"};
  }
};

/// Rendezvous hashing of the prefix, passing over loaded upstreams.
class PrefixHashChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &Input, std::span<const Candidate> Candidates,
                Random &) override {
    double Sum = 0.0;
    for (const Candidate &Item : Candidates)
      Sum += Item.Load;
    const double Bound =
        HashLoadBound * (Sum + 1.0) / static_cast<double>(Candidates.size());
    std::size_t Best = 0;
    std::uint64_t BestWeight = 0;
    bool Found = false;
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      const Candidate &Item = Candidates[Index];
      if (Item.Load > Bound)
        continue;
      const std::uint64_t Weight = hash64(Item.Name.Value, Input.PrefixHash);
      if (Found && Weight <= BestWeight)
        continue;
      Best = Index;
      BestWeight = Weight;
      Found = true;
    }
    return {Best, Candidates[Best].Load, "prefix hash"};
  }
};

} // namespace

std::unique_ptr<ChoicePolicy> makeChoicePolicy(ChoicePolicyKind Kind) {
  switch (Kind) {
  case ChoicePolicyKind::ExpectedDelay:
    return std::make_unique<ExpectedDelayChoice>();
  case ChoicePolicyKind::RoundRobin:
    return std::make_unique<RoundRobinChoice>();
  case ChoicePolicyKind::LeastOutstanding:
    return std::make_unique<LeastOutstandingChoice>();
  case ChoicePolicyKind::PowerOfTwo:
    return std::make_unique<PowerOfTwoChoice>();
  case ChoicePolicyKind::PrefixHash:
    return std::make_unique<PrefixHashChoice>();
  }
  return nullptr;
}

} // namespace bronzeward
