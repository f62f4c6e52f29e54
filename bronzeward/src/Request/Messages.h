#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Routing/ChoicePolicy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \brief Names a caller's connection while it waits for one answer.
struct CallerTicket {
  std::uint64_t Number = 0;
  auto operator<=>(const CallerTicket &) const = default;
};

/// \brief Names one try of a request at one upstream.
struct AttemptId {
  std::uint64_t Number = 0;
  auto operator<=>(const AttemptId &) const = default;
};

/// \brief One HTTP request as a caller sent it.
struct CallerRequest {
  CallerTicket Ticket;
  std::string Method;
  std::string Target;
  std::string Host;
  /// Every header as it came, also those that have a field of their own.
  std::vector<HeaderField> Headers;
  std::string Authorization;
  std::string Key;
  std::string ContentType;
  std::string Body;
};

/// \brief One HTTP answer, or the head of a streamed one.
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
  virtual void answer(CallerTicket To, const Answer &Whole) = 0;
  virtual void beginStream(CallerTicket To, const Answer &Head) = 0;
  virtual void sendPart(CallerTicket To, const std::string &Part) = 0;
  virtual void endStream(CallerTicket To, const std::string &LastPart) = 0;
  /// \brief Closes the connection, so that what was sent looks cut off.
  virtual void disconnect(CallerTicket To) = 0;
};

/// \brief One request to an upstream.
struct UpstreamCall {
  AttemptId Attempt;
  UpstreamName Upstream;
  std::string Host;
  std::uint16_t Port = 0;
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
  /// Host header; the upstream's address where empty.
  std::string HostHeader;
  /// Further headers.
  std::vector<HeaderField> Headers;
  /// Header that tells this call's answer from a late one.
  HeaderField Match;
  /// Longest idle time of a connection to use again; zero for a new one.
  Duration MaxIdle = 60s;
  Duration ConnectTimeout = 1s;
  /// Time for which the upstream's machine may leave bytes unacknowledged;
  /// zero for the system's own limit.
  std::chrono::milliseconds UnackedTimeout{0};
};

/// \brief How an attempt failed.
enum class UpstreamFailure {
  /// No byte of the request was sent.
  NotSent,
  /// The same, since no connection opened in time.
  ConnectTimedOut,
  /// The connection ended before the whole answer came.
  Closed,
  /// The answer broke the protocol.
  Invalid,
};

/// \brief Sends requests to upstreams.
class UpstreamPort {
public:
  virtual ~UpstreamPort() = default;
  virtual void dispatch(const UpstreamCall &Call) = 0;
  /// \brief Ends an attempt; nothing more is heard of it.
  virtual void cancel(AttemptId Attempt) = 0;
};

/// \brief One choice of an upstream, for the decision log.
struct ChoiceRecord {
  RequestId Request;
  ServiceName Service;
  std::vector<Candidate> Candidates;
  Choice Chosen;
  int Attempt = 0;
};

/// \brief Receives every decision worth a log line.
class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  virtual void onChoice(const ChoiceRecord &Record) = 0;
  /// \brief A request ended: refused, answered or given up.
  virtual void onEnd(const RequestId &Request, const WorkspaceId &Workspace,
                     std::uint16_t Status, const std::string &Outcome,
                     const std::string &Reason) = 0;
  /// \brief The instance began or ceased to believe something.
  virtual void onEvent(const std::string &Event, const std::string &Detail) = 0;
};

/// @}

} // namespace bronzeward
