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
  /// Those of InputTokens that the upstream had cached.
  std::int64_t CachedTokens = 0;
  std::int64_t OutputTokens = 0;

  bool operator==(const Usage &) const = default;
};

/// \ingroup Ledger
/// \returns the cost of Tokens at Rate.
[[nodiscard]] inline Money costOf(const Price &Rate, const Usage &Tokens) {
  const std::int64_t Uncached = Tokens.InputTokens - Tokens.CachedTokens;
  return Rate.Call + scaled(Rate.InputToken, Uncached) +
         scaled(Rate.CachedToken, Tokens.CachedTokens) +
         scaled(Rate.OutputToken, Tokens.OutputTokens);
}

/// \ingroup Ledger
/// \brief Answer to a request that must not run twice, kept for replay.
struct RecordedAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the body was longer than the ledger keeps.
  bool BodyKept = true;

  bool operator==(const RecordedAnswer &) const = default;
};

/// \ingroup Ledger
/// \brief Evidence of one served request, complete enough for an audit or a
/// dispute.
struct Bill {
  WorkspaceId Workspace;
  IdempotencyKey Key;
  RequestId Request;
  ContentFingerprint Content;
  ServiceName Service;
  UpstreamName Upstream;
  /// Incarnation whose grant is charged: the instance that served the request,
  /// or the lender if it spent a loan.
  Incarnation Holder;
  ConfigurationVersion Configuration;
  WallTime Accepted;
  WallTime Dispatched;
  WallTime Finished;
  Usage Tokens;
  Price Rate;
  Money Cost;
  /// Amount of Cost that could not be charged; see docs/BUDGETS.md.
  Money WrittenOff;
  /// Position in the slot's total order, assigned at commit.
  std::uint64_t Order = 0;
  /// Whether the caller chose Key; such keys are kept for the retry window.
  bool KeyFromCaller = false;
  /// Digest of the delivered answer.
  std::string AnswerDigest;
  /// Present for requests that must not run twice.
  std::optional<RecordedAnswer> Answer;

  bool operator==(const Bill &) const = default;
};

} // namespace bronzeward
