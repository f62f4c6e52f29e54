#pragma once

#include "bronzeward/Base"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief A call whose answer was interrupted.
struct InterruptedCall {
  /// What may have crashed the upstream: the call's content and the parts of
  /// its prompt.
  std::vector<std::uint64_t> Suspects;
  UpstreamRun Upstream;
  TimePoint At;
  /// When it was sent to the upstream.
  TimePoint SentAt;
};

/// \ingroup Relay
/// \brief Finds the calls that were running when an upstream crashed.
///
/// A call whose connection broke counts against its suspects only
/// if the upstream is found to be down or restarted at about the same time, or
/// if nothing is heard from it again until its registry entry vanishes.
/// Otherwise reset connections or lost answers would quarantine harmless calls.
class CrashEvidence {
public:
  /// \brief Records that the answer to a call was interrupted.
  /// \returns the call if the upstream was found down shortly before; empty
  /// otherwise.
  [[nodiscard]] std::vector<InterruptedCall>
  onInterrupted(const InterruptedCall &Call, TimePoint Now);
  /// \brief Records that an upstream refuses connections or has restarted.
  /// \returns the calls that were interrupted there shortly before.
  [[nodiscard]] std::vector<InterruptedCall>
  onDown(const UpstreamName &Upstream, TimePoint Now);
  /// \brief Records that a call ended while its upstream had sent nothing.
  void onSilent(const InterruptedCall &Call, TimePoint Now);
  /// \brief Records that an upstream sent something.
  void onHeard(const UpstreamName &Upstream);
  /// \returns the upstreams of which nothing was heard after calls there were
  /// interrupted or ended in silence.
  [[nodiscard]] std::vector<UpstreamName> silentUpstreams() const;
  /// \brief Records that the registry entry of an upstream vanished, though the
  /// upstream had not announced that it leaves.
  /// \returns the calls that were interrupted there or ended in silence.
  [[nodiscard]] std::vector<InterruptedCall>
  onVanished(const UpstreamName &Upstream, TimePoint Now);
  /// \brief Decides whether to test if an upstream accepts connections, after a
  /// call was interrupted there.
  /// \returns false if the result is known or a test was begun shortly before.
  [[nodiscard]] bool beginProbe(const UpstreamName &Upstream, TimePoint Now);

  /// \returns calls that were interrupted and whose upstream was not found down
  /// in time, once each.
  [[nodiscard]] std::vector<InterruptedCall> takeUnproven(TimePoint Now);

private:
  struct UpstreamHistory {
    std::deque<InterruptedCall> Calls;
    /// Number of the first of Calls after which the upstream was heard again.
    std::size_t HeardAfter = 0;
    /// Calls that count if nothing is heard until the registry entry vanishes.
    std::deque<InterruptedCall> Awaiting;
    TimePoint DownAt;
    bool WasDown = false;
    std::optional<TimePoint> ProbedAt;
  };
  void prune(TimePoint Now);
  /// Moves the outdated calls of an upstream on, at last to Unproven.
  void expireCalls(UpstreamHistory &History, TimePoint Now);

  std::map<UpstreamName, UpstreamHistory> Histories;
  std::vector<InterruptedCall> Unproven;
};

} // namespace bronzeward
