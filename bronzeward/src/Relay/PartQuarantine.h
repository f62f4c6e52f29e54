#pragma once

#include "bronzeward/src/Budget/PeerPort.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief Identifier of a prompt part, as in \ref PromptPart.
using PartId = std::uint64_t;

/// \ingroup Relay
/// \brief Finds prompt parts that crash every upstream that begins to answer
/// on them, from the crashes that all instances of the fleet met.
///
/// Handles the load pattern of calls that share one part and nothing else, come
/// to any instance, and run beside sound calls that share all their other
/// parts. A crash makes the parts of every interrupted call suspects. An answer
/// that an upstream wrote on a part afterwards clears it, wherever that was. A
/// part is quarantined after several crashes at different times without such an
/// answer. Crashes at the same time count as one, since they have a common
/// cause that lies outside the calls.
///
/// Instances exchange what they learn; every instance judges for itself.
class PartQuarantine {
public:
  /// \brief Records parts of calls that the crash of an upstream interrupted.
  void onCrash(const UpstreamRun &Upstream, const std::vector<PartId> &Parts,
               TimePoint CrashedAt, TimePoint Now);
  /// \brief Records that an upstream wrote an answer on these parts.
  void onAnswered(const std::vector<PartId> &Parts, TimePoint Now);
  /// \brief Applies what a peer learned.
  void onNews(const PartNews &News, TimePoint Now);
  /// \brief Quarantines the parts against which the evidence suffices, and ends
  /// quarantines that are over.
  /// \returns a description of each new quarantine, for the log.
  std::vector<std::string> review(TimePoint Now);
  /// \brief Ends a quarantine at an operator's request. For a while, neither
  /// crashes nor reports of peers restore it.
  void lift(PartId Part, TimePoint Now);
  /// \returns what was learned since the last call, for the peers.
  [[nodiscard]] PartNews takeUnsent();

  /// \returns whether calls with the part must not be sent to an upstream.
  [[nodiscard]] bool quarantined(PartId Part, TimePoint Now) const;
  /// \returns whether a call with the part should not be repeated, since the
  /// part was in several crashes and in no answer since.
  [[nodiscard]] bool suspected(PartId Part) const;
  [[nodiscard]] std::vector<PartId> quarantinedParts(TimePoint Now) const;
  [[nodiscard]] bool hasUnsent() const { return UnsentParts > 0; }
  /// \returns the quarantined parts, and what was learned a short time ago
  /// about those that are close to it, for peers that missed earlier messages.
  [[nodiscard]] PartNews recentNews(TimePoint Now) const;

private:
  struct Crash {
    UpstreamRun Upstream;
    TimePoint At;
    TimePoint LearnedAt;
  };
  struct Entry {
    /// Crashes at different times since the last answer, in the order in which
    /// they were learned.
    std::vector<Crash> Crashes;
    std::optional<TimePoint> AnsweredAt;
    TimePoint AnswerLearnedAt;
    /// Set once the part was quarantined, also after the quarantine's end.
    std::optional<TimePoint> QuarantinedAt;
    TimePoint LiftedUntil;
  };

  /// \returns the part's entry, or null if the table is full.
  Entry *entryFor(PartId Part, TimePoint Now);
  /// \returns whether the crash counts in addition to the known ones.
  bool addCrash(PartId Part, const UpstreamRun &Upstream, TimePoint At,
                TimePoint Now);
  /// \returns whether the answer refutes evidence that was known. Only then is
  /// it passed on; otherwise every instance would tell all others of its own.
  bool addAnswer(PartId Part, TimePoint At, TimePoint Now);
  void addQuarantine(PartId Part, TimePoint At, TimePoint Now);
  /// Adds facts to the next message, which is limited in size.
  void queueCrash(const UpstreamRun &Upstream, PartId Part,
                  std::chrono::milliseconds Age);
  void queueAnswer(const PartNotice &Item);

  std::map<PartId, Entry> Entries;
  PartNews Unsent;
  /// Number of parts in Unsent.
  std::size_t UnsentParts = 0;
};

/// \ingroup Relay
/// \returns the name under which operators see a quarantined part.
[[nodiscard]] ContentFingerprint fingerprintOf(PartId Part);

/// \ingroup Relay
/// \returns the part with that name; nothing if it names no part.
[[nodiscard]] std::optional<PartId>
partOf(const ContentFingerprint &Fingerprint);

} // namespace bronzeward
