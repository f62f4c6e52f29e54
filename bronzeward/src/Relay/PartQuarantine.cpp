#include "bronzeward/src/Relay/PartQuarantine.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace bronzeward {

/// Crashes at different times after which a part is quarantined, and after
/// which a call with it is not repeated.
constexpr std::size_t CrashesToQuarantine = 3;
constexpr std::size_t CrashesToSuspect = 2;
/// Crashes within this time of each other have a common cause.
constexpr Duration CommonCauseTime = 250ms;
/// Error of the time of a crash that a peer reports, on a free link.
constexpr Duration ReportSkew = 20ms;
/// Crashes within this time of each other may belong to one outage of several
/// upstreams, whose calls are to be repeated elsewhere.
constexpr Duration OutageTime = 1s;
/// Trials during a quarantine, less the crashes that came before it though the
/// suspect had long crashed enough upstreams, the time before each, and the
/// length of the turns in which instances may begin one.
constexpr int MaxTrials = 2;
constexpr Duration TrialDelay = 3s;
constexpr Duration TrialTurn = 500ms;
/// Limit of the time by which trials wait for crashes that are learned late.
constexpr Duration MaxDetectionDelay = 10s;
/// Instances begin one quarantine within this time of each other. A later
/// report tells of a trial.
constexpr Duration QuarantineSkew = 2s;
/// Time after a crash was learned from which it counts. Until then, an instance
/// that met an answer on the part since can report it.
constexpr Duration ObjectionTime = 700ms;
/// Length of a quarantine, and time for which evidence counts.
constexpr Duration QuarantineTime = 10min;
/// Time for which crashes and answers are repeated to peers. Answers are many
/// during an outage of upstreams, and the next one on a part does as well.
constexpr Duration NewsLifetime = 5s;
constexpr Duration AnswerNewsLifetime = 300ms;
/// Time for which answers can refute crashes that are learned after them: that
/// until a silent upstream's registry entry vanishes, and until peers know.
constexpr Duration AnswerMemory = 12s;
/// Maximum number of parts stored, and of crashes stored for each.
constexpr std::size_t MaxEntries = 4096;
constexpr std::size_t MaxCrashes = 16;
/// Maximum number of parts in one message, over all its lists.
constexpr std::size_t MaxPartsInMessage = 256;
/// Maximum number of suspects of which a peer is told that may lack evidence.
constexpr std::size_t MaxPartsToCatchUp = 64;
/// Maximum number of suspects whose evidence outlasts the instances, and of
/// crashes for each.
constexpr std::size_t MaxLasting = 128;
constexpr std::size_t MaxLastingCrashes = 6;

std::string nameOf(CrashVerdict Verdict) {
  switch (Verdict) {
  case CrashVerdict::Counted:
    return "counted";
  case CrashVerdict::Known:
    return "not counted: known";
  case CrashVerdict::CommonCause:
    return "not counted: at the time of another crash";
  case CrashVerdict::AnsweredSince:
    return "not counted: answered since";
  case CrashVerdict::Lifted:
    return "not counted: lifted by an operator";
  case CrashVerdict::Full:
    return "not counted: too many are stored";
  }
  return "";
}

static std::chrono::milliseconds ageOf(TimePoint At, TimePoint Now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration(), Now - At));
}

/// Adds a part to the notice on its crash.
static void addCrashNotice(PartNews &News, PartId Part,
                           const CrashNotice &Crash) {
  const auto Found = std::find_if(News.Crashes.begin(), News.Crashes.end(),
                                  [&Crash](const CrashNotice &Item) {
                                    return Item.Upstream == Crash.Upstream &&
                                           Item.Age == Crash.Age;
                                  });
  if (Found == News.Crashes.end()) {
    News.Crashes.push_back(Crash);
    News.Crashes.back().Parts = {Part};
  } else {
    Found->Parts.push_back(Part);
  }
}

bool PartQuarantine::beginQueuing(TimePoint Now) {
  if (UnsentParts >= MaxPartsInMessage)
    return false;
  if (UnsentParts++ == 0)
    UnsentSince = Now;
  return true;
}

