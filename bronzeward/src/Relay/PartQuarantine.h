#pragma once

#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/CrashSuspect.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief Whether a crash counts against a suspect, and if not, why.
enum class CrashVerdict {
  Counted,
  /// The crash was known.
  Known,
  /// At the same time as another crash.
  CommonCause,
  /// An upstream has answered since.
  AnsweredSince,
  /// An operator lifted the quarantine.
  Lifted,
  /// Too many suspects or crashes are stored.
  Full,
};

/// \ingroup Relay
/// \returns the verdict's name in log lines.
[[nodiscard]] std::string nameOf(CrashVerdict Verdict);

/// \ingroup Relay
/// \brief How a crash was judged against a suspect.
struct CrashFinding {
  PartId Suspect = 0;
  UpstreamName Upstream;
  std::chrono::milliseconds Age{0};
  CrashVerdict Verdict = CrashVerdict::Counted;
  /// Crashes that now count.
  std::size_t Crashes = 0;
};

/// \ingroup Relay
/// \brief The crash of an upstream, as it concerns the suspects of a call.
struct CrashRecord {
  UpstreamRun Upstream;
  TimePoint At;
  /// Time for which the interrupted call had run; empty for another instance's.
  std::optional<Duration> Ran;
};

/// \ingroup Relay
/// \brief A crash that counts against a suspect.
struct SuspectCrash {
  UpstreamRun Upstream;
  /// Time since the crash.
  std::chrono::milliseconds Age{0};
};

/// \ingroup Relay
/// \brief The evidence against a suspect that is quarantined, or close to it.
struct SuspectEvidence {
  PartId Suspect = 0;
  /// The first ones since the last answer.
  std::vector<SuspectCrash> Crashes;
  /// Time since the quarantine or its last trial; empty if there is none.
  std::optional<std::chrono::milliseconds> QuarantineAge;
  /// Trials of the quarantine.
  int TrialsMade = 0;
  /// Whether calls of this instance were part of it.
  bool Own = false;
};

/// \ingroup Relay
/// \brief Finds prompt parts and contents that crash every upstream that
/// answers on them, from the crashes that all instances of the fleet met.
///
/// Handles the load patterns of calls that share one part and nothing else,
/// come to any instance, and run beside sound calls that share all their other
/// parts, and of one content that comes again at any instance. The crash of an
/// upstream makes the parts and the content of every interrupted call suspects,
/// and counts once against each. A complete answer afterwards clears them,
/// wherever that was. A suspect is quarantined after several crashes at
/// different times without such an answer. Crashes at the same time count as
/// one, since they have a common cause that lies outside the calls.
///
/// Instances exchange what they learn; every instance judges for itself. After
/// some seconds of quarantine, instances may by turns send a single call as a
/// trial, whose answer ends the quarantine everywhere.
class PartQuarantine {
public:
  /// \brief A quarantine that was begun and the upstreams whose crashes led to
  /// it.
  struct Begun {
    PartId Suspect = 0;
    std::vector<UpstreamName> Crashed;
  };

  /// \brief Records suspects of calls that the crash of an upstream
  /// interrupted.
  /// \returns the verdicts, but those on known crashes.
  std::vector<CrashFinding> onCrash(const CrashRecord &Seen,
                                    const std::vector<PartId> &Parts,
                                    TimePoint Now);
  /// \brief Records that an upstream answered completely on these suspects.
  void onAnswered(const std::vector<PartId> &Parts, TimePoint Now);
  /// \brief Applies what a peer learned.
  /// \returns the verdicts, but those on known crashes.
  std::vector<CrashFinding> onNews(const PartNews &News, TimePoint Now);
  /// \brief Quarantines the parts against which the evidence suffices, and ends
  /// quarantines that are over.
  /// \returns the new quarantines, for the log.
  std::vector<Begun> review(TimePoint Now);
  /// \brief Records that this instance sends a call with a quarantined suspect
  /// as a trial, and tells the peers.
  void beginTrial(PartId Part, TimePoint Now);
  /// \brief Ends a quarantine at an operator's request. For a while, neither
  /// crashes nor reports of peers restore it.
  void lift(PartId Part, TimePoint Now);
  /// \returns what was learned since the last call, for the peers, with ages
  /// as of now.
  [[nodiscard]] PartNews takeUnsent(TimePoint Now);

