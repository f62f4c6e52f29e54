#pragma once

#include "bronzeward/Config"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace bronzeward {

/// \addtogroup Routing
/// @{

/// \brief One upstream as a policy sees it.
struct Candidate {
  UpstreamName Name;
  /// Estimated requests running or queued there, from all instances.
  double Load = 0.0;
  /// Requests of this instance in flight there.
  std::int64_t Outstanding = 0;
  /// Requests that it runs at a time.
  std::int64_t Slots = 1;
  /// Prompt tokens that it probably has cached.
  std::int64_t CachedTokens = 0;
  /// Prompt tokens that it would compute although another upstream probably has
  /// them cached.
  std::int64_t Recomputed = 0;
  /// Prompt tokens that it has to compute first.
  std::int64_t PrefillAhead = 0;
  /// Mean time for which it serves one request.
  Duration ServiceTime{};
  /// Time to compute one prompt token.
  Duration PrefillTokenTime{};
  /// One-way network delay from this instance.
  Duration Distance{};
  /// Its answers' times against the expected.
  double Slowdown = 1.0;
  /// Part of its latest answers that failed.
  double FailureShare = 0.0;
};

/// \brief What a policy may know of the request.
struct ChoiceInput {
  std::int64_t PromptTokens = 0;
  /// Hash of the prompt's first block; equal for requests that may share.
  std::uint64_t PrefixHash = 0;
};

/// \brief A choice and why it was made.
struct Choice {
  std::size_t Index = 0;
  /// Expected time to the first token, or the policy's own measure.
  double Score = 0.0;
  const char *Reason = "";
};

/// \brief Chooses one of several upstreams.
class ChoicePolicy {
public:
  virtual ~ChoicePolicy() = default;
  /// \param Candidates at least one.
  virtual Choice choose(const ChoiceInput &Input,
                        std::span<const Candidate> Candidates,
                        Random &Source) = 0;
  /// \returns whether a sample of the candidates is enough.
  [[nodiscard]] virtual bool samples() const { return false; }
};

/// \returns the expected time to the first token at a candidate.
[[nodiscard]] Duration expectedDelay(const ChoiceInput &Input,
                                     const Candidate &Item);

/// \returns a new policy of that kind.
[[nodiscard]] std::unique_ptr<ChoicePolicy>
makeChoicePolicy(ChoicePolicyKind Kind);

/// @}

} // namespace bronzeward
