#pragma once

#include "bronzeward/Base"

#include <map>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Detects request contents that crash upstreams.
///
/// When an upstream crashes, every content in flight there becomes a suspect;
/// no two suspects are sent to the same upstream at once. A suspect that is in
/// flight at a second crash is quarantined: requests with this content are
/// refused whatever their idempotency key. Entries expire.
class Quarantine {
public:
  /// \brief Records that an upstream crashed with this content in flight.
  /// Several calls with the content that one crash interrupts count once.
  /// \returns whether the content is now quarantined.
  bool onCrash(const ContentFingerprint &Content, const UpstreamName &Upstream,
               TimePoint Now);
  /// \brief Clears a suspect after its request completed; a quarantine stays.
  void onCompleted(const ContentFingerprint &Content);
  /// \brief Quarantines a content that a peer reported.
  void onReported(const ContentFingerprint &Content, TimePoint Now);
  /// \brief Ends a quarantine at an operator's request. Reports of peers do not
  /// restore it for a while.
  void lift(const ContentFingerprint &Content, TimePoint Now);

  /// \returns whether the content is a suspect or quarantined.
  [[nodiscard]] bool suspected(const ContentFingerprint &Content,
                               TimePoint Now) const;
  [[nodiscard]] bool quarantined(const ContentFingerprint &Content,
                                 TimePoint Now) const;
  /// \returns all quarantined contents, for the next digest to the peers.
  [[nodiscard]] std::vector<ContentFingerprint>
  quarantinedContents(TimePoint Now) const;

private:
  struct Entry {
    int Crashes = 0;
    UpstreamName LastCrashed;
    TimePoint LastCrashAt;
    TimePoint Until;
    /// Until then, peers' reports of this lifted content are ignored.
    TimePoint LiftedUntil;
  };
  /// Makes room for an entry if the table is full: removes the expired
  /// entries, or else an arbitrary one.
  void prune(TimePoint Now);

  std::map<ContentFingerprint, Entry> Entries;
};

} // namespace bronzeward
