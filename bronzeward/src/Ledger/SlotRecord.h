#pragma once

#include "bronzeward/src/Ledger/Bill.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Ledger
/// \brief One applied top-up.
struct TopUpEntry {
  OperationId Id;
  Money Amount;
  std::uint64_t Order = 0;
  bool operator==(const TopUpEntry &) const = default;
};

/// \ingroup Ledger
/// \brief Grant of one holder.
struct GrantLine {
  Incarnation Holder;
  /// Amount not billed yet; at least the holder's own view of it.
  Money Remaining;
  /// Sequence number of the holder's last draw or return, for idempotence.
  std::uint64_t Sequence = 0;
  /// Amount of that last change: positive for a draw, negative for a return.
  Money LastAmount;
  bool operator==(const GrantLine &) const = default;
};

/// \ingroup Ledger
/// \brief Exclusive right to run a request that must not run twice.
struct Claim {
  IdempotencyKey Key;
  ContentFingerprint Content;
  RequestId Request;
  Incarnation Holder;
  WallTime Opened;
  std::uint64_t Order = 0;
  bool operator==(const Claim &) const = default;
};

/// \ingroup Ledger
/// \brief One workspace's budget.
///
/// Invariant: Settled + sum(Grants.Remaining) <= Prepaid.
struct Account {
  WorkspaceId Workspace;
  Money Prepaid;
  Money Settled;
  Money WrittenOff;
  std::vector<TopUpEntry> TopUps;
  std::vector<GrantLine> Grants;
  std::vector<Claim> OpenClaims;
  bool operator==(const Account &) const = default;
};

/// \ingroup Ledger
/// \brief Reference to an immutable segment of older bills.
struct SegmentReference {
  std::string Id;
  std::uint64_t FirstOrder = 0;
  std::uint64_t LastOrder = 0;
  std::uint64_t Bills = 0;
  /// Latest finish time of a bill in the segment.
  WallTime Newest;
  bool operator==(const SegmentReference &) const = default;
};

/// \ingroup Ledger
/// \brief Head record of a slot, replaced as a whole by compare-and-swap.
struct SlotRecord {
  SlotId Slot;
  std::uint64_t NextOrder = 1;
  /// Hash chain over all bills: each link digests the previous one and a bill.
  std::string Chain;
  /// Chain value before the oldest bill of this record.
  std::string RolledChain;
  std::vector<Account> Accounts;
  /// Newest bills, in order; older ones are in segments.
  std::vector<Bill> Bills;
  std::vector<SegmentReference> Segments;
  /// Id of the index record that lists older segments; empty if there is none.
  std::string OlderIndex;
  bool operator==(const SlotRecord &) const = default;
};

/// \ingroup Ledger
/// \brief Immutable sequence of consecutive bills.
struct Segment {
  /// Chain value before the first bill.
  std::string ChainBefore;
  std::vector<Bill> Bills;
  bool operator==(const Segment &) const = default;
};

/// \ingroup Ledger
/// \brief Immutable list of segments, linked to the previous list.
struct SegmentIndex {
  std::vector<SegmentReference> Segments;
  std::string OlderIndex;
  bool operator==(const SegmentIndex &) const = default;
};

} // namespace bronzeward