std::chrono::milliseconds PartQuarantine::queuedAge(TimePoint At) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(UnsentSince -
                                                               At);
}

PartQuarantine::Entry *PartQuarantine::entryFor(PartId Part, TimePoint Now) {
  const auto Found = Entries.find(Part);
  if (Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= MaxEntries)
    std::erase_if(Entries, [Now](const auto &Item) {
      const Entry &Stored = Item.second;
      const bool NoRecentCrash =
          Stored.Crashes.empty() ||
          Now > Stored.Crashes.back().LearnedAt + NewsLifetime;
      return !Stored.QuarantinedAt && Now >= Stored.LiftedUntil &&
             Stored.Crashes.size() < CrashesToSuspect && NoRecentCrash;
    });
  return Entries.size() < MaxEntries ? &Entries[Part] : nullptr;
}

/// \returns whether a crash of a suspect happened apart from another: some time
/// before or after it, or, for contents, in runs that did not overlap. A
/// content that is repeated at once crashes upstreams in quick sequence,
/// whereas an outage interrupts calls that were sent before it. Prompt parts
/// are shared by many calls, some of which are always sent shortly before.
static bool areApart(PartId Suspect, const CrashRecord &One,
                     const CrashRecord &Other) {
  const CrashRecord &First = One.At < Other.At ? One : Other;
  const CrashRecord &Second = One.At < Other.At ? Other : One;
  if (Second.At - First.At >= CommonCauseTime)
    return true;
  if (!isContent(Suspect) || !Second.Ran)
    return false;
  const TimePoint SentAt = Second.At - *Second.Ran;
  return First.Ran ? SentAt >= First.At && *First.Ran > Duration()
                   : SentAt >= First.At - ReportSkew;
}

CrashVerdict PartQuarantine::addCrash(PartId Part, const CrashRecord &Seen,
                                      TimePoint Now) {
  Entry *Item = entryFor(Part, Now);
  if (Item == nullptr)
    return CrashVerdict::Full;
  if (Now < Item->LiftedUntil)
    return CrashVerdict::Lifted;
  if (Item->AnsweredAt && Seen.At <= *Item->AnsweredAt)
    return CrashVerdict::AnsweredSince;
  // A crash under a trial confirms the quarantine.
  if (Item->QuarantinedAt && Item->TrialsLeft < MaxTrials &&
      Seen.At >= *Item->QuarantinedAt) {
    Item->TrialsLeft = 0;
    if (Item->TrialsMade > 0)
      Item->TrialsMade = MaxTrials;
    ++LastingChanges;
  }
  std::vector<Crash> &Crashes = Item->Crashes;
  if (std::any_of(Crashes.begin(), Crashes.end(), [&](const Crash &Stored) {
        return Stored.Upstream == Seen.Upstream;
      }))
    return CrashVerdict::Known;
  const bool CommonCause =
      std::any_of(Crashes.begin(), Crashes.end(), [&](const Crash &Stored) {
        return !areApart(Part, Stored, Seen);
      });
  if (CommonCause && !isContent(Part))
    return CrashVerdict::CommonCause;
  if (Crashes.size() >= MaxCrashes)
    return CrashVerdict::Full;
  Crashes.push_back({Seen, Now, CommonCause});
  Item->Own = Item->Own || Seen.Ran;
  LastingChanges += Crashes.size() >= CrashesToSuspect ? 1 : 0;
  return CommonCause ? CrashVerdict::CommonCause : CrashVerdict::Counted;
}

bool PartQuarantine::addAnswer(PartId Part, TimePoint At, TimePoint Now) {
  Entry *Item = entryFor(Part, Now);
  if (Item == nullptr || (Item->AnsweredAt && At <= *Item->AnsweredAt))
    return false;
  Item->AnsweredAt = At;
  const std::size_t Refuted = std::erase_if(
      Item->Crashes, [At](const Crash &Stored) { return Stored.At <= At; });
  const bool Ended = Item->QuarantinedAt && *Item->QuarantinedAt <= At;
  if (Ended)
    Item->QuarantinedAt.reset();
  if (Refuted == 0 && !Ended)
    return false;
  ++LastingChanges;
  Item->AnswerLearnedAt = Now;
  return true;
}

