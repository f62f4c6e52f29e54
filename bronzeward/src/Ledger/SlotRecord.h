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
/// \brief Budget set aside for one holder.
struct GrantLine {
  Incarnation Holder;
  /// Not yet billed; at least what the holder believes it has.
  Money Remaining;
  /// Number of the holder's last draw or return, for idempotence.
  std::uint64_t Sequence = 0;
  /// Amount of that last change: a draw above zero, a return below.
  Money LastAmount;
  bool operator==(const GrantLine &) const = default;
};

/// \ingroup Ledger
/// \brief Permission to run a request that may not be repeated.
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
/// Always: Settled + sum(Grants.Remaining) <= Prepaid.
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
/// \brief Names an immutable segment of older bills.
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
/// \brief The head record of a slot, replaced whole by compare-and-swap.
struct SlotRecord {
  SlotId Slot;
  std::uint64_t NextOrder = 1;
  /// Hash chain over all bills: each link digests the one before and a bill.
  std::string Chain;
  /// Chain value before the oldest bill of this record.
  std::string RolledChain;
  std::vector<Account> Accounts;
  /// Newest bills, in order; older ones lie in segments.
  std::vector<Bill> Bills;
  std::vector<SegmentReference> Segments;
  /// Index record that lists still older segments; empty for none.
  std::string OlderIndex;
  bool operator==(const SlotRecord &) const = default;
};

/// \ingroup Ledger
/// \brief An immutable run of bills.
struct Segment {
  /// Chain value before the first bill.
  std::string ChainBefore;
  std::vector<Bill> Bills;
  bool operator==(const Segment &) const = default;
};

/// \ingroup Ledger
/// \brief An immutable list of segments, linked to the list before it.
struct SegmentIndex {
  std::vector<SegmentReference> Segments;
  std::string OlderIndex;
  bool operator==(const SegmentIndex &) const = default;
};

} // namespace bronzeward
