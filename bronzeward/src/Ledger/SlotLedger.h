#pragma once

#include "bronzeward/src/Ledger/BilledKeys.h"
#include "bronzeward/src/Ledger/Operation.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace bronzeward {

/// \ingroup Ledger
/// \brief Working copy of a slot record with an index of its bills.
///
/// Commands change the copy only; a compare-and-swap of \ref record makes the
/// change durable. Every operation is idempotent by itself, so that a batch
/// whose reply was lost is read back and applied again.
class SlotLedger {
public:
  /// \brief Starts from a stored record.
  /// \param Stored record as last read.
  /// \param Older keys of the segments that the record refers to.
  explicit SlotLedger(
      SlotRecord Stored,
      std::shared_ptr<const BilledKeys> Older = std::make_shared<BilledKeys>());

  /// \brief Applies one operation.
  /// \returns what it did; O(accounts + holders) and O(1) in bills.
  OperationResult apply(const Operation &Change);

  /// \brief Moves all but the newest bills out of the record.
  /// \param Keep number of bills that stay.
  /// \param Id name of the new segment, never used before.
  /// \returns the segment to store before the record.
  Segment rollBills(std::size_t Keep, const std::string &Id);

  /// \brief Moves all but the newest segment references into an index.
  /// \param Keep number of references that stay.
  /// \param Id name of the new index, never used before.
  /// \returns the index to store before the record.
  SegmentIndex rollSegments(std::size_t Keep, const std::string &Id);

  [[nodiscard]] const SlotRecord &record() const { return Record; }

private:
  OperationResult applyOne(const TopUp &Change);
  OperationResult applyOne(const DrawGrant &Change);
  OperationResult applyOne(const ReturnGrant &Change);
  OperationResult applyOne(const CommitBill &Change);
  OperationResult applyOne(const OpenClaim &Change);
  OperationResult applyOne(const ReleaseClaim &Change);
  OperationResult applyOne(const ReclaimGrants &Change);
  OperationResult applyOne(const RaisePrepaid &Change);

  OperationResult repeatBill(const BilledKey &Earlier, const Bill &Again) const;
  void charge(Account &Budget, Bill &Settled) const;
  void indexBill(const Bill &Settled);
  [[nodiscard]] const BilledKey *findBilled(const WorkspaceId &Workspace,
                                            const IdempotencyKey &Key) const;
  Account *findAccount(const WorkspaceId &Workspace);
  Account &accountOf(const WorkspaceId &Workspace);

  SlotRecord Record;
  std::shared_ptr<const BilledKeys> OlderBilled;
  /// Bills since the record was loaded, and those in it.
  std::unordered_map<std::string, BilledKey> Billed;
};

} // namespace bronzeward
