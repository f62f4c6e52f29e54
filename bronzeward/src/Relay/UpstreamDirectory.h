#pragma once

#include "bronzeward/Base"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief An upstream's registration.
struct UpstreamEntry {
  UpstreamName Name;
  ServiceName Service;
  /// IP address.
  std::string Host;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  /// Whether the upstream announced that it is shutting down.
  bool Draining = false;
  /// Number of requests that the upstream runs concurrently.
  std::int64_t Slots = 1;
  /// Start time. A different time under the same name means that the upstream
  /// restarted and lost its caches and counters.
  WallTime Started;

  bool operator==(const UpstreamEntry &) const = default;
};

/// \brief Tracks the upstreams that may receive new calls, from registry
/// entries that are delayed, and that expire and reappear when the store is
/// unreachable.
///
/// An upstream whose entry disappears is removed at once, unless the store may
/// have caused it: shortly after the store became reachable again, or when many
/// entries of a service disappear together. Such an upstream stays usable until
/// it had time to register again.
class UpstreamDirectory {
public:
  /// \brief Replaces the entries by a complete list of a store revision.
  /// \param All entries, each with the revision of its last change.
  /// \param RegainedAt when the store became reachable again after an outage;
  /// empty if there was no outage.
  void onListed(const std::vector<std::pair<UpstreamEntry, std::uint64_t>> &All,
                std::uint64_t Revision, std::optional<TimePoint> RegainedAt,
                TimePoint Now);
  /// \brief Updates an upstream from its created or changed entry.
  void onEntry(const UpstreamEntry &Entry, std::uint64_t Revision,
               TimePoint Now);
  /// \brief Records that an entry was deleted or has expired.
  /// \param RegainedAt as for onListed.
  void onRemoved(const UpstreamName &Name, std::uint64_t Revision,
                 std::optional<TimePoint> RegainedAt, TimePoint Now);

  /// \brief Records that all changes up to a store revision were applied.
  void onCaughtUp(std::uint64_t Revision) {
    KnownRevision = std::max(KnownRevision, Revision);
  }

  /// \returns the upstreams that may receive new calls now.
  [[nodiscard]] std::vector<UpstreamEntry> usable(TimePoint Now) const;
  /// \returns when the next upstream whose entry disappeared becomes unusable.
  [[nodiscard]] std::optional<TimePoint> nextLapse(TimePoint Now) const;
  /// \returns the store revision up to which all changes were applied.
  [[nodiscard]] std::uint64_t revision() const { return KnownRevision; }

private:
  struct Item {
    UpstreamEntry Entry;
    std::uint64_t Revision = 0;
    /// Set once the entry disappeared: the time from which the upstream is not
    /// usable.
    std::optional<TimePoint> GoneAt;
  };

  void remove(Item &Gone, bool MayReturn, TimePoint Now);
  [[nodiscard]] bool manyRemoved(const ServiceName &Service,
                                 TimePoint Now) const;
  void prune(TimePoint Now);

  std::map<UpstreamName, Item> Items;
  std::uint64_t KnownRevision = 0;
};

/// @}

} // namespace bronzeward
