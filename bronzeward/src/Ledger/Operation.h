#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <optional>
#include <variant>
#include <vector>

namespace bronzeward {

/// \addtogroup Ledger
/// @{

/// \brief Adds prepaid budget, once for each operation id.
struct TopUp {
  WorkspaceId Workspace;
  OperationId Id;
  Money Amount;
};

/// \brief Raises the prepaid amount to a total set by the operators. A total at
/// or below the current one has no effect, so instances may submit totals
/// repeatedly and in any order.
struct RaisePrepaid {
  WorkspaceId Workspace;
  Money Total;
};

/// \brief Grants budget to a holder. Repeating a Sequence has no effect.
struct DrawGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
  std::uint64_t Sequence = 0;
  /// Minimum useful amount; above zero.
  Money Minimum;
  /// Amount to grant if the account allows it.
  Money Wanted;
  /// Divisor: beyond Minimum, at most the free budget divided by this is
  /// granted, so that the last of a budget is not stranded at one holder.
  std::uint32_t Share = 1;
};

/// \brief Returns granted budget. Repeating a Sequence has no effect.
struct ReturnGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
  std::uint64_t Sequence = 0;
  Money Amount;
};

/// \brief Bills a request, once for each workspace and idempotency key.
struct CommitBill {
  Bill Settled;
  /// Whether the caller already has the whole answer. Such a bill is always
  /// recorded; the amount that the budget does not cover is written off.
  bool AnswerReleased = false;
};

/// \brief Claims the right to run a request that must not run twice.
struct OpenClaim {
  WorkspaceId Workspace;
  Claim Opened;
};

/// \brief Releases a claim whose request was not sent to any upstream.
struct ReleaseClaim {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  RequestId Request;
};

/// \brief Reclaims every grant of a holder that is gone.
struct ReclaimGrants {
  Incarnation Holder;
};

/// \brief One idempotent change of a slot record.
using Operation =
    std::variant<TopUp, DrawGrant, ReturnGrant, CommitBill, OpenClaim,
                 ReleaseClaim, ReclaimGrants, RaisePrepaid>;

/// \brief Result of an operation.
enum class OperationStatus : std::uint16_t {
  /// The operation took effect.
  Applied,
  /// The operation had taken effect before; the result is the same as then.
  Repeated,
  /// The account has too little free budget.
  Insufficient,
  /// The holder's grant was reclaimed, and free budget does not cover the bill.
  Fenced,
  /// The key was billed for another request of the same content.
  BilledBefore,
  /// The key was used for other content.
  KeyReused,
  /// Another request holds the claim; its outcome is unknown.
  ClaimHeld,
  /// The claimed request has finished; its answer is attached if it was kept.
  ClaimFinished,
  /// No such account or claim, or an amount out of range.
  Rejected,
};

/// \brief Balance of an account after an operation.
struct AccountBalance {
  Money Prepaid;
  Money Settled;
  /// Sum of all grants, including those of holders that are gone.
  Money Granted;
  /// Number of holders with a grant above zero.
  std::uint32_t Holders = 0;

  /// \returns the amount that can be granted.
  [[nodiscard]] Money free() const { return Prepaid - Settled - Granted; }
  /// \returns the amount that is not spent yet. It can only fall until the next
  /// top-up, so a request that costs more is certainly not covered.
  [[nodiscard]] Money unsettled() const { return Prepaid - Settled; }
  bool operator==(const AccountBalance &) const = default;
};

/// \brief Result of one \ref Operation.
struct OperationResult {
  OperationStatus Status = OperationStatus::Rejected;
  /// Amount granted, billed or reclaimed; negative if returned.
  Money Amount;
  /// Position assigned to a bill, claim or top-up.
  std::uint64_t Order = 0;
  /// If Status is Insufficient: the holders with a grant above zero.
  std::vector<Incarnation> Holders;
  /// Balance of the operation's account; zero if it concerns no single account.
  AccountBalance Balance;
  std::optional<RecordedAnswer> Answer;
  bool operator==(const OperationResult &) const = default;
};

/// @}

} // namespace bronzeward
