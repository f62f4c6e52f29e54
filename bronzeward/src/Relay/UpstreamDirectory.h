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
  /// Version of the upstream's software.
  VersionId Version;

  bool operator==(const UpstreamEntry &) const = default;
};

/// \brief Why an upstream stays usable although its entry disappeared.
enum class KeptReason { None, Outage, ManyRemoved };

/// \brief An upstream that may receive no new calls, now or soon.
struct UpstreamDeparture {
  UpstreamName Name;
  std::uint64_t Revision = 0;
  /// Whether the upstream announced it; otherwise its entry disappeared.
  bool Draining = false;
  KeptReason Kept = KeptReason::None;
  TimePoint UnusableFrom;
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
  /// \param OutageEndedAt when the store became reachable again after an
  /// outage; empty if there was no outage.
  /// \param ConfirmedAt when all entries were last known to be current; those
  /// that are missing may have disappeared right after it. Empty if never.
  /// \returns the upstreams that left since the state known before.
  std::vector<UpstreamDeparture>
  onListed(const std::vector<std::pair<UpstreamEntry, std::uint64_t>> &All,
           std::uint64_t Revision, std::optional<TimePoint> OutageEndedAt,
           TimePoint Now, std::optional<TimePoint> ConfirmedAt = std::nullopt);
  /// \brief Updates an upstream from its created or changed entry, unless it
  /// is known that the entry was deleted since.
  /// \returns the departure that the upstream announced by this change.
  std::optional<UpstreamDeparture>
  onEntry(const UpstreamEntry &Entry, std::uint64_t Revision, TimePoint Now);
  /// \brief Records that an entry was deleted or has expired.
  /// \param OutageEndedAt as for onListed.
  /// \param ConfirmedAt as for onListed; empty if the news is recent.
  /// \returns the departure; empty if the upstream is unknown or the news old.
  std::optional<UpstreamDeparture>
  onRemoved(const UpstreamName &Name, std::uint64_t Revision,
            std::optional<TimePoint> OutageEndedAt, TimePoint Now,
            std::optional<TimePoint> ConfirmedAt = std::nullopt);

  /// \brief Records that all changes up to a store revision were applied.
  void onCaughtUp(std::uint64_t Revision) {
    KnownRevision = std::max(KnownRevision, Revision);
  }

  /// \returns the upstreams that may receive new calls now.
  [[nodiscard]] std::vector<UpstreamEntry> usable(TimePoint Now) const;
  /// \returns whether the entry of an upstream disappeared some time ago for
  /// good, though it had not announced that it is shutting down.
  [[nodiscard]] bool hasVanished(const UpstreamName &Name, TimePoint Now) const;
  /// \returns when the next upstream whose entry disappeared becomes unusable.
  [[nodiscard]] std::optional<TimePoint> nextRemoval(TimePoint Now) const;
  /// \returns the store revision up to which all changes were applied.
  [[nodiscard]] std::uint64_t revision() const { return KnownRevision; }

private:
  std::optional<UpstreamDeparture>
  update(const UpstreamEntry &Entry, std::uint64_t Revision, TimePoint Now);

  struct Item {
    UpstreamEntry Entry;
    std::uint64_t Revision = 0;
    /// Set once the entry disappeared: the time from which the upstream is not
    /// usable.
    std::optional<TimePoint> UnusableFrom;
  };

  /// \param Since earliest time at which the entry may have disappeared.
  UpstreamDeparture remove(Item &Removed,
                           std::optional<TimePoint> OutageEndedAt,
                           TimePoint Since, TimePoint Now);
  [[nodiscard]] bool manyRemoved(const ServiceName &Service,
                                 TimePoint Now) const;
  void prune(TimePoint Now);

  std::map<UpstreamName, Item> Items;
  std::uint64_t KnownRevision = 0;
};

/// @}

} // namespace bronzeward
