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
/// if the upstream is found to be down or restarted at about the same time.
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
    TimePoint DownAt;
    bool WasDown = false;
    std::optional<TimePoint> ProbedAt;
  };
  void prune(TimePoint Now);
  /// Moves the outdated calls of an upstream to Unproven.
  void expireCalls(UpstreamHistory &History, TimePoint Now);

  std::map<UpstreamName, UpstreamHistory> Histories;
  std::vector<InterruptedCall> Unproven;
};

} // namespace bronzeward