  /// \returns whether calls with the part must not be sent to an upstream.
  [[nodiscard]] bool quarantined(PartId Part, TimePoint Now) const;
  /// \returns the number of the current turn for a trial with a quarantined
  /// suspect; nothing if no trial is due.
  [[nodiscard]] std::optional<std::uint64_t> trialTurn(PartId Part,
                                                       TimePoint Now) const;
  /// \returns whether a call with the part should not be repeated, since the
  /// part was in several crashes and in no answer since. An outage of several
  /// upstreams counts as one crash.
  [[nodiscard]] bool suspected(PartId Part) const;
  /// \returns the number of crashes that count against a suspect.
  [[nodiscard]] std::size_t crashes(PartId Part) const;
  [[nodiscard]] std::vector<PartId> quarantinedParts(TimePoint Now) const;
  [[nodiscard]] bool hasUnsent() const { return UnsentParts > 0; }
  /// \returns the quarantined parts, and what was learned a short time ago
  /// about those that are close to it, for peers that missed earlier messages.
  [[nodiscard]] PartNews recentNews(TimePoint Now) const;
  /// \returns the evidence that should outlast the instances, the strongest if
  /// there is too much.
  [[nodiscard]] std::vector<SuspectEvidence>
  lastingEvidence(TimePoint Now) const;
  /// \returns how often such evidence may have changed so far.
  [[nodiscard]] std::uint64_t lastingChanges() const { return LastingChanges; }
  /// \returns whether an answer or an operator cleared a suspect of all
  /// evidence.
  [[nodiscard]] bool cleared(PartId Part) const;
  /// \brief Adds evidence from before a restart, unless it was refuted since.
  void restore(const SuspectEvidence &Evidence, TimePoint Now);
  /// \returns the evidence in force, the strongest and latest first if there is
  /// too much for a message, for a peer to which messages were lost.
  [[nodiscard]] PartNews catchUpNews(TimePoint Now) const;

private:
  struct Crash : CrashRecord {
    TimePoint LearnedAt;
    /// Whether it may have the cause of another crash.
    bool CommonCause = false;
  };
  struct Entry {
    /// Crashes since the last answer, in the order in which they were learned.
    /// Those with a common cause are kept for contents only.
    std::vector<Crash> Crashes;
    std::optional<TimePoint> AnsweredAt;
    TimePoint AnswerLearnedAt;
    /// Time of the quarantine or of its last trial. Set once the part was
    /// quarantined, also after the quarantine's end.
    std::optional<TimePoint> QuarantinedAt;
    int TrialsLeft = 0;
    /// Trials of the quarantine that are known; all after a crash under one.
    int TrialsMade = 0;
    /// Whether calls of this instance were part of the evidence.
    bool Own = false;
    TimePoint LiftedUntil;
  };

  /// \returns the part's entry, or null if the table is full.
  Entry *entryFor(PartId Part, TimePoint Now);
  CrashVerdict addCrash(PartId Part, const CrashRecord &Seen, TimePoint Now);
  /// \returns whether the answer refutes evidence that was known. Only then is
  /// it passed on; otherwise every instance would tell all others of its own.
  bool addAnswer(PartId Part, TimePoint At, TimePoint Now);
  /// \returns whether an upstream has answered since a crash that was learned
  /// after the answer. Peers are told only about suspects close to a
  /// quarantine, as every instance may have answers on a common part.
  bool refute(PartId Part, TimePoint CrashedAt, TimePoint Now);
  void addQuarantine(PartId Part, TimePoint At, TimePoint Now);
  /// \returns the number of crashes some time after those that would have
  /// sufficed for a quarantine.
  [[nodiscard]] static std::ptrdiff_t lateCrashes(const Entry &Item);
  /// \returns the longest time from a crash until it was learned, in which
  /// others may have happened that are not known yet.
  [[nodiscard]] static Duration detectionDelay(const Entry &Item);
  /// \returns whether the crashes that may count suffice for a quarantine.
  /// \param Again whether the suspect was quarantined before.
  [[nodiscard]] static bool convicts(const Entry &Item, bool Again,
                                     TimePoint Now);
  /// \returns whether the evidence should outlast the instances.
  [[nodiscard]] bool lasts(PartId Part, const Entry &Item, TimePoint Now) const;
  /// \returns the number of crashes, where those of an outage are one.
  [[nodiscard]] static std::size_t separateOutages(const Entry &Item);
  /// Records a trial and tells the peers.
  void recordTrial(PartId Part, Entry &Item, TimePoint At, TimePoint Now);
  /// \returns whether a part may be added to the next message, which is limited
  /// in size.
  bool beginQueuing(TimePoint Now);
  /// \returns an age as of UnsentSince, which is negative for what was later.
  [[nodiscard]] std::chrono::milliseconds queuedAge(TimePoint At) const;

  std::map<PartId, Entry> Entries;
  std::uint64_t LastingChanges = 0;
  /// Answers of a short time ago, most of them on parts without a crash.
  std::map<PartId, TimePoint> LastAnswers;
  /// The next message, with ages as of UnsentSince.
  PartNews Unsent;
  TimePoint UnsentSince;
  /// Number of parts in Unsent.
  std::size_t UnsentParts = 0;
};

} // namespace bronzeward
