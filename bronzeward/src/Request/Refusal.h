#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <string>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief Whether a request was executed by an upstream.
enum class Outcome { NotRun, Ran, Unknown };

/// \brief Why a request was refused or ended with an incomplete answer.
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
  MemoryShort,
  StreamOriginUnknown,
};

/// \brief The parts of a refusal's answer that depend on its reason alone.
struct RefusalDescription {
  std::uint16_t Status = 500;
  /// Stable machine-readable name, such as "budget-exhausted".
  const char *Code = "";
  /// Message for people.
  const char *Text = "";
  /// Whether the same request may succeed if retried later.
  bool Retry = false;
  /// Delay before a retry; zero if Retry is false.
  std::chrono::seconds RetryAfter{0};
};

/// \returns the answer parts for a reason.
[[nodiscard]] const RefusalDescription &descriptionOf(Reason Cause);

/// \returns "not-run", "ran" or "unknown".
[[nodiscard]] const char *nameOf(Outcome Value);

/// \brief A refusal of one request.
struct Refusal {
  Outcome Execution = Outcome::NotRun;
  Reason Kind = Reason::InvalidRequest;
  /// Appended to the message, such as the name of the dependency that is
  /// unavailable.
  std::string Detail;
};

/// @}

} // namespace bronzeward