bool PartQuarantine::refute(PartId Part, TimePoint CrashedAt, TimePoint Now) {
  const auto Answer = LastAnswers.find(Part);
  if (Answer == LastAnswers.end() || Answer->second < CrashedAt)
    return false;
  const bool Close = crashes(Part) >= CrashesToSuspect;
  addAnswer(Part, Answer->second, Now);
  if (Close && beginQueuing(Now))
    Unsent.Answered.push_back({Part, queuedAge(Answer->second)});
  return true;
}

void PartQuarantine::addQuarantine(PartId Part, TimePoint At, TimePoint Now) {
  Entry *Item = entryFor(Part, Now);
  if (Item == nullptr || Now < Item->LiftedUntil ||
      (Item->AnsweredAt && At <= *Item->AnsweredAt) ||
      Now >= At + QuarantineTime)
    return;
  if (Item->QuarantinedAt) {
    const bool Trial =
        Item->TrialsLeft > 0 && At > *Item->QuarantinedAt + QuarantineSkew;
    if (Trial)
      recordTrial(Part, *Item, At, Now);
    return;
  }
  Item->QuarantinedAt = At;
  ++LastingChanges;
  // An instance that has not seen the crashes does not know of earlier trials.
  Item->TrialsLeft =
      Item->Crashes.size() >= CrashesToQuarantine ? MaxTrials : 0;
}

void PartQuarantine::recordTrial(PartId Part, Entry &Item, TimePoint At,
                                 TimePoint Now) {
  Item.QuarantinedAt = At;
  --Item.TrialsLeft;
  ++Item.TrialsMade;
  ++LastingChanges;
  if (beginQueuing(Now))
    Unsent.Quarantined.push_back({Part, queuedAge(At)});
}

void PartQuarantine::beginTrial(PartId Part, TimePoint Now) {
  Entries.at(Part).Own = true;
  recordTrial(Part, Entries.at(Part), Now, Now);
}

std::ptrdiff_t PartQuarantine::lateCrashes(const Entry &Item) {
  std::vector<TimePoint> Times;
  for (const Crash &Stored : Item.Crashes)
    Times.push_back(Stored.At);
  if (Times.size() < CrashesToQuarantine)
    return 0;
  std::sort(Times.begin(), Times.end());
  const TimePoint Known = Times[CrashesToQuarantine - 1] + TrialDelay;
  return std::count_if(Times.begin(), Times.end(),
                       [Known](TimePoint At) { return At > Known; });
}

Duration PartQuarantine::detectionDelay(const Entry &Item) {
  Duration Longest{};
  for (const Crash &Stored : Item.Crashes)
    Longest = std::max(Longest, Stored.LearnedAt - Stored.At);
  return std::min(Longest, MaxDetectionDelay);
}

std::optional<std::uint64_t> PartQuarantine::trialTurn(PartId Part,
                                                       TimePoint Now) const {
  const auto Found = Entries.find(Part);
  if (Found == Entries.end() || Found->second.TrialsLeft <= 0 ||
      lateCrashes(Found->second) >= MaxTrials || !quarantined(Part, Now))
    return std::nullopt;
  const Duration Due = Now - *Found->second.QuarantinedAt - TrialDelay -
                       detectionDelay(Found->second);
  if (Due < Duration())
    return std::nullopt;
  return static_cast<std::uint64_t>(Due / TrialTurn);
}

