#include "bronzeward/src/Relay/VersionHistory.h"

#include <algorithm>
#include <utility>

namespace bronzeward {

static bool contains(const std::vector<VersionId> &Versions, VersionId Item) {
  return std::find(Versions.begin(), Versions.end(), Item) != Versions.end();
}

void VersionHistory::onListed(const std::vector<UpstreamEntry> &Usable,
                              TimePoint Now) {
  for (const Key &Item : Listed)
    LastSeen[Item] = Now;
  const std::set<Key> Before = std::exchange(Listed, {});
  for (const UpstreamEntry &Entry : Usable) {
    const Key Item{Entry.Service, Entry.Version};
    Changes += Listed.insert(Item).second && !Before.contains(Item) ? 1 : 0;
  }
}

void VersionHistory::add(const ServiceName &Service, VersionId Version,
                         bool Settled, TimePoint Now) {
  std::vector<VersionId> &Known = Record[Service];
  if (contains(Known, Version))
    return;
  Known.push_back(Version);
  ++Changes;
  LastSeen[{Service, Version}] = Now;
  if (!Settled)
    UnsettledSince[{Service, Version}] = Now;
}

void VersionHistory::onRecord(const RecordedVersions &Read, TimePoint Now) {
  for (auto &[Service, Known] : Record) {
    const auto Found = Read.find(Service);
    const std::vector<VersionId> Kept =
        Found == Read.end() ? std::vector<VersionId>() : Found->second;
    std::erase_if(
        Known, [&Kept](VersionId Version) { return !contains(Kept, Version); });
  }
  for (const auto &[Service, Versions] : Read)
    for (const VersionId Version : Versions)
      // Streams have begun at the first version of a service before any other
      // could be recorded.
      add(Service, Version, Record[Service].empty(), Now);
}

void VersionHistory::onPeerRecord(const ServiceName &Service,
                                  const std::vector<VersionId> &Versions,
                                  TimePoint Now) {
  for (const VersionId Version : Versions)
    add(Service, Version, Record[Service].empty(), Now);
}

bool VersionHistory::ended(const Key &Item) const {
  const auto Seen = LastSeen.find(Item);
  return !Listed.contains(Item) && Seen != LastSeen.end() && ListConfirmedAt &&
         *ListConfirmedAt >= Seen->second + StreamLifetime;
}

RecordedVersions VersionHistory::dueRecord() const {
  RecordedVersions Due;
  for (const auto &[Service, Versions] : Record)
    for (const VersionId Version : Versions)
      if (!ended({Service, Version}))
        Due[Service].push_back(Version);
  for (const auto &[Service, Version] : Listed) {
    std::vector<VersionId> &Versions = Due[Service];
    if (!contains(Versions, Version) && Versions.size() < MaxVersions)
      Versions.push_back(Version);
  }
  return Due;
}

std::vector<ServiceName> VersionHistory::unrecorded() const {
  std::set<ServiceName> Missing;
  for (const auto &[Service, Version] : Listed)
    if (!contains(possible(Service), Version))
      Missing.insert(Service);
  return {Missing.begin(), Missing.end()};
}

std::vector<VersionId> VersionHistory::startable(const ServiceName &Service,
                                                 TimePoint Now) const {
  std::vector<VersionId> Versions = possible(Service);
  std::erase_if(Versions, [&](VersionId Version) {
    const auto Since = UnsettledSince.find({Service, Version});
    return Since != UnsettledSince.end() && Now < Since->second + SettlingTime;
  });
  return Versions;
}

std::vector<VersionId>
VersionHistory::possible(const ServiceName &Service) const {
  const auto Found = Record.find(Service);
  if (Found == Record.end())
    return {};
  std::vector<VersionId> Versions = Found->second;
  std::erase_if(Versions, [&](VersionId Version) {
    return ended({Service, Version});
  });
  return Versions;
}

std::optional<VersionId>
VersionHistory::sole(const ServiceName &Service) const {
  const std::vector<VersionId> Versions = possible(Service);
  if (Versions.size() != 1)
    return std::nullopt;
  // Other instances may know that a listed version is recorded.
  const bool OthersListed =
      std::any_of(Listed.begin(), Listed.end(), [&](const Key &Item) {
        return Item.first == Service && Item.second != Versions.front();
      });
  return OthersListed ? std::nullopt : std::optional(Versions.front());
}

bool VersionHistory::mixed() const {
  return std::any_of(Record.begin(), Record.end(), [this](const auto &Item) {
    return !possible(Item.first).empty() && !sole(Item.first);
  });
}

void VersionHistory::onComplete(std::optional<TimePoint> Until) {
  // A version needs the settling time until a stream begins at it, so a shorter
  // gap hides none.
  const bool Gap =
      CompleteUntil && Until && *Until >= *CompleteUntil + SettlingTime;
  Doubts += Gap ? 1 : 0;
  CompleteUntil = Until;
}

std::optional<Duration> VersionHistory::uncertainty(TimePoint Now) const {
  if (!CompleteUntil || recordInDoubt())
    return std::nullopt;
  return Now - *CompleteUntil;
}

bool VersionHistory::confirmed(TimePoint Now) const {
  const std::optional<Duration> Unknown = uncertainty(Now);
  return Unknown && *Unknown < ListValidity;
}

} // namespace bronzeward
