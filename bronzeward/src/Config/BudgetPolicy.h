#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <cstdint>

namespace bronzeward {

/// \ingroup Config
/// \brief How a deployment weighs speed, store calls and stranded budget.
///
/// None of these can cause overspend; docs/BUDGETS.md gives their effects.
struct BudgetPolicy {
  /// Ledger records of the deployment; fixed once accounts exist.
  std::uint32_t Slots = 1;
  /// Time between two group commits of bills in a busy slot; an idle slot
  /// commits a few at once.
  Duration CommitInterval = 50ms;
  /// Spending that a grant should cover: the store outage to bridge.
  Duration GrantHorizon = 90s;
  /// Most of a workspace's remaining budget that all grants together may be: a
  /// loss of every instance takes no more. One for no bound.
  double JointLossPart = 1.0;
  /// Time over which the observed rate of spending is averaged.
  Duration RateWindow = 60s;
  /// Spending that a grant covers, as a multiple of the expected; requests do
  /// not come evenly.
  double SpendingMargin = 1.5;
  /// Peak reservations' worth that a grant holds beyond expected spending.
  std::int64_t ReservedMultiple = 4;
  /// Whether what is free covers the horizon's spending in whole requests and
  /// nothing beyond, so that little is set aside at many instances; a request
  /// above it waits for a draw or a loan. Goes with Lending.
  bool ReserveWholeRequests = false;
  /// A refill goes to this multiple of the low-water mark.
  double RefillMultiple = 2.0;
  /// Free budget above this multiple of the refill's target is returned while
  /// it is not needed; zero keeps it until it is recalled.
  double ReturnMultiple = 0.0;
  /// One draw takes at most a part in this many of the free budget beyond what
  /// waits for it; the number of instances may ask for a smaller part.
  std::uint32_t LeastDrawShares = 2;
  /// Whether a grant is drawn before the first request asks for it.
  bool DrawAhead = false;
  /// Whether operations wait for a list of members with this instance in it, so
  /// that the instances of a large fleet that start together do not all commit
  /// by themselves.
  bool AwaitMembers = false;
  /// Whether instances lend each other parts of their grants.
  bool Lending = false;
  /// How long a request waits for budget before it is refused.
  Duration BudgetWait = 400ms;
  /// How long a claim may take to become durable before it is refused.
  Duration ClaimWait = 2s;
  /// How long the end of an answer waits for its bill.
  Duration AnswerHold = 3s;
  /// How long a bill waits for the store before peers carry it.
  Duration CarryAfter = 250ms;
  /// How long a slot's committer may take before it is passed over.
  Duration CommitterTimeout = 800ms;
  /// Peers in other failure domains that must carry a bill.
  std::size_t Carriers = 2;
  /// How long new requests are taken while the store does not answer.
  Duration OfflineService = 300s;
  /// How long a holder must be missing, with the store answering, before its
  /// grants are taken back.
  Duration ReclaimAfter = 60s;
  /// Keys chosen by callers are remembered at least this long.
  Duration KeyRetention = 1h;
  /// Bills in a head record before older ones move to a segment.
  std::size_t MaxHeadBills = 512;
  /// Segment references in a head record before older ones move to an index.
  std::size_t MaxHeadSegments = 256;
  /// Recorded answers longer than this are kept as a digest only.
  std::size_t MaxRecordedAnswerBytes = 4096;
  /// Operations that may wait for a commit at one instance.
  std::size_t MaxPendingOperations = 100000;
};

} // namespace bronzeward
