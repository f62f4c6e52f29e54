#pragma once

#include "bronzeward/src/Ledger/BilledKeys.h"
#include "bronzeward/src/Ledger/LostGrants.h"
#include "bronzeward/src/Ledger/Operation.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace bronzeward {

/// \ingroup Ledger
/// \brief Working copy of a slot record with an index of its bills.
///
/// Operations change only the copy; a compare-and-swap of \ref record makes the
/// change durable. Every operation is idempotent, so if the reply to a write is
/// lost, the record is read again and the batch is applied to it again.
class SlotLedger {
public:
  /// \brief Starts from a stored record.
  /// \param Stored the record as last read.
  /// \param SegmentKeys billed keys of the segments that the record refers to.
  /// \param LossLimit part of an account's unsettled budget that all grants
  /// together may hold once some are lost; one means no limit.
  explicit SlotLedger(SlotRecord Stored,
                      std::shared_ptr<const BilledKeys> SegmentKeys =
                          std::make_shared<BilledKeys>(),
                      double LossLimit = 1.0);

  /// \brief Applies one operation.
  /// \returns its result; takes O(accounts + holders), O(1) in bills.
  OperationResult apply(const Operation &Change);

  /// \brief Moves all but the newest bills from the record to a segment.
  /// \param Keep number of bills that stay.
  /// \param Id unique name of the new segment.
  /// \returns the segment, to be stored before the record.
  Segment rollBills(std::size_t Keep, const std::string &Id);

  /// \brief Moves all but the newest segment references to an index.
  /// \param Keep number of references that stay.
  /// \param Id unique name of the new index.
  /// \returns the index, to be stored before the record.
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

  OperationResult repeatBill(const BilledKey &Earlier, const Bill &Later) const;
  /// Charges a bill to its holder's grant and, beyond that, to free budget.
  void charge(Account &Budget, Bill &Settled) const;
  void indexBill(const Bill &Settled);
  [[nodiscard]] const BilledKey *findBilled(const WorkspaceId &Workspace,
                                            const IdempotencyKey &Key) const;
  Account *findAccount(const WorkspaceId &Workspace);
  /// \returns a workspace's account, created if missing.
  Account &accountOf(const WorkspaceId &Workspace);

  SlotRecord Record;
  std::shared_ptr<const BilledKeys> BilledInSegments;
  double MaxGrantedFraction;
  LostGrants Lost;
  /// Keys of the record's bills, and of all bills since it was loaded.
  std::unordered_map<std::string, BilledKey> Billed;
};

} // namespace bronzeward
