#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <algorithm>
#include <set>

namespace bronzeward {

/// How long an upstream stays usable after its entry disappeared for a reason
/// that may lie in the store. Upstreams whose entries expired in an outage
/// register again within about two seconds of its end, which is detected later.
/// Upstreams that shut down must not receive new calls two seconds after that.
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

void UpstreamDirectory::onListed(
    const std::vector<std::pair<UpstreamEntry, std::uint64_t>> &All,
    std::uint64_t Revision, std::optional<TimePoint> RegainedAt,
    TimePoint Now) {
  std::set<UpstreamName> Listed;
  for (const auto &[Entry, Changed] : All) {
    Listed.insert(Entry.Name);
    onEntry(Entry, Changed, Now);
  }
  const bool JustRegained = !RegainedAt || Now < *RegainedAt + OutageAftermath;
  for (auto &[Name, Current] : Items) {
    if (Listed.contains(Name) || Current.GoneAt || Current.Revision > Revision)
      continue;
    Current.Revision = Revision;
    remove(Current, JustRegained, Now);
  }
  KnownRevision = std::max(KnownRevision, Revision);
  prune(Now);
}

void UpstreamDirectory::onEntry(const UpstreamEntry &Entry,
                                std::uint64_t Revision, TimePoint) {
  Item &Current = Items[Entry.Name];
  if (Revision < Current.Revision)
    return;
  Current = {Entry, Revision, std::nullopt};
}

void UpstreamDirectory::onRemoved(const UpstreamName &Name,
                                  std::uint64_t Revision,
                                  std::optional<TimePoint> RegainedAt,
                                  TimePoint Now) {
  const auto Found = Items.find(Name);
  if (Found == Items.end() || Revision < Found->second.Revision)
    return;
  Found->second.Revision = Revision;
  const bool JustRegained = RegainedAt && Now < *RegainedAt + OutageAftermath;
  remove(Found->second, JustRegained, Now);
}

void UpstreamDirectory::remove(Item &Gone, bool MayReturn, TimePoint Now) {
  // A draining upstream announced its shutdown, so it will not register again.
  const bool Keep = !Gone.Entry.Draining &&
                    (MayReturn || manyRemoved(Gone.Entry.Service, Now));
  Gone.GoneAt = Keep ? Now + ReregistrationTime : Now;
}

bool UpstreamDirectory::manyRemoved(const ServiceName &Service,
                                    TimePoint Now) const {
  std::size_t All = 1;
  std::size_t Removed = 1;
  for (const auto &[Name, Current] : Items) {
    if (Current.Entry.Service != Service)
      continue;
    const bool Recent = Current.GoneAt && Now < *Current.GoneAt + RemovalWindow;
    Removed += Recent && !Current.Entry.Draining ? 1 : 0;
    All += !Current.GoneAt || Recent ? 1 : 0;
  }
  return Removed > 2 && Removed * ManyRemovedDivisor > All;
}

void UpstreamDirectory::prune(TimePoint Now) {
  std::erase_if(Items, [Now](const auto &Current) {
    return Current.second.GoneAt &&
           Now >= *Current.second.GoneAt + RemovedRetention;
  });
}

std::vector<UpstreamEntry> UpstreamDirectory::usable(TimePoint Now) const {
  std::vector<UpstreamEntry> Usable;
  for (const auto &[Name, Current] : Items)
    if (!Current.Entry.Draining && (!Current.GoneAt || Now < *Current.GoneAt))
      Usable.push_back(Current.Entry);
  return Usable;
}

std::optional<TimePoint> UpstreamDirectory::nextLapse(TimePoint Now) const {
  std::optional<TimePoint> Next;
  for (const auto &[Name, Current] : Items)
    if (Current.GoneAt && *Current.GoneAt > Now &&
        (!Next || *Current.GoneAt < *Next))
      Next = Current.GoneAt;
  return Next;
}

} // namespace bronzeward
