#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <string>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief Whether a request was executed by an upstream.
enum class Outcome { NotRun, Ran, Unknown };

/// \brief Why a request was refused or ended without its whole answer.
enum class Reason {
  InvalidRequest,
  UnknownModel,
  UnknownRoute,
  WrongKey,
  IdempotencyKeyRequired,
  IdempotencyKeyReused,
  TooLarge,
  HeadersTooLarge,
  TooManyConnections,
  SlowRequest,
  BudgetExhausted,
  StoreUnavailable,
  WorkspaceLimit,
  ServiceLimit,
  DependencyUnavailable,
  NoUpstream,
  Quarantined,
  Draining,
  NotReady,
  UpstreamFailed,
  DeadlineExceeded,
  AlreadyStarted,
  AnswerNotKept,
  BillNotDurable,
  BudgetLost,
  BudgetHeld,
  Overloaded,
};

/// \brief The fixed part of a refusal.
struct RefusalForm {
  std::uint16_t Status = 500;
  /// Stable name, such as "budget-exhausted".
  const char *Code = "";
  const char *Text = "";
  /// Whether the same request may succeed later.
  bool Retry = false;
  /// When to come back; zero where Retry is false.
  std::chrono::seconds RetryAfter{0};
};

/// \returns the fixed part for a reason.
[[nodiscard]] const RefusalForm &formOf(Reason Why);

/// \returns "not-run", "ran" or "unknown".
[[nodiscard]] const char *nameOf(Outcome What);

/// \brief A refusal of one request.
struct Refusal {
  Outcome What = Outcome::NotRun;
  Reason Why = Reason::InvalidRequest;
  /// What was wrong, such as the name of a dependency.
  std::string Detail;
};

/// @}

} // namespace bronzeward
