#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <algorithm>
#include <set>

namespace bronzeward {

/// How long an upstream stays usable after its entry disappeared for a reason
/// that may lie in the store. Upstreams whose entries expired in an outage
/// register again within about two seconds of its end, which is detected later.
/// Upstreams that shut down must receive no new calls from two seconds after
/// their entry disappeared.
constexpr Duration ReregistrationTime = 1600ms;
/// Time after the store became reachable again in which a missing entry may
/// have expired in the outage: the time to detect the end of the outage, then
/// ReregistrationTime.
constexpr Duration OutageAftermath = 2500ms;
/// If more than one in this many upstreams of a service disappears within
/// RemovalWindow, the registry is the likely cause and not the upstreams.
constexpr std::size_t ManyRemovedDivisor = 3;
constexpr Duration RemovalWindow = 1s;
/// How long a removed upstream is remembered, so that an older list or a
/// delayed change cannot restore it.
constexpr Duration RemovedRetention = 60s;

std::vector<UpstreamDeparture> UpstreamDirectory::onListed(
    const std::vector<std::pair<UpstreamEntry, std::uint64_t>> &All,
    std::uint64_t Revision, std::optional<TimePoint> OutageEndedAt,
    TimePoint Now, std::optional<TimePoint> ConfirmedAt) {
  std::vector<UpstreamDeparture> Departures;
  std::set<UpstreamName> Listed;
  for (const auto &[Entry, Changed] : All) {
    Listed.insert(Entry.Name);
    if (const std::optional<UpstreamDeparture> Announced =
            Revision < KnownRevision ? onEntry(Entry, Changed, Now)
                                     : update(Entry, Changed, Now))
      Departures.push_back(*Announced);
  }
  for (auto &[Name, Current] : Items) {
    if (Listed.contains(Name) || Current.UnusableFrom ||
        Current.Revision > Revision)
      continue;
    Current.Revision = Revision;
    Departures.push_back(
        remove(Current, OutageEndedAt, ConfirmedAt.value_or(Now), Now));
  }
  KnownRevision = std::max(KnownRevision, Revision);
  prune(Now);
  return Departures;
}

std::optional<UpstreamDeparture>
UpstreamDirectory::onEntry(const UpstreamEntry &Entry, std::uint64_t Revision,
                           TimePoint Now) {
  // All changes up to the known revision were applied, so the entry of an
  // unknown upstream was deleted since.
  if (Revision <= KnownRevision && !Items.contains(Entry.Name))
    return std::nullopt;
  return update(Entry, Revision, Now);
}

std::optional<UpstreamDeparture>
UpstreamDirectory::update(const UpstreamEntry &Entry, std::uint64_t Revision,
                          TimePoint Now) {
  Item &Current = Items[Entry.Name];
  if (Revision < Current.Revision)
    return std::nullopt;
  const bool Announced = Entry.Draining && !Current.Entry.Draining;
  Current = {Entry, Revision, std::nullopt};
  if (!Announced)
    return std::nullopt;
  return UpstreamDeparture{Entry.Name, Revision, true, KeptReason::None, Now};
}

std::optional<UpstreamDeparture>
UpstreamDirectory::onRemoved(const UpstreamName &Name, std::uint64_t Revision,
                             std::optional<TimePoint> OutageEndedAt,
                             TimePoint Now,
                             std::optional<TimePoint> ConfirmedAt) {
  const auto Found = Items.find(Name);
  if (Found == Items.end() || Revision < Found->second.Revision)
    return std::nullopt;
  Found->second.Revision = Revision;
  // Peers repeat the news of a removal.
  if (Found->second.UnusableFrom)
    return std::nullopt;
  return remove(Found->second, OutageEndedAt, ConfirmedAt.value_or(Now), Now);
}

UpstreamDeparture
UpstreamDirectory::remove(Item &Removed, std::optional<TimePoint> OutageEndedAt,
                          TimePoint Since, TimePoint Now) {
  const bool AfterOutage =
      OutageEndedAt && Now < *OutageEndedAt + OutageAftermath;
  KeptReason Kept = KeptReason::None;
  // A draining upstream announced its shutdown, so it will not register again.
  if (!Removed.Entry.Draining && AfterOutage) {
    Kept = KeptReason::Outage;
    // Upstreams could not register again before.
    Since = std::max(Since, *OutageEndedAt);
  } else if (!Removed.Entry.Draining &&
             manyRemoved(Removed.Entry.Service, Now)) {
    Kept = KeptReason::ManyRemoved;
  }
  // Late news leaves less time to register again.
  Removed.UnusableFrom = Kept == KeptReason::None
                             ? Now
                             : std::max(Now, Since + ReregistrationTime);
  return {Removed.Entry.Name, Removed.Revision, Removed.Entry.Draining, Kept,
          *Removed.UnusableFrom};
}

bool UpstreamDirectory::manyRemoved(const ServiceName &Service,
                                    TimePoint Now) const {
  std::size_t All = 1;
  std::size_t Removed = 1;
  for (const auto &[Name, Current] : Items) {
    if (Current.Entry.Service != Service)
      continue;
    const bool Recent =
        Current.UnusableFrom && Now < *Current.UnusableFrom + RemovalWindow;
    Removed += Recent && !Current.Entry.Draining ? 1 : 0;
    All += !Current.UnusableFrom || Recent ? 1 : 0;
  }
  return Removed > 2 && Removed * ManyRemovedDivisor > All;
}

void UpstreamDirectory::prune(TimePoint Now) {
  std::erase_if(Items, [Now](const auto &Current) {
    return Current.second.UnusableFrom &&
           Now >= *Current.second.UnusableFrom + RemovedRetention;
  });
}

std::vector<UpstreamEntry> UpstreamDirectory::usable(TimePoint Now) const {
  std::vector<UpstreamEntry> Usable;
  for (const auto &[Name, Current] : Items)
    if (!Current.Entry.Draining &&
        (!Current.UnusableFrom || Now < *Current.UnusableFrom))
      Usable.push_back(Current.Entry);
  return Usable;
}

bool UpstreamDirectory::hasVanished(const UpstreamName &Name,
                                    TimePoint Now) const {
  const auto Found = Items.find(Name);
  return Found != Items.end() && !Found->second.Entry.Draining &&
         Found->second.UnusableFrom && Now >= *Found->second.UnusableFrom;
}

std::optional<TimePoint> UpstreamDirectory::nextRemoval(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Current] : Items)
    if (Current.UnusableFrom && *Current.UnusableFrom > Now &&
        (!Next || *Current.UnusableFrom < *Next))
      Next = Current.UnusableFrom;
  return Next;
}

} // namespace bronzeward
