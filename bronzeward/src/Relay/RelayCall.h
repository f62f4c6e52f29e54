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

/// \brief One part of a prompt. Parts with equal ids have equal text.
struct PromptPart {
  std::uint64_t Id = 0;
  std::int64_t Tokens = 0;
};

/// \brief A caller's request, with the fields decoded from its headers.
struct RelayCall {
  CallerTicket Ticket;
  std::string Method;
  /// Path and query, forwarded unchanged.
  std::string Target;
  std::string Host;
  SharedBytes Body;
  /// Identifier that the caller gave to this attempt; unique per attempt.
  std::string CallerAttemptId;
  /// Empty if the caller sent none.
  std::string ApiKey;
  /// How long the caller waits for the answer, from the call's arrival.
  std::optional<Duration> CallerTimeout;
  /// Tokens of the prompt and upper bound of the output, if the caller sent
  /// them.
  std::optional<std::int64_t> PromptTokens;
  std::optional<std::int64_t> MaxOutputTokens;
  /// Parts of the prompt in order. The last one is specific to this call.
  std::vector<PromptPart> Parts;
  /// Id of the last event that the caller received of a stream that it
  /// resumes; empty for a new stream.
  std::string LastEventId;
  /// The caller's identifier of the attempt that brought the first event of
  /// that stream; empty if not stated.
  std::string ResumedAttemptId;
  /// Headers that are forwarded to the upstream unchanged.
  std::vector<HeaderField> Forwarded;
  /// Null if unknown.
  std::shared_ptr<const CallerPresence> Presence;
};

/// \brief Values that the relay adds to a call when it sends it to an upstream.
struct DispatchContext {
  /// Time until the caller's deadline.
  std::chrono::milliseconds TimeLeft{0};
  UpstreamName Upstream;
  /// Empty if the call belongs to no workspace.
  WorkspaceId Workspace;
  /// Zero is the most urgent.
  int Priority = 0;
  /// Id of the last event already sent to the caller; empty to start the
  /// stream from its beginning.
  std::string LastEventId;
};

/// \brief Load that an upstream reports in the headers of an answer.
struct ReportedLoad {
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t Slots = 0;
  /// How long work takes on the upstream's host at present, as a multiple of
  /// the usual time; empty if the upstream does not report it.
  std::optional<double> HostSlowness = std::nullopt;
};

/// \brief Decoded status line and headers of an upstream's answer.
struct RelayAnswerHead {
  std::uint16_t Status = 0;
  /// Whether the upstream reports that it did not run the call.
  bool NotRun = false;
  /// Whether the address now belongs to another upstream than the intended
  /// one.
  bool Misdirected = false;
  std::optional<ReportedLoad> Load;
  /// Whether the upstream announces that it is shutting down.
  bool Leaving = false;
  /// Time during which the upstream accepts no calls from this instance.
  std::optional<Duration> BackOff;
  /// Limit of the calls from all instances together; empty if the answer states
  /// none.
  std::optional<CallRate> RateLimit;
  /// Whether the answer states a rate limit that cannot be read.
  bool UnreadableRateLimit = false;
  /// Headers that are forwarded to the caller unchanged.
  std::vector<HeaderField> Forwarded;
};

/// \brief Translates between the platform's HTTP headers and relay calls.
class CallCodec {
public:
  virtual ~CallCodec() = default;
  /// \returns the call, or an error if a header is missing, duplicated or
  /// malformed.
  [[nodiscard]] virtual Result<RelayCall> parseCall(CallerRequest In) const = 0;
  /// \returns the headers to send to the upstream, without those that frame
  /// the message.
  [[nodiscard]] virtual std::vector<HeaderField>
  dispatchHeaders(const RelayCall &Call,
                  const DispatchContext &Terms) const = 0;
  /// \returns the header that an upstream echoes in its answer to this call.
  [[nodiscard]] virtual HeaderField
  matchingHeader(const RelayCall &Call) const = 0;
  [[nodiscard]] virtual RelayAnswerHead
  parseAnswerHead(const HttpHead &Head) const = 0;
};

/// @}

} // namespace bronzeward
