#pragma once

#include "bronzeward/src/Relay/UpstreamDirectory.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief The versions of each service's software at which resumable streams
/// may have begun, in the order in which they were recorded.
using RecordedVersions = std::map<ServiceName, std::vector<VersionId>>;

/// \brief Tracks at which versions of a service's software the resumable
/// streams that still run may have begun.
///
/// A stream begins only at a version that the store records. So the record also
/// covers streams that were begun by instances that have restarted since.
class VersionHistory {
public:
  /// Time for which a stream may go on after its begin, over all attempts of
  /// its caller.
  static constexpr Duration StreamLifetime = 60s;
  /// A list of upstreams that was complete within this time holds every version
  /// at which streams have begun.
  static constexpr Duration ListValidity = 1500ms;
  /// Time from the record of a further version to the first stream at it. By
  /// then, lists without that version are no longer valid.
  static constexpr Duration SettlingTime = 2s;
  /// Maximum number of versions recorded for one service. At further ones, no
  /// resumable stream begins.
  static constexpr std::size_t MaxVersions = 16;

  /// \brief Updates which versions the upstreams have that may receive calls.
  void onListed(const std::vector<UpstreamEntry> &Usable, TimePoint Now);
  /// \brief Sets when the list of upstreams was last confirmed, in the store or
  /// by a peer that may have been out of touch itself for some seconds.
  void onConfirmed(std::optional<TimePoint> At) { ListConfirmedAt = At; }
  /// \brief Sets until when every change of the list is known for certain.
  void onComplete(std::optional<TimePoint> Until);
  /// \brief Replaces the known record by what was read or written.
  void onRecord(const RecordedVersions &Read, TimePoint Now);
  /// \brief Adds to the record of a service what a peer knows of it.
  void onPeerRecord(const ServiceName &Service,
                    const std::vector<VersionId> &Versions, TimePoint Now);

  /// \returns a number that rises when the record has to be read again before
  /// it is relied on: a version may have come and gone unseen.
  [[nodiscard]] std::uint64_t doubts() const { return Doubts; }
  /// \brief Records that the record was read.
  /// \param Settled value of \ref doubts before the read.
  void onRecordRead(std::uint64_t Settled) { SettledDoubts = Settled; }
  /// \returns whether the record may lack versions that it held unseen.
  [[nodiscard]] bool recordInDoubt() const { return SettledDoubts < Doubts; }
  /// \returns whether the record has to be read again, which only services with
  /// resumable routes need.
  [[nodiscard]] bool recordReadDue() const {
    return recordInDoubt() && !Listed.empty();
  }

  /// \returns the record as it should be: with every listed version, and
  /// without versions whose streams have all ended.
  [[nodiscard]] RecordedVersions dueRecord() const;
  [[nodiscard]] const RecordedVersions &record() const { return Record; }
  /// \returns how often a version became listed or known as recorded so far.
  [[nodiscard]] std::uint64_t changes() const { return Changes; }
  /// \returns the services with a listed version that is not known to be
  /// recorded.
  [[nodiscard]] std::vector<ServiceName> unrecorded() const;

  /// \returns the versions at which a new stream may begin now.
  [[nodiscard]] std::vector<VersionId> startable(const ServiceName &Service,
                                                 TimePoint Now) const;
  /// \returns the versions at which running streams may have begun; empty if
  /// that is not known.
  [[nodiscard]] std::vector<VersionId>
  possible(const ServiceName &Service) const;
  /// \returns the version at which all running streams have begun; empty if
  /// there may be several or that is not known.
  [[nodiscard]] std::optional<VersionId> sole(const ServiceName &Service) const;
  /// \returns whether the list of upstreams is recent enough that \ref sole
  /// holds for the streams of all instances.
  [[nodiscard]] bool confirmed(TimePoint Now) const;
  /// \returns the time since which changes of the list may be unknown; empty if
  /// the list is not known or the record in doubt.
  [[nodiscard]] std::optional<Duration> uncertainty(TimePoint Now) const;
  /// \returns whether streams of any service may be of several versions.
  [[nodiscard]] bool mixed() const;
  /// \returns whether an upstream of that version is listed.
  [[nodiscard]] bool lists(const ServiceName &Service,
                           VersionId Version) const {
    return Listed.contains({Service, Version});
  }

private:
  using Key = std::pair<ServiceName, VersionId>;

  void add(const ServiceName &Service, VersionId Version, bool Settled,
           TimePoint Now);
  /// \returns whether no stream that began at a version can still run.
  [[nodiscard]] bool ended(const Key &Item) const;

  RecordedVersions Record;
  std::uint64_t Changes = 0;
  /// When a version became known as recorded; without an entry, streams may
  /// have begun at it for long.
  std::map<Key, TimePoint> UnsettledSince;
  std::set<Key> Listed;
  /// When a version that is not listed was last, or became known.
  std::map<Key, TimePoint> LastSeen;
  std::optional<TimePoint> ListConfirmedAt;
  std::optional<TimePoint> CompleteUntil;
  /// Counts from one: at first, the record has not been read.
  std::uint64_t Doubts = 1;
  std::uint64_t SettledDoubts = 0;
};

/// @}

} // namespace bronzeward
