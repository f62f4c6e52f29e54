#include "bronzeward/src/Router/UpstreamRegistry.h"

namespace bronzeward {

/// Longest value of an entry that cannot be read that is sent to peers; of a
/// longer one they receive the key only.
constexpr std::size_t MaxUnreadableBytes = 4096;

void UpstreamRegistry::onListed(const std::vector<StoreEntry> &Listed,
                                std::uint64_t Revision,
                                const RegistryNews &News, TimePoint Now) {
  std::vector<std::pair<UpstreamEntry, std::uint64_t>> Upstreams;
  std::map<std::string, StoreEntry> Replacement;
  for (const StoreEntry &Entry : Listed) {
    const Result<UpstreamEntry> Parsed = Codec.parseUpstream(Entry);
    StoreEntry &Stored = Replacement[Entry.Key] = Entry;
    if (Parsed)
      Upstreams.emplace_back(Parsed.value(), Entry.Revision);
    else
      skipEntry(Stored, Parsed.error(), Now);
  }
  Entries = std::move(Replacement);
  ListRevision = Revision;
  for (const UpstreamDeparture &Item : Directory.onListed(
           Upstreams, Revision, News.OutageEndedAt, Now, News.ConfirmedAt))
    Departures.onDeparture(Item, News, Now);
}

const StoreEntry &UpstreamRegistry::onChanged(const StoreEntry &Entry,
                                              const RegistryNews &News,
                                              TimePoint Now) {
  // An entry that is missing from a newer list was deleted since.
  const bool Outdated =
      Entry.Revision <= ListRevision && !Entries.contains(Entry.Key);
  StoreEntry &Stored = Entries[Entry.Key];
  if (Entry.Revision < Stored.Revision)
    return Stored;
  Stored = Entry;
  if (Outdated) {
    Stored.Deleted = true;
    Stored.Value.clear();
  }
  if (const std::optional<UpstreamDeparture> Departure =
          apply(Stored, News, Now))
    Departures.onDeparture(*Departure, News, Now);
  return Stored;
}

std::optional<UpstreamDeparture>
UpstreamRegistry::apply(StoreEntry &Entry, const RegistryNews &News,
                        TimePoint Now) {
  const UpstreamName Name = Codec.upstreamOf(Entry.Key);
  const std::optional<TimePoint> Since =
      News.Recent ? std::nullopt : News.ConfirmedAt;
  if (Entry.Deleted)
    return Directory.onRemoved(Name, Entry.Revision, News.OutageEndedAt, Now,
                               Since);
  const Result<UpstreamEntry> Parsed = Codec.parseUpstream(Entry);
  if (Parsed)
    return Directory.onEntry(Parsed.value(), Entry.Revision, Now);
  skipEntry(Entry, Parsed.error(), Now);
  // It names no upstream, as if it were missing from a list.
  return Directory.onRemoved(Name, Entry.Revision, std::nullopt, Now, Since);
}

UpstreamList UpstreamRegistry::changesSince(std::uint64_t Revision) const {
  UpstreamList List;
  List.Revision = Directory.revision();
  List.Whole = Revision < ListRevision;
  List.Since = Revision;
  for (const auto &[Key, Entry] : Entries)
    if (List.Whole ? !Entry.Deleted : Entry.Revision > Revision)
      List.Entries.push_back(Entry);
  return List;
}

void UpstreamRegistry::skipEntry(StoreEntry &Entry, const Error &Problem,
                                 TimePoint Now) {
  if (Entry.Value.size() > MaxUnreadableBytes)
    Entry.Value.clear();
  if (const std::optional<std::string> Line =
          SkippedEntries.report(describe(Problem), Now))
    Log.onEvent("upstream-entry-skipped", *Line);
}

} // namespace bronzeward
