#include "bronzeward/src/Relay/CrashTracker.h"

#include <algorithm>

namespace bronzeward {

/// Turns until the most instances may begin a trial. A suspect of many calls is
/// tried in the first ones, by few instances.
constexpr std::uint64_t TurnsForMost = 16;
/// Most instances of a small fleet, and largest part of a large one, that may
/// begin a trial in a turn. All of them do so with a call that comes to every
/// instance at once.
constexpr std::size_t MostOfSmallFleet = 3;
constexpr std::size_t PartOfLargeFleet = 4;
/// Maximum number of log lines about single suspects in one period.
constexpr std::size_t MaxLinesInPeriod = 20;
constexpr Duration LogPeriod = 1s;
/// Crashes of a content from which each is logged. A single one is part of any
/// outage.
constexpr std::size_t CrashesToLog = 2;

bool CrashTracker::holdsBack(const std::vector<PartId> &Suspects,
                             TimePoint Now) {
  std::vector<PartId> Held;
  std::copy_if(Suspects.begin(), Suspects.end(), std::back_inserter(Held),
               [&](PartId Item) { return Parts.quarantined(Item, Now); });
  if (Held.empty())
    return false;
  const bool AllDue = std::all_of(Held.begin(), Held.end(), [&](PartId Item) {
    return Parts.trialTurn(Item, Now).has_value();
  });
  // Suspects that always come together need a common turn.
  const PartId First = *std::min_element(Held.begin(), Held.end());
  if (!AllDue || !triesInTurn(First, *Parts.trialTurn(First, Now)))
    return true;
  for (const PartId Item : Held) {
    Parts.beginTrial(Item, Now);
    Log.onEvent("quarantine-trial", fingerprintOf(Item).Value);
  }
  announceNews(Now);
  return false;
}

bool CrashTracker::triesInTurn(PartId Suspect, std::uint64_t Turn) const {
  const std::vector<Member> &Listed = Members.members();
  const std::uint64_t Seed = Suspect + Turn;
  const std::uint64_t Own = hash64(Instance.Value, Seed);
  const auto Before =
      std::count_if(Listed.begin(), Listed.end(), [&](const Member &Item) {
        return hash64(Item.Identity.Instance.Value, Seed) < Own;
      });
  const std::size_t Most =
      std::max(MostOfSmallFleet, Listed.size() / PartOfLargeFleet);
  const std::size_t Widened =
      1 + Listed.size() * std::min(Turn, TurnsForMost) / TurnsForMost;
  return static_cast<std::size_t>(Before) < std::min(Widened, Most);
}

bool CrashTracker::forbidsRetry(const std::vector<PartId> &Suspects,
                                TimePoint Now) const {
  return std::any_of(Suspects.begin(), Suspects.end(), [&](PartId Item) {
    return Parts.suspected(Item) || Parts.quarantined(Item, Now);
  });
}

void CrashTracker::onSent(const RequestId &Caller,
                          const std::vector<PartId> &Suspects,
                          const UpstreamName &Upstream, TimePoint Now) {
  const PartId Content = Suspects.front();
  const std::size_t Crashes = Parts.crashes(Content);
  if (Crashes >= CrashesToLog)
    logLimited("suspect-sent",
               fingerprintOf(Content).Value + " after " +
                   std::to_string(Crashes) + " crashes, request " +
                   Caller.Value + ", upstream " + Upstream.Value,
               Now);
}

void CrashTracker::onInterrupted(const InterruptedCall &Call, TimePoint Now) {
  recordCrashes(Evidence.onInterrupted(Call, Now), "found down before", Now);
}

void CrashTracker::onDown(const UpstreamName &Upstream, const std::string &Sign,
                          TimePoint Now) {
  recordCrashes(Evidence.onDown(Upstream, Now), Sign, Now);
}

void CrashTracker::onVanished(const UpstreamName &Upstream,
                              const std::string &Sign, TimePoint Now) {
  recordCrashes(Evidence.onVanished(Upstream, Now), Sign, Now);
}

void CrashTracker::recordCrashes(const std::vector<InterruptedCall> &Calls,
                                 const std::string &Sign, TimePoint Now) {
  if (Calls.empty())
    return;
  Log.onEvent("upstream-crashed",
              "upstream " + Calls.front().Upstream.Name.Value +
                  ", interrupted calls " + std::to_string(Calls.size()) + ", " +
                  Sign);
  for (const InterruptedCall &Call : Calls)
    logFindings(Parts.onCrash({Call.Upstream, Call.At, Call.At - Call.SentAt},
                              Call.Suspects, Now),
                "own call", Now);
  announceNews(Now);
}

void CrashTracker::onAnswered(const std::vector<PartId> &Suspects,
                              TimePoint Now) {
  Parts.onAnswered(Suspects, Now);
  announceNews(Now);
}

void CrashTracker::onNews(const PartNews &News, const InstanceId &From,
                          TimePoint Now) {
  logFindings(Parts.onNews(News, Now), "told by " + From.Value, Now);
  announceNews(Now);
}

std::size_t CrashTracker::review(TimePoint Now) {
  const std::vector<PartQuarantine::Begun> All = Parts.review(Now);
  for (const PartQuarantine::Begun &Item : All) {
    std::string Upstreams;
    for (const UpstreamName &Name : Item.Crashed)
      Upstreams += " " + Name.Value;
    Log.onEvent(
        isContent(Item.Suspect) ? "content-quarantined" : "part-quarantined",
        fingerprintOf(Item.Suspect).Value + " after crashes of" + Upstreams);
  }
  logUnproven(Now);
  return All.size();
}

void CrashTracker::logFindings(const std::vector<CrashFinding> &Findings,
                               const std::string &Source, TimePoint Now) {
  for (const CrashFinding &Item : Findings) {
    const bool Counted = Item.Verdict == CrashVerdict::Counted;
    if (!isContent(Item.Suspect) || (Counted && Item.Crashes < CrashesToLog))
      continue;
    logLimited("crash-evidence",
               fingerprintOf(Item.Suspect).Value + ", upstream " +
                   Item.Upstream.Value + ", " +
                   std::to_string(Item.Age.count()) + " ms ago, " + Source +
                   ", " + nameOf(Item.Verdict) + ", crashes " +
                   std::to_string(Item.Crashes),
               Now);
  }
}

void CrashTracker::logUnproven(TimePoint Now) {
  for (const InterruptedCall &Call : Evidence.takeUnproven(Now))
    logLimited("interruption-unproven",
               fingerprintOf(Call.Suspects.front()).Value + ", upstream " +
                   Call.Upstream.Name.Value + " was not found down",
               Now);
}

void CrashTracker::logLimited(const std::string &Event,
                              const std::string &Detail, TimePoint Now) {
  if (Now >= LogPeriodBegan + LogPeriod) {
    LogPeriodBegan = Now;
    LinesInPeriod = 0;
  }
  if (++LinesInPeriod <= MaxLinesInPeriod)
    Log.onEvent(Event, Detail);
}

void CrashTracker::announceNews(TimePoint Now) {
  if (NewsListener != nullptr && Parts.hasUnsent())
    NewsListener->onPartNewsLearned(Now);
}

} // namespace bronzeward
