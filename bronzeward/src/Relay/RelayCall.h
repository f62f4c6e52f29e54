#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Request/Messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief One part of a prompt; equal ids are equal text.
struct PromptPart {
  std::uint64_t Id = 0;
  std::int64_t Tokens = 0;
};

/// \brief A caller's request as the relay needs it, decoded from headers.
struct RelayCall {
  CallerTicket Ticket;
  std::string Method;
  /// Path and query, passed on unchanged.
  std::string Target;
  std::string Host;
  std::string Body;
  /// Caller's own name of this try, unique to it.
  std::string AttemptName;
  /// Empty where the caller sent none.
  std::string ApiKey;
  /// For how long the caller waits, from the call's arrival.
  std::optional<Duration> Patience;
  /// Length of the prompt and of the longest output, where the caller says.
  std::optional<std::int64_t> PromptTokens;
  std::optional<std::int64_t> MaxOutputTokens;
  /// Parts of the prompt, in order; the last is the call's own.
  std::vector<PromptPart> Parts;
  /// Last event that the caller has of a stream it continues; empty for none.
  std::string LastEventId;
  /// Headers that go to the upstream as they came.
  std::vector<HeaderField> Forwarded;
};

/// \brief What the relay adds to a call for one upstream.
struct DispatchTerms {
  /// Time that the caller has left.
  std::chrono::milliseconds TimeLeft{0};
  UpstreamName Upstream;
  /// Empty where the call is of no workspace.
  WorkspaceId Workspace;
  /// Zero is the most urgent.
  int Priority = 0;
  /// Last event already passed on; empty for a stream from its beginning.
  std::string LastEventId;
};

/// \brief Load that an upstream states in an answer.
struct StatedLoad {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
};

/// \brief Head of an upstream's answer, decoded.
struct RelayAnswerHead {
  std::uint16_t Status = 0;
  /// Whether the upstream states that it did not run the call.
  bool NotRun = false;
  /// Whether another upstream than the one meant has the address now.
  bool Misdirected = false;
  std::optional<StatedLoad> Load;
  /// Whether the upstream says that it leaves.
  bool Leaving = false;
  /// For how long the upstream wants nothing from this instance.
  std::optional<Duration> BackOff;
  /// Headers that go to the caller as they came.
  std::vector<HeaderField> Forwarded;
};

/// \brief Reads and writes the headers that callers and upstreams use.
class CallCodec {
public:
  virtual ~CallCodec() = default;
  /// \returns the call, or an error where its headers are missing, doubled or
  /// malformed.
  [[nodiscard]] virtual Result<RelayCall> parseCall(CallerRequest In) const = 0;
  /// \returns every header of the dispatch but the framing ones.
  [[nodiscard]] virtual std::vector<HeaderField>
  dispatchHeaders(const RelayCall &Call, const DispatchTerms &Terms) const = 0;
  /// \returns the header that the answer to a call repeats.
  [[nodiscard]] virtual HeaderField
  matchingHeader(const RelayCall &Call) const = 0;
  [[nodiscard]] virtual RelayAnswerHead
  parseAnswerHead(const HttpHead &Head) const = 0;
};

/// @}

} // namespace bronzeward