std::vector<CrashFinding>
PartQuarantine::onCrash(const CrashRecord &Seen,
                        const std::vector<PartId> &Parts, TimePoint Now) {
  std::vector<CrashFinding> Findings;
  for (const PartId Part : Parts) {
    CrashVerdict Verdict = addCrash(Part, Seen, Now);
    const bool Stored =
        Verdict == CrashVerdict::Counted ||
        (Verdict == CrashVerdict::CommonCause && isContent(Part));
    if (Stored && refute(Part, Seen.At, Now))
      Verdict = CrashVerdict::AnsweredSince;
    else if (Stored && beginQueuing(Now))
      addCrashNotice(Unsent, Part, {Seen.Upstream, queuedAge(Seen.At), {}});
    if (Verdict != CrashVerdict::Known)
      Findings.push_back({Part, Seen.Upstream.Name, ageOf(Seen.At, Now),
                          Verdict, crashes(Part)});
  }
  return Findings;
}

void PartQuarantine::onAnswered(const std::vector<PartId> &Parts,
                                TimePoint Now) {
  for (const PartId Part : Parts) {
    if (LastAnswers.size() < MaxEntries || LastAnswers.contains(Part))
      LastAnswers[Part] = Now;
    const auto Found = Entries.find(Part);
    if (Found == Entries.end() ||
        (Found->second.Crashes.empty() && !Found->second.QuarantinedAt))
      continue;
    if (addAnswer(Part, Now, Now) && beginQueuing(Now))
      Unsent.Answered.push_back({Part, queuedAge(Now)});
  }
}

std::vector<CrashFinding> PartQuarantine::onNews(const PartNews &News,
                                                 TimePoint Now) {
  std::vector<CrashFinding> Findings;
  for (const PartNotice &Item : News.Answered)
    if (addAnswer(Item.Part, Now - Item.Age, Now) && beginQueuing(Now))
      Unsent.Answered.push_back({Item.Part, queuedAge(Now - Item.Age)});
  for (const CrashNotice &Item : News.Crashes) {
    const std::vector<CrashFinding> New =
        onCrash({Item.Upstream, Now - Item.Age, {}}, Item.Parts, Now);
    Findings.insert(Findings.end(), New.begin(), New.end());
  }
  for (const PartNotice &Item : News.Quarantined)
    addQuarantine(Item.Part, Now - Item.Age, Now);
  return Findings;
}

bool PartQuarantine::convicts(const Entry &Item, bool Again, TimePoint Now) {
  std::size_t All = 0;
  std::size_t Apart = 0;
  for (const Crash &Stored : Item.Crashes)
    if (Now >= Stored.LearnedAt + ObjectionTime) {
      ++All;
      Apart += Stored.CommonCause ? 0 : 1;
    }
  // After a quarantine, a single further crash restores it.
  if (Apart >= (Again ? 1 : CrashesToQuarantine))
    return true;
  return All > CrashesToQuarantine &&
         (Apart >= CrashesToSuspect ||
          separateOutages(Item) >= CrashesToSuspect);
}

std::vector<PartQuarantine::Begun> PartQuarantine::review(TimePoint Now) {
  std::erase_if(LastAnswers, [Now](const auto &Item) {
    return Now >= Item.second + AnswerMemory;
  });
  std::vector<Begun> All;
  for (auto &[Part, Item] : Entries) {
    const bool Over =
        Item.QuarantinedAt && Now >= *Item.QuarantinedAt + QuarantineTime;
    if (Item.QuarantinedAt && !Over)
      continue;
    std::erase_if(Item.Crashes, [Now](const Crash &Stored) {
      return Now >= Stored.At + QuarantineTime;
    });
    if (!convicts(Item, Over, Now))
      continue;
    Item.QuarantinedAt = Now;
    Item.TrialsLeft = MaxTrials;
    Item.TrialsMade = 0;
    ++LastingChanges;
    Begun New{Part, {}};
    for (const Crash &Stored : Item.Crashes)
      New.Crashed.push_back(Stored.Upstream.Name);
    All.push_back(std::move(New));
  }
  return All;
}

void PartQuarantine::lift(PartId Part, TimePoint Now) {
  Entry &Item = Entries[Part];
  Item.Crashes.clear();
  Item.QuarantinedAt.reset();
  Item.LiftedUntil = Now + QuarantineTime;
  ++LastingChanges;
}

