#pragma once

#include "bronzeward/src/Ledger/SlotRecord.h"

#include <optional>
#include <variant>
#include <vector>

namespace bronzeward {

/// \addtogroup Ledger
/// @{

/// \brief Adds prepaid budget once for each operation id.
struct TopUp {
  WorkspaceId Workspace;
  OperationId Id;
  Money Amount;
};

/// \brief Raises the whole prepaid amount to a total that the operators state.
/// A total at or below the present one has no effect, so that instances may
/// state it in any order and as often as they like.
struct RaisePrepaid {
  WorkspaceId Workspace;
  Money Total;
};

/// \brief Sets budget aside for a holder. Repeating a Sequence has no effect.
struct DrawGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
  std::uint64_t Sequence = 0;
  /// Least amount of use to the holder; above zero.
  Money Minimum;
  /// Amount to set aside where the account allows it.
  Money Wanted;
  /// One part in this many of the free budget is the most that is set aside
  /// beyond Minimum, so that the last of a budget is not stranded.
  std::uint32_t Share = 1;
};

/// \brief Gives budget back. Repeating a Sequence has no effect.
struct ReturnGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
  std::uint64_t Sequence = 0;
  Money Amount;
};

/// \brief Settles a request once for each (workspace, idempotency key).
struct CommitBill {
  Bill Settled;
  /// Whether the caller already has the whole answer. Such a bill is always
  /// recorded; what the budget no longer covers is written off.
  bool AnswerReleased = false;
};

/// \brief Reserves the right to run a request that may not be repeated.
struct OpenClaim {
  WorkspaceId Workspace;
  Claim Opened;
};

/// \brief Gives up a claim of which no byte was sent.
struct ReleaseClaim {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  RequestId Request;
};

/// \brief Takes back every grant of a holder that is gone.
struct ReclaimGrants {
  Incarnation Holder;
};

/// \brief One idempotent change of a slot record.
using Operation =
    std::variant<TopUp, DrawGrant, ReturnGrant, CommitBill, OpenClaim,
                 ReleaseClaim, ReclaimGrants, RaisePrepaid>;

/// \brief What an operation did.
enum class OperationStatus : std::uint16_t {
  /// Took effect now.
  Applied,
  /// Had taken effect before; same answer as then.
  Repeated,
  /// The account has too little free budget.
  Insufficient,
  /// The holder's grant is gone, and free budget does not cover the bill.
  Fenced,
  /// The key was billed for another request of the same content.
  BilledBefore,
  /// The key was used with another content.
  KeyReused,
  /// Another request holds the claim; its outcome is not known here.
  ClaimHeld,
  /// The claimed request finished; the answer is attached.
  ClaimFinished,
  /// No such account or claim, or an amount out of range.
  Rejected,
};

/// \brief An account's sums after an operation.
struct AccountBalance {
  Money Prepaid;
  Money Settled;
  /// Sum of all grants, those of holders that are gone included.
  Money SetAside;
  /// Holders that have something set aside.
  std::uint32_t Holders = 0;

  /// \returns what a draw can take.
  [[nodiscard]] Money free() const { return Prepaid - Settled - SetAside; }
  /// \returns what is not spent for certain. It can only fall until the next
  /// top-up, so a request that costs more is certainly not covered.
  [[nodiscard]] Money unsettled() const { return Prepaid - Settled; }
  bool operator==(const AccountBalance &) const = default;
};

/// \brief Result of one \ref Operation.
struct OperationResult {
  OperationStatus Status = OperationStatus::Rejected;
  /// Amount granted, returned, billed or reclaimed.
  Money Amount;
  /// Position given to a bill, claim or top-up.
  std::uint64_t Order = 0;
  /// Holders with budget set aside, where Status is Insufficient.
  std::vector<Incarnation> Holders;
  /// Of the operation's account; zero where it has none.
  AccountBalance Balance;
  std::optional<RecordedAnswer> Answer;
  bool operator==(const OperationResult &) const = default;
};

/// @}

} // namespace bronzeward
