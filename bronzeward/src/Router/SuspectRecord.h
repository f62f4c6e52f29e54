#pragma once

#include "bronzeward/Relay"
#include "bronzeward/Store"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \returns the evidence as text for the store, with times instead of ages.
[[nodiscard]] std::string
encodeSuspects(const std::vector<SuspectEvidence> &Suspects, WallTime Now);
/// \returns the evidence, or an error if the text is no record.
[[nodiscard]] Result<std::vector<SuspectEvidence>>
parseSuspects(const std::string &Text, WallTime Now);

/// \brief Interfaces that a \ref SuspectRecord depends on.
struct SuspectRecordDependencies {
  StoreClient &Store;
  Random &Source;
  DecisionLog &Log;
  const Clock &Wall;
  PartQuarantine &Parts;
};

/// \brief Keeps the evidence against suspects that are quarantined, or close to
/// it, in the store, so that it outlasts a loss of all instances.
///
/// Uses the record once, at the start; running instances learn from their
/// peers. Instances at whose calls a suspect crashed upstreams, or that knew it
/// from the record, write it when that changes; nothing is called while nothing
/// crashes.
class SuspectRecord {
public:
  explicit SuspectRecord(SuspectRecordDependencies Dependencies);
  SuspectRecord(const SuspectRecord &) = delete;
  SuspectRecord &operator=(const SuspectRecord &) = delete;

  /// \brief Reads or writes the record if that is due; called periodically and
  /// when the evidence changes.
  void update(TimePoint Now);
  /// \returns whether the record was read since the start.
  [[nodiscard]] bool loaded() const { return Loaded; }

private:
  /// The weight of the evidence against a suspect; the greater one is recorded.
  struct Weight {
    bool Quarantined = false;
    int TrialsMade = 0;
    std::size_t Crashes = 0;
    auto operator<=>(const Weight &) const = default;
  };

  [[nodiscard]] static Weight weightOf(const SuspectEvidence &Item);
  /// \returns whether the record lacks evidence that this instance has to
  /// write, or holds some that was cleared.
  [[nodiscard]] bool outdated(TimePoint Now) const;
  [[nodiscard]] std::vector<SuspectEvidence>
  parse(const std::optional<std::string> &Text) const;
  void onRead(const std::optional<std::string> &Text, TimePoint Now);
  /// \returns the evidence of this instance and of the record, where neither
  /// side loses what the other does not know.
  [[nodiscard]] std::vector<SuspectEvidence>
  merged(const std::vector<SuspectEvidence> &Read, TimePoint Now) const;
  void remember(const std::vector<SuspectEvidence> &Suspects);
  void postpone(TimePoint Now);

  SuspectRecordDependencies Deps;
  StoreRecord Stored;
  bool Loaded = false;
  /// Value of PartQuarantine::lastingChanges() that was compared last.
  std::uint64_t ChangesSeen = 0;
  bool Outdated = false;
  TimePoint NextCall;
  std::map<PartId, Weight> Recorded;
};

/// @}

} // namespace bronzeward