PartNews PartQuarantine::takeUnsent(TimePoint Now) {
  PartNews News = std::exchange(Unsent, {});
  UnsentParts = 0;
  const std::chrono::milliseconds Queued = ageOf(UnsentSince, Now);
  for (CrashNotice &Item : News.Crashes)
    Item.Age = std::max(Item.Age + Queued, std::chrono::milliseconds{0});
  for (std::vector<PartNotice> *List : {&News.Answered, &News.Quarantined})
    for (PartNotice &Item : *List)
      Item.Age = std::max(Item.Age + Queued, std::chrono::milliseconds{0});
  return News;
}

bool PartQuarantine::quarantined(PartId Part, TimePoint Now) const {
  const auto Found = Entries.find(Part);
  return Found != Entries.end() && Found->second.QuarantinedAt &&
         Now < *Found->second.QuarantinedAt + QuarantineTime;
}

std::size_t PartQuarantine::crashes(PartId Part) const {
  const auto Found = Entries.find(Part);
  return Found == Entries.end() ? 0 : Found->second.Crashes.size();
}

bool PartQuarantine::suspected(PartId Part) const {
  const auto Found = Entries.find(Part);
  return Found != Entries.end() &&
         separateOutages(Found->second) >= CrashesToSuspect;
}

std::size_t PartQuarantine::separateOutages(const Entry &Item) {
  std::vector<TimePoint> Times;
  for (const Crash &Stored : Item.Crashes)
    Times.push_back(Stored.At);
  if (Times.empty())
    return 0;
  std::sort(Times.begin(), Times.end());
  std::size_t Separate = 1;
  TimePoint Last = Times.front();
  for (const TimePoint At : Times) {
    if (At < Last + OutageTime)
      continue;
    Last = At;
    ++Separate;
  }
  return Separate;
}

std::vector<PartId> PartQuarantine::quarantinedParts(TimePoint Now) const {
  std::vector<PartId> Parts;
  for (const auto &[Part, Item] : Entries)
    if (quarantined(Part, Now))
      Parts.push_back(Part);
  return Parts;
}

PartNews PartQuarantine::recentNews(TimePoint Now) const {
  PartNews News;
  std::size_t Count = 0;
  for (const auto &[Part, Item] : Entries) {
    if (Count >= MaxPartsInMessage)
      break;
    if (quarantined(Part, Now)) {
      News.Quarantined.push_back({Part, ageOf(*Item.QuarantinedAt, Now)});
      ++Count;
    } else if (Item.Crashes.size() >= CrashesToSuspect) {
      for (const Crash &Stored : Item.Crashes)
        if (Now < Stored.LearnedAt + NewsLifetime)
          addCrashNotice(News, Part,
                         {Stored.Upstream, ageOf(Stored.At, Now), {}});
      ++Count;
    } else if (Item.AnsweredAt &&
               Now < Item.AnswerLearnedAt + AnswerNewsLifetime) {
      News.Answered.push_back({Part, ageOf(*Item.AnsweredAt, Now)});
      ++Count;
    }
  }
  return News;
}

bool PartQuarantine::lasts(PartId Part, const Entry &Item,
                           TimePoint Now) const {
  return quarantined(Part, Now) || Item.Crashes.size() >= CrashesToQuarantine ||
         separateOutages(Item) >= CrashesToSuspect;
}

std::vector<SuspectEvidence>
PartQuarantine::lastingEvidence(TimePoint Now) const {
  // The order does not depend on the instance.
  std::vector<std::tuple<bool, std::size_t, PartId>> Ranked;
  for (const auto &[Part, Item] : Entries)
    if (lasts(Part, Item, Now))
      Ranked.emplace_back(quarantined(Part, Now), Item.Crashes.size(), Part);
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  Ranked.resize(std::min(Ranked.size(), MaxLasting));
  std::vector<SuspectEvidence> All;
  for (const auto &[Held, Crashes, Part] : Ranked) {
    const Entry &Item = Entries.at(Part);
    SuspectEvidence Evidence{Part, {}, {}, Item.TrialsMade, Item.Own};
    for (const Crash &Stored : Item.Crashes)
      if (Evidence.Crashes.size() < MaxLastingCrashes)
        Evidence.Crashes.push_back({Stored.Upstream, ageOf(Stored.At, Now)});
    if (Held)
      Evidence.QuarantineAge = ageOf(*Item.QuarantinedAt, Now);
    All.push_back(std::move(Evidence));
  }
  return All;
}

