#pragma once

#include "bronzeward/Base"

#include <deque>
#include <map>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief Tells contents that were running when an upstream crashed from those
/// whose connection merely broke.
///
/// A broken call is evidence against its content only where its upstream turns
/// out to be down or started anew at about the same time. Connections that are
/// reset or answers that are lost would otherwise put harmless calls under
/// quarantine.
class CrashEvidence {
public:
  /// \brief A call broke off.
  /// \returns the content where the upstream was just seen down.
  [[nodiscard]] std::vector<ContentFingerprint>
  onBroken(const UpstreamName &Upstream, const ContentFingerprint &Content,
           TimePoint Now);
  /// \brief An upstream refuses connections, or started anew.
  /// \returns contents that broke off there a short time before.
  [[nodiscard]] std::vector<ContentFingerprint>
  onDown(const UpstreamName &Upstream, TimePoint Now);

private:
  struct Broken {
    ContentFingerprint Content;
    TimePoint At;
  };
  struct Trace {
    std::deque<Broken> Calls;
    TimePoint Down;
    bool SeenDown = false;
  };
  void prune(TimePoint Now);

  std::map<UpstreamName, Trace> Traces;
};

} // namespace bronzeward
