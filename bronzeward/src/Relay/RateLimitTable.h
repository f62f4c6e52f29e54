#pragma once

#include "bronzeward/Base"

#include <map>
#include <optional>

namespace bronzeward {

/// \ingroup Relay
/// \brief Rate limits that upstreams state in their answers, each for one run
/// of the upstream.
///
/// A limit holds until an answer states another one or none. Answers overtake
/// each other, so that one without a limit counts only if its call was sent
/// after the limit was last stated.
class RateLimitTable {
public:
  /// \brief Records an answer of an upstream.
  /// \param Stated limit in the answer; empty if there is none.
  /// \param SentAt when the answered call was sent.
  /// \returns whether the upstream's limit changed.
  bool onAnswer(const UpstreamRun &Run, std::optional<CallRate> Stated,
                TimePoint SentAt, TimePoint Now);

  /// \returns the limit of the upstream; empty if it has none.
  [[nodiscard]] std::optional<CallRate> limitOf(const UpstreamRun &Run) const;
  /// \returns the number of upstreams with a limit.
  [[nodiscard]] std::size_t limited() const;

private:
  /// What the latest answer showed.
  struct Observation {
    std::optional<CallRate> Limit;
    /// Time at which Limit was in force at the latest.
    TimePoint InForceAt;
  };

  bool update(const UpstreamRun &Run, const Observation &Latest);
  void prune(TimePoint Now);

  std::map<UpstreamRun, Observation> Observations;
};

} // namespace bronzeward