bool PartQuarantine::cleared(PartId Part) const {
  const auto Found = Entries.find(Part);
  if (Found == Entries.end())
    return false;
  const Entry &Item = Found->second;
  return Item.Crashes.empty() && !Item.QuarantinedAt &&
         (Item.AnsweredAt || Item.LiftedUntil != TimePoint());
}

void PartQuarantine::restore(const SuspectEvidence &Evidence, TimePoint Now) {
  Entry *Item = entryFor(Evidence.Suspect, Now);
  if (Item == nullptr || Now < Item->LiftedUntil)
    return;
  const auto Refuted = [Item](TimePoint At) {
    return Item->AnsweredAt && At <= *Item->AnsweredAt;
  };
  for (const SuspectCrash &Seen : Evidence.Crashes) {
    const TimePoint At = Now - Seen.Age;
    const bool Known = std::any_of(Item->Crashes.begin(), Item->Crashes.end(),
                                   [&Seen](const Crash &Stored) {
                                     return Stored.Upstream == Seen.Upstream;
                                   });
    if (Known || Refuted(At) || Seen.Age >= QuarantineTime ||
        Item->Crashes.size() >= MaxCrashes)
      continue;
    const CrashRecord Restored{Seen.Upstream, At, {}};
    const bool CommonCause = std::any_of(
        Item->Crashes.begin(), Item->Crashes.end(), [&](const Crash &Stored) {
          return !areApart(Evidence.Suspect, Stored, Restored);
        });
    Item->Crashes.push_back({Restored, At, CommonCause});
  }
  ++LastingChanges;
  if (!Evidence.QuarantineAge || *Evidence.QuarantineAge >= QuarantineTime ||
      Refuted(Now - *Evidence.QuarantineAge))
    return;
  const TimePoint At = Now - *Evidence.QuarantineAge;
  const int Left = MaxTrials - std::min(Evidence.TrialsMade, MaxTrials);
  if (Item->QuarantinedAt) {
    Item->QuarantinedAt = std::max(*Item->QuarantinedAt, At);
    Item->TrialsLeft = std::min(Item->TrialsLeft, Left);
  } else {
    Item->QuarantinedAt = At;
    Item->TrialsLeft = Left;
  }
  Item->TrialsMade = std::max(Item->TrialsMade, Evidence.TrialsMade);
}

PartNews PartQuarantine::catchUpNews(TimePoint Now) const {
  using Ranked = std::tuple<std::size_t, TimePoint, PartId>;
  std::vector<Ranked> Suspects;
  for (const auto &[Part, Item] : Entries)
    if (!Item.Crashes.empty())
      Suspects.emplace_back(std::min(Item.Crashes.size(), CrashesToSuspect),
                            Item.Crashes.back().LearnedAt, Part);
  const std::size_t Count = std::min(Suspects.size(), MaxPartsToCatchUp);
  std::partial_sort(Suspects.begin(),
                    Suspects.begin() + static_cast<std::ptrdiff_t>(Count),
                    Suspects.end(), std::greater<>());
  Suspects.resize(Count);
  PartNews News;
  for (const auto &[Crashes, LearnedAt, Part] : Suspects) {
    const Entry &Item = Entries.at(Part);
    for (const Crash &Stored : Item.Crashes)
      addCrashNotice(News, Part, {Stored.Upstream, ageOf(Stored.At, Now), {}});
    if (quarantined(Part, Now))
      News.Quarantined.push_back({Part, ageOf(*Item.QuarantinedAt, Now)});
  }
  return News;
}

} // namespace bronzeward
