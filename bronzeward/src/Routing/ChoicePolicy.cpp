#include "bronzeward/src/Routing/ChoicePolicy.h"

#include <algorithm>
#include <string>

namespace bronzeward {

/// Bounded-load limit of prefix hashing, as a multiple of the mean load. An
/// upstream above it is skipped.
constexpr double MaxLoadRatio = 1.25;

/// Fraction of an upstream's slots in use from which a queue is expected. It is
/// below 1 since load reports are delayed and other instances dispatch
/// concurrently.
constexpr double BusyFraction = 0.8;

Duration expectedDelay(const ChoiceInput &Input, const Candidate &Item) {
  const double Slots =
      static_cast<double>(std::max<std::int64_t>(1, Item.Slots));
  const double QueuedRequests =
      std::max(0.0, Item.Load + 1.0 - BusyFraction * Slots);
  const Duration QueueDelay = std::chrono::duration_cast<Duration>(
      Item.ServiceTime * (QueuedRequests / Slots));
  const std::int64_t UncachedTokens =
      std::max<std::int64_t>(0, Input.PromptTokens - Item.CachedTokens);
  const Duration PrefillDelay =
      Item.PrefillTokenTime * (UncachedTokens + Item.QueuedPrefillTokens);
  // A request waits for a slot and for memory at the same time.
  return std::max(QueueDelay, Item.RoomDelay) + PrefillDelay +
         2 * Item.NetworkDelay;
}

namespace {

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Chooses the candidate with the least expected delay.
class ExpectedDelayChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &Input, std::span<const Candidate> Candidates,
                Random &) override {
    Choice Best{0, toSeconds(expectedDelay(Input, Candidates[0])), ""};
    for (std::size_t Index = 1; Index < Candidates.size(); ++Index) {
      const double Score = toSeconds(expectedDelay(Input, Candidates[Index]));
      if (Score < Best.Score)
        Best = {Index, Score, ""};
    }
    Best.Reason = Candidates[Best.Index].CachedTokens > 0
                      ? "least delay, cached prefix"
                      : "least delay";
    return Best;
  }
  [[nodiscard]] bool usesSample() const override { return true; }
};

/// Chooses the candidates in turn.
class RoundRobinChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &, std::span<const Candidate> Candidates,
                Random &) override {
    return {Next++ % Candidates.size(), 0.0, "next in turn"};
  }

private:
  std::size_t Next = 0;
};

/// Chooses the candidate with the fewest requests of this instance in flight.
/// The scan starts at a random index to break ties evenly.
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

/// Chooses the less loaded of two random candidates.
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
  [[nodiscard]] bool usesSample() const override { return true; }
};

/// Rendezvous hashing of the prefix with bounded load.
class PrefixHashChoice : public ChoicePolicy {
public:
  Choice choose(const ChoiceInput &Input, std::span<const Candidate> Candidates,
                Random &) override {
    double Sum = 0.0;
    for (const Candidate &Item : Candidates)
      Sum += Item.Load;
    const double Bound =
        MaxLoadRatio * (Sum + 1.0) / static_cast<double>(Candidates.size());
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
