#pragma once

#include "bronzeward/Relay"
#include "bronzeward/Store"

#include <optional>
#include <string>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \returns the record as text for the store.
[[nodiscard]] std::string encodeVersions(const RecordedVersions &Versions);
/// \returns the versions, or an error if the text is no record.
[[nodiscard]] Result<RecordedVersions> parseVersions(const std::string &Text);

/// \brief Interfaces that a \ref VersionRecord depends on.
struct VersionRecordDependencies {
  StoreClient &Store;
  Random &Source;
  DecisionLog &Log;
  VersionHistory &Versions;
};

/// \brief Keeps the store's record of the upstreams' versions and what this
/// instance knows of it up to date. Reads it once at the start, and again only
/// when a version appears or has ended, or may have done so unseen.
class VersionRecord {
public:
  explicit VersionRecord(VersionRecordDependencies Dependencies);
  VersionRecord(const VersionRecord &) = delete;
  VersionRecord &operator=(const VersionRecord &) = delete;

  /// \brief Reads or writes the record if that is due; called periodically.
  void update(TimePoint Now);

private:
  /// \returns whether the record should be written, as far as it is known.
  [[nodiscard]] bool differs() const;
  [[nodiscard]] bool due() const;
  /// Schedules the next read at random, so that few instances write at once.
  void postpone(TimePoint Now, Duration MaxDelay);
  void onRead(const std::optional<std::string> &Text, TimePoint Now);
  void apply(const RecordedVersions &Versions, TimePoint Now);

  VersionRecordDependencies Deps;
  StoreRecord Stored;
  std::optional<TimePoint> NextCall;
  /// Value of VersionHistory::doubts() when the latest read began.
  std::uint64_t DoubtsAtRead = 0;
};

/// @}

} // namespace bronzeward
