#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Ledger
/// \brief Tokens that one request used.
struct Usage {
  std::int64_t InputTokens = 0;
  /// Part of InputTokens that the upstream had cached.
  std::int64_t CachedTokens = 0;
  std::int64_t OutputTokens = 0;

  bool operator==(const Usage &) const = default;
};

/// \ingroup Ledger
/// \returns the cost of Tokens at Rate.
[[nodiscard]] inline Money costOf(const Price &Rate, const Usage &Tokens) {
  const std::int64_t Fresh = Tokens.InputTokens - Tokens.CachedTokens;
  return Rate.Call + scaled(Rate.InputToken, Fresh) +
         scaled(Rate.CachedToken, Tokens.CachedTokens) +
         scaled(Rate.OutputToken, Tokens.OutputTokens);
}

/// \ingroup Ledger
/// \brief The final answer of a request that may not be repeated.
struct RecordedAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False where the body was longer than the ledger keeps.
  bool BodyKept = true;

  bool operator==(const RecordedAnswer &) const = default;
};

/// \ingroup Ledger
/// \brief What a court would ask about one request that was served.
struct Bill {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  RequestId Request;
  ContentFingerprint Content;
  ServiceName Service;
  UpstreamName Upstream;
  /// Instance life that served the request and holds its grant.
  Incarnation Holder;
  ConfigurationVersion Configuration;
  WallTime Accepted;
  WallTime Dispatched;
  WallTime Finished;
  Usage Tokens;
  Price Rate;
  Money Cost;
  /// Part of Cost that could not be charged; see docs/BUDGETS.md.
  Money WrittenOff;
  /// Position in the slot's total order, given at commit.
  std::uint64_t Order = 0;
  /// Whether the caller chose Key; such keys are kept for the retry window.
  bool KeyFromCaller = false;
  /// Digest of the answer as delivered.
  std::string AnswerDigest;
  /// Present for requests that may not be repeated.
  std::optional<RecordedAnswer> Answer;

  bool operator==(const Bill &) const = default;
};

} // namespace bronzeward
