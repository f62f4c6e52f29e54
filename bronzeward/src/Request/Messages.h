#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Request/CallerPresence.h"
#include "bronzeward/src/Request/SharedBytes.h"
#include "bronzeward/src/Request/UpstreamAvailability.h"
#include "bronzeward/src/Routing/ChoicePolicy.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief Identifies a caller's connection while it waits for one answer.
struct CallerTicket {
  std::uint64_t Number = 0;
  auto operator<=>(const CallerTicket &) const = default;
};

/// \brief Identifies one attempt of a request at one upstream.
struct AttemptId {
  std::uint64_t Number = 0;
  auto operator<=>(const AttemptId &) const = default;
};

/// \brief An HTTP request as received from a caller.
struct CallerRequest {
  CallerTicket Ticket;
  std::string Method;
  std::string Target;
  std::string Host;
  /// All headers, including those that have a field of their own.
  std::vector<HeaderField> Headers;
  std::string Authorization;
  /// Value of the Idempotency-Key header, empty if absent.
  std::string Key;
  std::string ContentType;
  std::string Body;
  /// Null if unknown.
  std::shared_ptr<const CallerPresence> Presence;
};

/// \brief An HTTP answer, or the head of a streamed one.
struct Answer {
  std::uint16_t Status = 200;
  std::string ContentType;
  std::vector<HeaderField> Headers;
  std::string Body;
};

/// \brief Sends answers to callers.
class CallerPort {
public:
  virtual ~CallerPort() = default;
  /// \brief Sends a whole answer.
  virtual void answer(CallerTicket To, const Answer &Complete) = 0;
  /// \brief Sends the head of a streamed answer.
  virtual void beginStream(CallerTicket To, const Answer &Head) = 0;
  virtual void sendPart(CallerTicket To, const std::string &Part) = 0;
  /// \brief Sends the last part of a streamed answer.
  virtual void endStream(CallerTicket To, const std::string &LastPart) = 0;
  /// \brief Closes the connection, so that the caller sees a truncated answer.
  virtual void disconnect(CallerTicket To) = 0;
};

/// \brief An HTTP request to an upstream.
struct UpstreamCall {
  AttemptId Attempt;
  UpstreamName Upstream;
  std::string Host;
  std::uint16_t Port = 0;
  std::string Method;
  std::string Target;
  std::string ContentType;
  SharedBytes Body;
  /// Host header; the upstream's address if empty.
  std::string HostHeader;
  /// Additional headers.
  std::vector<HeaderField> Headers;
  /// Header by which a late answer of an earlier call on the same connection is
  /// recognised: an answer that has it with another value is skipped. Unused
  /// if its name is empty.
  HeaderField Match;
  /// Whether the upstream is expected to repeat Match in every answer, see
  /// HttpRequest::MatchRequired.
  bool MatchRequired = false;
  /// Maximum idle time of a connection to reuse; zero forces a new one.
  Duration MaxIdle = 60s;
  Duration ConnectTimeout = 1s;
  /// Time after which the connection fails if sent bytes stay unacknowledged
  /// (TCP user timeout); zero for the system's default.
  std::chrono::milliseconds UnackedTimeout{0};
  /// Whether the caller still waits for the answer; null if unknown.
  std::shared_ptr<const CallerPresence> Presence;
  /// Whether the upstream may still be sent the call; null if always.
  std::shared_ptr<const UpstreamAvailability> Availability;
};

/// \brief How an attempt at an upstream failed.
enum class UpstreamFailure {
  /// No byte of the request was sent.
  NotSent,
  /// No byte was sent, since no connection was established in time.
  ConnectTimedOut,
  /// No byte was sent, since the caller has left.
  CallerLeft,
  /// No byte was sent, since the upstream no longer receives new calls.
  Withdrawn,
  /// The connection closed before the whole answer was received.
  Closed,
  /// The answer violated the protocol.
  Invalid,
};

/// \brief Tests whether an upstream accepts connections.
struct UpstreamProbe {
  UpstreamName Upstream;
  /// IP address.
  std::string Host;
  std::uint16_t Port = 0;
};

/// \brief Sends requests to upstreams.
class UpstreamPort {
public:
  virtual ~UpstreamPort() = default;
  virtual void dispatch(const UpstreamCall &Call) = 0;
  /// \brief Cancels an attempt; no callback follows for it.
  virtual void cancel(AttemptId Attempt) = 0;
  /// \brief Opens a connection and closes it again. Only a refusal is reported,
  /// as a sign that the upstream's process has ended.
  virtual void probe(const UpstreamProbe &Probe) = 0;
};

/// \brief How recent an instance's list of upstreams is.
struct RegistryState {
  /// Store revision up to which all changes are known.
  std::uint64_t Revision = 0;
  /// When the store or a watcher last confirmed it.
  TimePoint ConfirmedAt;
};

/// \brief The choice of an upstream for one attempt, for the decision log.
struct ChoiceRecord {
  RequestId Request;
  ServiceName Service;
  std::vector<Candidate> Candidates;
  Choice Chosen;
  /// Number of the attempt, starting at 1.
  int Attempt = 0;
  /// Revision and age of the list of upstreams; empty where it is configured.
  std::optional<std::uint64_t> RegistryRevision = std::nullopt;
  Duration RegistryAge{};
};

/// \brief Receives the decisions to log.
class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  /// \brief Called when an upstream was chosen for an attempt.
  virtual void onChoice(const ChoiceRecord &Record) = 0;
  /// \brief Called when a request ended: refused, answered or abandoned.
  virtual void onEnd(const RequestId &Request, const WorkspaceId &Workspace,
                     std::uint16_t Status, const std::string &Outcome,
                     const std::string &Reason) = 0;
  /// \brief Called when the instance's view of its environment changed, such
  /// as the reachability of the store.
  virtual void onEvent(const std::string &Event, const std::string &Detail) = 0;
};

/// @}

} // namespace bronzeward
