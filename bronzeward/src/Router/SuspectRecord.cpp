#include "bronzeward/src/Router/SuspectRecord.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace bronzeward {

namespace json = boost::json;

const std::string SuspectsKey = "bronzeward/crash-suspects";
/// Longest time until a call that failed or conflicted is repeated. Several
/// instances may write evidence of the same crash.
constexpr Duration MaxRetryDelay = 500ms;
/// Minimum time between two writes of one instance.
constexpr Duration WritePeriod = 500ms;

/// Maximum number of suspects in the record.
constexpr std::size_t MaxSuspects = 256;

static std::int64_t timeOf(std::chrono::milliseconds Age, WallTime Now) {
  return (Now - Age).time_since_epoch().count();
}

static std::chrono::milliseconds ageOf(const json::value &Time, WallTime Now) {
  const WallTime At{std::chrono::milliseconds(Time.as_int64())};
  return std::max(Now - At, std::chrono::milliseconds{0});
}

std::string encodeSuspects(const std::vector<SuspectEvidence> &Suspects,
                           WallTime Now) {
  json::array List;
  for (const SuspectEvidence &Item : Suspects) {
    json::array Crashes;
    for (const SuspectCrash &Crash : Item.Crashes)
      Crashes.push_back(
          json::array{Crash.Upstream.Name.Value,
                      Crash.Upstream.Started.time_since_epoch().count(),
                      timeOf(Crash.Age, Now)});
    json::object Object{{"suspect", fingerprintOf(Item.Suspect).Value},
                        {"crashes", std::move(Crashes)}};
    if (Item.QuarantineAge) {
      Object["quarantined_ms"] = timeOf(*Item.QuarantineAge, Now);
      Object["trials"] = Item.TrialsMade;
    }
    List.push_back(std::move(Object));
  }
  return json::serialize(List);
}

static SuspectEvidence parseSuspect(const json::object &Object, WallTime Now) {
  const std::optional<PartId> Suspect =
      partOf({Object.at("suspect").as_string().c_str()});
  if (!Suspect)
    throw std::invalid_argument("not the name of a suspect");
  SuspectEvidence Item;
  Item.Suspect = *Suspect;
  for (const json::value &Crash : Object.at("crashes").as_array()) {
    const json::array &Fields = Crash.as_array();
    const WallTime Started{std::chrono::milliseconds(Fields.at(1).as_int64())};
    Item.Crashes.push_back(
        {{UpstreamName{Fields.at(0).as_string().c_str()}, Started},
         ageOf(Fields.at(2), Now)});
  }
  if (const json::value *Time = Object.if_contains("quarantined_ms")) {
    Item.QuarantineAge = ageOf(*Time, Now);
    Item.TrialsMade = Object.at("trials").to_number<int>();
  }
  return Item;
}

Result<std::vector<SuspectEvidence>> parseSuspects(const std::string &Text,
                                                   WallTime Now) {
  try {
    std::vector<SuspectEvidence> Suspects;
    const json::value Parsed = json::parse(Text);
    for (const json::value &Item : Parsed.as_array())
      Suspects.push_back(parseSuspect(Item.as_object(), Now));
    return Suspects;
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse suspects", SuspectsKey,
                Failure.what());
  }
}

SuspectRecord::Weight SuspectRecord::weightOf(const SuspectEvidence &Item) {
  return {Item.QuarantineAge.has_value(), Item.TrialsMade, Item.Crashes.size()};
}

bool SuspectRecord::outdated(TimePoint Now) const {
  for (const SuspectEvidence &Item : Deps.Parts.lastingEvidence(Now)) {
    const auto Found = Recorded.find(Item.Suspect);
    if (Item.Own && (Found == Recorded.end() || Found->second < weightOf(Item)))
      return true;
  }
  return std::ranges::any_of(Recorded, [this](const auto &Item) {
    return Deps.Parts.cleared(Item.first);
  });
}

std::vector<SuspectEvidence>
SuspectRecord::merged(const std::vector<SuspectEvidence> &Read,
                      TimePoint Now) const {
  std::vector<SuspectEvidence> All = Deps.Parts.lastingEvidence(Now);
  for (const SuspectEvidence &Item : Read) {
    const auto Own =
        std::ranges::find(All, Item.Suspect, &SuspectEvidence::Suspect);
    if (Own != All.end() && weightOf(*Own) < weightOf(Item))
      *Own = Item;
    else if (Own == All.end() && All.size() < MaxSuspects &&
             !Deps.Parts.cleared(Item.Suspect))
      All.push_back(Item);
  }
  return All;
}

SuspectRecord::SuspectRecord(SuspectRecordDependencies Dependencies)
    : Deps(Dependencies), Stored(SuspectsKey, Dependencies.Store,
                                 [this](TimePoint At) { postpone(At); }) {}

void SuspectRecord::update(TimePoint Now) {
  const std::uint64_t Changes = Deps.Parts.lastingChanges();
  if (Loaded && Changes != ChangesSeen) {
    ChangesSeen = Changes;
    Outdated = outdated(Now);
  }
  const bool Due = !Loaded || Outdated;
  if (Due && !Stored.busy() && Now >= NextCall)
    Stored.read(Now, [this](const std::optional<std::string> &Text,
                            TimePoint At) { onRead(Text, At); });
}

std::vector<SuspectEvidence>
SuspectRecord::parse(const std::optional<std::string> &Text) const {
  if (!Text)
    return {};
  Result<std::vector<SuspectEvidence>> Parsed =
      parseSuspects(*Text, Deps.Wall.wallNow());
  if (Parsed)
    return std::move(Parsed).value();
  // A record that cannot be read is replaced by the next one.
  Deps.Log.onEvent("crash-suspects-invalid", describe(Parsed.error()));
  return {};
}

void SuspectRecord::onRead(const std::optional<std::string> &Text,
                           TimePoint Now) {
  const std::vector<SuspectEvidence> Read = parse(Text);
  if (!std::exchange(Loaded, true)) {
    for (const SuspectEvidence &Item : Read)
      Deps.Parts.restore(Item, Now);
    if (!Read.empty())
      Deps.Log.onEvent("crash-suspects",
                       std::to_string(Read.size()) + " known from the store");
  }
  remember(Read);
  ChangesSeen = Deps.Parts.lastingChanges();
  Outdated = outdated(Now);
  if (!Outdated)
    return;
  const std::vector<SuspectEvidence> Due = merged(Read, Now);
  Stored.write(encodeSuspects(Due, Deps.Wall.wallNow()), Now,
               [this, Due](TimePoint At) {
                 NextCall = At + WritePeriod;
                 remember(Due);
                 Outdated = outdated(At);
               });
}

void SuspectRecord::remember(const std::vector<SuspectEvidence> &Suspects) {
  Recorded.clear();
  for (const SuspectEvidence &Item : Suspects)
    Recorded.emplace(Item.Suspect, weightOf(Item));
}

void SuspectRecord::postpone(TimePoint Now) {
  NextCall = Now + std::chrono::duration_cast<Duration>(MaxRetryDelay *
                                                        Deps.Source.unit());
}

} // namespace bronzeward
