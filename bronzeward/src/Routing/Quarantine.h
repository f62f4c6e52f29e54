#pragma once

#include "bronzeward/Base"

#include <map>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Remembers contents that were in flight when upstreams crashed.
///
/// The first crash makes every content in flight a suspect, retried apart from
/// other suspects. The second puts it under quarantine, whatever key it comes
/// with.
class Quarantine {
public:
  /// \brief Notes that an upstream crashed with this content in flight.
  /// \returns whether the content is now under quarantine.
  bool onCrash(const ContentFingerprint &Content, TimePoint Now);
  /// \brief Clears a suspect whose request completed.
  void onCompleted(const ContentFingerprint &Content);
  /// \brief Takes over a peer's finding.
  void onReported(const ContentFingerprint &Content, TimePoint Now);
  /// \brief Ends a quarantine by an operator's order.
  void lift(const ContentFingerprint &Content, TimePoint Now);

  [[nodiscard]] bool suspected(const ContentFingerprint &Content,
                               TimePoint Now) const;
  [[nodiscard]] bool quarantined(const ContentFingerprint &Content,
                                 TimePoint Now) const;
  /// \returns contents found guilty here or by peers, for the next digest.
  [[nodiscard]] std::vector<ContentFingerprint> listed(TimePoint Now) const;

private:
  struct Entry {
    int Crashes = 0;
    TimePoint Until;
    /// A lifted content is not taken over from peers again until then.
    TimePoint LiftedUntil;
  };
  void prune(TimePoint Now);

  std::map<ContentFingerprint, Entry> Entries;
};

} // namespace bronzeward
