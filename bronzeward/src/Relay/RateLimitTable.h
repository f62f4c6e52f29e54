#pragma once

#include "bronzeward/src/Budget/PeerPort.h"

#include <map>
#include <optional>
#include <vector>

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

  /// \brief Merges what a peer knows.
  /// \returns whether the upstream's limit changed.
  bool onNotice(const RateLimitNotice &Notice, TimePoint Now);

  /// \returns what is known about the upstream, for a peer.
  [[nodiscard]] RateLimitNotice noticeOf(const UpstreamRun &Run,
                                         TimePoint Now) const;
  /// \returns the limits that changed recently, latest first.
  [[nodiscard]] std::vector<RateLimitNotice> recentChanges(TimePoint Now) const;
  /// \returns the limit of the upstream; empty if it has none.
  [[nodiscard]] std::optional<CallRate> limitOf(const UpstreamRun &Run) const;
  /// \returns the number of upstreams with a limit.
  [[nodiscard]] std::size_t limited() const;

private:
  /// What the latest answer showed.
  struct Observation {
    std::optional<CallRate> Limit;
    /// Latest time at which Limit is known to have been in force.
    TimePoint InForceAt;
    /// When this instance learned of the limit.
    TimePoint ChangedAt;
  };

  bool update(const UpstreamRun &Run, std::optional<CallRate> Limit,
              TimePoint InForceAt, TimePoint Now);
  void prune(TimePoint Now);

  std::map<UpstreamRun, Observation> Observations;
};

} // namespace bronzeward
