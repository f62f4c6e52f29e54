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

/// \brief What a policy knows of one upstream.
struct Candidate {
  UpstreamName Name;
  /// Estimated number of requests running or queued there, from all instances.
  double Load = 0.0;
  /// Requests in flight there from this instance.
  std::int64_t Outstanding = 0;
  /// Requests that it can run concurrently.
  std::int64_t Slots = 1;
  /// Expected number of the prompt's tokens in its prefix cache.
  std::int64_t CachedTokens = 0;
  /// Prompt tokens that it would have to compute although another upstream
  /// probably has them cached.
  std::int64_t RecomputedTokens = 0;
  /// Prompt tokens of earlier requests that it has to compute first.
  std::int64_t QueuedPrefillTokens = 0;
  /// Mean time to serve one request.
  Duration ServiceTime{};
  /// Expected time until its memory has room for the request.
  Duration RoomDelay{};
  /// Time to compute one prompt token.
  Duration PrefillTokenTime{};
  /// One-way network delay from this instance.
  Duration NetworkDelay{};
  /// Ratio of its measured answer times to the expected ones, times the
  /// slowness that it reports.
  double Slowdown = 1.0;
  /// Fraction of its recent attempts that failed, 0 to 1.
  double FailureFraction = 0.0;
};

/// \brief Properties of a request that a policy may use.
struct ChoiceInput {
  std::int64_t PromptTokens = 0;
  /// Hash of the prompt's first block, equal for requests that may share a
  /// cached prefix; 0 if the prompt is shorter than a block.
  std::uint64_t PrefixHash = 0;
};

/// \brief The chosen candidate and the reason, for the decision log.
struct Choice {
  std::size_t Index = 0;
  /// Expected time to the first token in seconds, or another measure that the
  /// policy minimises.
  double Score = 0.0;
  const char *Reason = "";
};

/// \brief Chooses one of several upstreams.
class ChoicePolicy {
public:
  virtual ~ChoicePolicy() = default;
  /// \param Candidates must not be empty.
  /// \returns the index of the chosen candidate with its score.
  virtual Choice choose(const ChoiceInput &Input,
                        std::span<const Candidate> Candidates,
                        Random &Source) = 0;
  /// \returns whether the policy works on a sample of the upstreams; otherwise
  /// it needs all of them.
  [[nodiscard]] virtual bool usesSample() const { return false; }
};

/// \returns the expected time to the first token: queueing for a slot or for
/// memory, prefill and the network's round trip.
[[nodiscard]] Duration expectedDelay(const ChoiceInput &Input,
                                     const Candidate &Item);

/// \returns a new policy of the given kind.
[[nodiscard]] std::unique_ptr<ChoicePolicy>
makeChoicePolicy(ChoicePolicyKind Kind);

/// @}

} // namespace bronzeward
