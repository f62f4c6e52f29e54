#pragma once

#include "bronzeward/Relay"
#include "bronzeward/Store"
#include "bronzeward/src/Router/DepartureLog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Router
/// \brief The upstreams' registry entries as an instance knows them, from the
/// store and from peers.
class UpstreamRegistry {
public:
  UpstreamRegistry(const DeploymentCodec &Format, DecisionLog &Output)
      : Codec(Format), Log(Output), Departures(Output) {}

  /// \brief Replaces the entries by a complete list of a store revision.
  void onListed(const std::vector<StoreEntry> &Listed, std::uint64_t Revision,
                const RegistryNews &News, TimePoint Now);
  /// \brief Applies one entry that was changed or deleted.
  /// \returns the newest known state of the entry, to be sent to peers.
  const StoreEntry &onChanged(const StoreEntry &Entry, const RegistryNews &News,
                              TimePoint Now);
  /// \brief Records that all changes up to a store revision were applied.
  void onCaughtUp(std::uint64_t Revision) { Directory.onCaughtUp(Revision); }

  /// \returns every entry that changed after a revision, or the whole list
  /// where not all changes since are known.
  [[nodiscard]] UpstreamList changesSince(std::uint64_t Revision) const;
  /// \returns the store revision up to which all changes were applied.
  [[nodiscard]] std::uint64_t revision() const { return Directory.revision(); }
  /// \returns the upstreams that may receive new calls now.
  [[nodiscard]] std::vector<UpstreamEntry> usable(TimePoint Now) const {
    return Directory.usable(Now);
  }
  /// \returns when the next upstream whose entry disappeared becomes unusable.
  [[nodiscard]] std::optional<TimePoint> nextRemoval(TimePoint Now) const {
    return Directory.nextRemoval(Now);
  }

  /// \returns whether the entry of an upstream disappeared without a notice
  /// that the upstream shuts down.
  [[nodiscard]] bool hasVanished(const UpstreamName &Name,
                                 TimePoint Now) const {
    return Directory.hasVanished(Name, Now);
  }

  [[nodiscard]] const DepartureCounters &departures() const {
    return Departures.counters();
  }

private:
  /// Updates the directory from the newest state of an entry.
  std::optional<UpstreamDeparture>
  apply(StoreEntry &Entry, const RegistryNews &News, TimePoint Now);
  /// Logs an entry that cannot be read and drops its bytes where they are many.
  void skipEntry(StoreEntry &Entry, const Error &Problem, TimePoint Now);

  const DeploymentCodec &Codec;
  DecisionLog &Log;
  DepartureLog Departures;
  UpstreamDirectory Directory;
  /// Entries as stored, to be sent to peers.
  std::map<std::string, StoreEntry> Entries;
  /// Revision of the list from which Entries was built; all later changes are
  /// known.
  std::uint64_t ListRevision = 0;
  /// Limits the log lines about entries that cannot be read.
  UnreadableReplies SkippedEntries;
};

} // namespace bronzeward
