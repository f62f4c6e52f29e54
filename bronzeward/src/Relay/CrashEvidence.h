#pragma once

#include "bronzeward/Base"

#include <deque>
#include <map>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief Finds the request contents that were running when an upstream
/// crashed.
///
/// A call whose connection broke counts against its content only if the
/// upstream is found to be down or restarted at about the same time. Otherwise
/// reset connections or lost answers would quarantine harmless contents.
class CrashEvidence {
public:
  /// \brief Records that the answer to a call was interrupted.
  /// \returns the content if the upstream was found down shortly before; empty
  /// otherwise.
  [[nodiscard]] std::vector<ContentFingerprint>
  onBroken(const UpstreamName &Upstream, const ContentFingerprint &Content,
           TimePoint Now);
  /// \brief Records that an upstream refuses connections or has restarted.
  /// \returns the contents of calls that were interrupted there shortly before.
  [[nodiscard]] std::vector<ContentFingerprint>
  onDown(const UpstreamName &Upstream, TimePoint Now);

private:
  struct InterruptedCall {
    ContentFingerprint Content;
    TimePoint At;
  };
  struct UpstreamHistory {
    std::deque<InterruptedCall> Calls;
    TimePoint DownAt;
    bool WasDown = false;
  };
  void prune(TimePoint Now);

  std::map<UpstreamName, UpstreamHistory> Histories;
};

} // namespace bronzeward
