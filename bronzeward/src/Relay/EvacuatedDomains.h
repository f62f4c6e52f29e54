#pragma once

#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <cstdint>
#include <set>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief Failure domains that operators evacuate: their upstreams get no calls
/// until the evacuation is taken back.
///
/// Keeps the whole set as of one store revision. A set of a later revision,
/// from the store or a peer, replaces it; older ones have no effect, so that an
/// evacuation that was taken back cannot return.
class EvacuatedDomains {
public:
  /// \brief Replaces the set by the whole set of a store revision.
  /// \returns whether the set changed.
  bool onListed(const EvacuationNotice &InForce);
  /// \brief Applies the change of one failure domain. Every earlier change must
  /// have been applied.
  /// \returns whether the set changed.
  bool onChanged(const FailureDomain &Domain, bool IsEvacuated,
                 std::uint64_t Revision);

  /// \returns the set, for peers.
  [[nodiscard]] EvacuationNotice notice() const;
  /// \returns whether the set differs from an older one.
  [[nodiscard]] bool isNewerThan(const EvacuationNotice &Other) const;
  /// \returns the upstreams that are in none of the failure domains.
  [[nodiscard]] std::vector<UpstreamEntry>
  withoutEvacuated(std::vector<UpstreamEntry> Upstreams) const;

private:
  std::uint64_t KnownRevision = 0;
  std::set<FailureDomain> Domains;
};

} // namespace bronzeward
