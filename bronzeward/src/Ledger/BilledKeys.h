#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzeward {

/// \ingroup Ledger
/// \brief What the ledger keeps in memory of a bill, to detect repeated keys.
struct BilledKey {
  ContentFingerprint Content;
  RequestId Request;
  std::uint64_t Order = 0;
  Money Cost;
  std::optional<RecordedAnswer> Answer;
};

/// \returns the index entry of a bill.
[[nodiscard]] BilledKey billedKeyOf(const Bill &Settled);

/// \ingroup Ledger
/// \brief Index of the keys billed in segments. Segments are immutable, so the
/// index stays valid when the head record is reloaded.
class BilledKeys {
public:
  /// \brief Adds a segment's keys; no effect if they were added before.
  void insert(const std::string &SegmentId, const Segment &Added);
  /// \brief Removes the keys of every segment that is not listed.
  void retain(const std::vector<SegmentReference> &Listed);

  /// \returns the index entry of a key, or null.
  [[nodiscard]] const BilledKey *find(const WorkspaceId &Workspace,
                                      const IdempotencyKey &Key) const;
  /// \returns whether a segment's keys were added.
  [[nodiscard]] bool contains(const std::string &SegmentId) const {
    return Segments.contains(SegmentId);
  }
  /// \returns the number of keys.
  [[nodiscard]] std::size_t size() const { return Keys.size(); }

private:
  /// Names of the keys of each segment, by segment id.
  std::map<std::string, std::vector<std::string>> Segments;
  std::unordered_map<std::string, BilledKey> Keys;
};

/// \returns a workspace's key as one string, for use in an index.
[[nodiscard]] std::string billedKeyName(const WorkspaceId &Workspace,
                                        const IdempotencyKey &Key);

} // namespace bronzeward
