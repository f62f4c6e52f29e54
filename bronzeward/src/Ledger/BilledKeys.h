#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzeward {

/// \ingroup Ledger
/// \brief What is remembered of a billed key.
struct BilledKey {
  ContentFingerprint Content;
  RequestId Request;
  std::uint64_t Order = 0;
  Money Cost;
  std::optional<RecordedAnswer> Answer;
};

/// \returns what is remembered of a bill.
[[nodiscard]] BilledKey rememberedOf(const Bill &Settled);

/// \ingroup Ledger
/// \brief Keys billed in segments. Segments do not change, so that the index
/// outlives reloads of the head record.
class BilledKeys {
public:
  /// \brief Adds a segment's keys; no effect where they are known.
  void insert(const std::string &SegmentId, const Segment &Part);
  /// \brief Forgets every segment that is not listed.
  void retain(const std::vector<SegmentReference> &Listed);

  /// \returns what is remembered of a key, or null.
  [[nodiscard]] const BilledKey *find(const WorkspaceId &Workspace,
                                      const IdempotencyKey &Key) const;
  [[nodiscard]] bool contains(const std::string &SegmentId) const {
    return Segments.contains(SegmentId);
  }
  [[nodiscard]] std::size_t size() const { return Keys.size(); }

private:
  std::map<std::string, std::vector<std::string>> Segments;
  std::unordered_map<std::string, BilledKey> Keys;
};

/// \returns the index's name of a key.
[[nodiscard]] std::string billedName(const WorkspaceId &Workspace,
                                     const IdempotencyKey &Key);

} // namespace bronzeward
