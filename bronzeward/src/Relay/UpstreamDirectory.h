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

/// \brief One upstream as it registered itself.
struct UpstreamEntry {
  UpstreamName Name;
  ServiceName Service;
  /// IP address.
  std::string Host;
  std::uint16_t Port = 0;
  FailureDomain Domain;
  /// Whether it announced that it leaves.
  bool Draining = false;
  /// Requests that it runs at a time.
  std::int64_t Slots = 1;
  /// When it started; another time under the same name means that it lost its
  /// caches and counts.
  WallTime Started;

  bool operator==(const UpstreamEntry &) const = default;
};

/// \brief The upstreams that may get new calls, from a registry whose entries
/// lag, lapse while the store is away and come back.
///
/// An entry that vanishes is taken as gone at once, unless its lapse may be the
/// store's doing: just after the store answers again, and where many entries
/// of a service vanish together. Such an entry is kept until it had time to
/// register again.
class UpstreamDirectory {
public:
  /// \brief Takes over a whole list as of a revision of the store.
  /// \param RegainedAt when the store answered again after an outage; nothing
  /// where there was none.
  void onListed(const std::vector<std::pair<UpstreamEntry, std::uint64_t>> &All,
                std::uint64_t Revision, std::optional<TimePoint> RegainedAt,
                TimePoint Now);
  void onEntry(const UpstreamEntry &Entry, std::uint64_t Revision,
               TimePoint Now);
  void onRemoved(const UpstreamName &Name, std::uint64_t Revision,
                 std::optional<TimePoint> RegainedAt, TimePoint Now);

  /// \brief Every change up to a revision of the store was taken in.
  void onCaughtUp(std::uint64_t Revision) {
    KnownRevision = std::max(KnownRevision, Revision);
  }

  /// \returns the upstreams that may get new calls now.
  [[nodiscard]] std::vector<UpstreamEntry> usable(TimePoint Now) const;
  /// \returns when the next kept entry is to be taken as gone.
  [[nodiscard]] std::optional<TimePoint> nextLapse(TimePoint Now) const;
  /// \returns the store revision up to which every change is known.
  [[nodiscard]] std::uint64_t revision() const { return KnownRevision; }

private:
  struct Item {
    UpstreamEntry Entry;
    std::uint64_t Revision = 0;
    /// Set once the entry vanished: when it is taken as gone.
    std::optional<TimePoint> GoneAt;
  };

  void lapse(Item &Gone, bool Doubtful, TimePoint Now);
  [[nodiscard]] bool manyLapsed(const ServiceName &Service,
                                TimePoint Now) const;
  void prune(TimePoint Now);

  std::map<UpstreamName, Item> Items;
  std::uint64_t KnownRevision = 0;
};

/// @}

} // namespace bronzeward
