#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <cstdint>

namespace bronzeward {

/// \ingroup Config
/// \brief Trade-off of a deployment between latency, store calls and budget
/// that idle grants hold.
///
/// No setting can cause overspending; docs/BUDGETS.md gives their effects.
struct BudgetPolicy {
  /// Number of ledger records; must not change once accounts exist.
  std::uint32_t Slots = 1;
  /// Time between two group commits of bills in a busy slot; a slot that was
  /// idle commits a few bills at once.
  Duration CommitInterval = 50ms;
  /// Time whose expected spending a grant covers, so that requests are served
  /// through a store outage of that length.
  Duration GrantHorizon = 90s;
  /// Largest fraction of a workspace's remaining budget that all grants
  /// together may hold, and thus that a loss of every instance may lock up;
  /// one means no limit.
  double MaxGrantedFraction = 1.0;
  /// Time over which the rate of spending is averaged.
  Duration RateWindow = 60s;
  /// Spending that a grant covers, as a multiple of the expected spending,
  /// since requests do not arrive evenly.
  double SpendingMargin = 1.5;
  /// Number of peak reservations that a grant holds beyond expected spending.
  std::int64_t ReservedMultiple = 4;
  /// Whether the free part of a grant covers the horizon's spending in whole
  /// requests and no more, so that many instances together hold little; a
  /// request that exceeds it waits for a draw or a loan. Used with Lending.
  bool ReserveWholeRequests = false;
  /// Target of a refill, as a multiple of the low-water mark.
  double RefillMultiple = 2.0;
  /// Unused budget above this multiple of the refill's target is returned;
  /// zero keeps it until it is recalled.
  double ReturnMultiple = 0.0;
  /// Smallest divisor of a draw: beyond what waiting requests need, one draw
  /// takes at most the free budget divided by this number. A larger number of
  /// instances makes the divisor larger.
  std::uint32_t MinDrawDivisor = 2;
  /// Whether a grant is drawn before the first request asks for it.
  bool DrawAhead = false;
  /// Whether operations wait until the list of members includes this instance.
  /// Otherwise the instances of a large fleet that start together would all
  /// commit by themselves.
  bool AwaitMembers = false;
  /// Whether instances lend parts of their grants to each other.
  bool Lending = false;
  /// Number of instances that hold a workspace's grants for a large fleet if
  /// its budget is small; the others borrow from them, and a request may be
  /// charged to several grants. Zero if every instance holds grants of its own.
  /// Used with Lending, and only where answers do not wait for their bills.
  std::size_t Custodians = 0;
  /// Number of requests that an instance's equal part of all grants has to
  /// cover for it to hold grants of its own.
  std::int64_t MinGrantRequests = 16;
  /// How long a request waits for budget before it is refused.
  Duration BudgetWait = 400ms;
  /// How long a claim may take to become durable before it is refused.
  Duration ClaimWait = 2s;
  /// How long the end of an answer is held back until its bill is durable.
  Duration AnswerHold = 3s;
  /// How long a bill waits for the store before copies go to peers.
  Duration CarryAfter = 250ms;
  /// How long a slot's committer may take before it is skipped.
  Duration CommitterTimeout = 800ms;
  /// Number of peers in other failure domains that must carry a bill.
  std::size_t Carriers = 2;
  /// How long new requests are accepted while the store does not reply.
  Duration OfflineService = 300s;
  /// How long a holder must be missing, while the store replies, before its
  /// grants are reclaimed.
  Duration ReclaimAfter = 60s;
  /// How long idempotency keys of callers are remembered at least.
  Duration KeyRetention = 1h;
  /// Bills in a head record before older ones move to a segment.
  std::size_t MaxHeadBills = 512;
  /// Segment references in a head record before older ones move to an index.
  std::size_t MaxHeadSegments = 256;
  /// Of recorded answers that are longer, only a digest is kept.
  std::size_t MaxRecordedAnswerBytes = 4096;
  /// Operations that may wait for a commit at one instance.
  std::size_t MaxPendingOperations = 100000;
};

} // namespace bronzeward
