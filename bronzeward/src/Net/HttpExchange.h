#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Net/TransitGate.h"
#include "bronzeward/src/Request/CallerPresence.h"
#include "bronzeward/src/Request/SharedBytes.h"
#include "bronzeward/src/Request/UpstreamAvailability.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief One HTTP request to a server.
struct HttpRequest {
  std::string Host;
  std::uint16_t Port = 0;
  std::string Method;
  std::string Target;
  std::string ContentType;
  SharedBytes Body;
  /// Value of the Host header; the address if empty.
  std::string HostHeader;
  /// Further headers.
  std::vector<HeaderField> Headers;
  /// Header that the answer repeats. An answer with another value belongs to
  /// an earlier request and is skipped. Empty if answers carry none.
  HeaderField Match;
  /// Whether the server is expected to repeat Match in every answer. The
  /// request then reuses no connection on which an answer lacked it, since a
  /// late copy of that answer could not be told from its own.
  bool MatchRequired = false;
  /// Maximum time for the connection to open.
  Duration ConnectTimeout = 1s;
  /// Time without a received byte after which the exchange fails.
  Duration IdleTimeout = 60s;
  /// Maximum time for which a reused connection may have been idle; zero opens
  /// a new connection. A reused one may turn out to be closed after the request
  /// was written.
  Duration MaxIdle = 60s;
  /// Maximum time for which sent bytes may stay unacknowledged
  /// (TCP_USER_TIMEOUT); zero for the default of the system.
  std::chrono::milliseconds UnackedTimeout{0};
  /// Caller on whose behalf the request is sent; null if there is none. The
  /// request is not sent once the caller has left.
  std::shared_ptr<const CallerPresence> Presence;
  /// Whether the request may still be sent to the server; null if always.
  std::shared_ptr<const UpstreamAvailability> Availability;
  /// Maximum size of the answer's body; a longer one is invalid.
  std::size_t MaxBodyBytes = std::numeric_limits<std::size_t>::max();
  /// The answer's body is read while it is open; null if always.
  std::shared_ptr<TransitGate> Gate;
};

/// \brief Why an exchange failed.
enum class HttpFailure {
  NotSent,
  /// Not sent, because the connection did not open in time.
  ConnectTimedOut,
  /// Not sent, because the caller has left.
  CallerLeft,
  /// Not sent, because the server receives no new requests any more.
  Withdrawn,
  Closed,
  TimedOut,
  Invalid
};

/// \brief Receives the parts of an answer.
class HttpListener {
public:
  virtual ~HttpListener() = default;
  virtual void onHead(const HttpHead &Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onEnd() = 0;
  virtual void onFailure(HttpFailure How, const std::string &Detail) = 0;
};

/// \brief Idle connections that one thread keeps for reuse.
class HttpConnectionPool;

/// \brief One request and its answer, in progress. Dropping the pointer does
/// not cancel it.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// \brief Ends the exchange; its listener is not called again. Bytes of the
  /// request that wait in the socket's buffer are discarded.
  virtual void cancel() = 0;
  /// \returns whether the exchange has succeeded, failed or been cancelled.
  [[nodiscard]] virtual bool ended() const = 0;
  /// \returns the number of bytes that were written to the connection and that
  /// the server has not acknowledged; zero if the system cannot tell.
  [[nodiscard]] virtual std::size_t unacknowledgedBytes() const = 0;
};

/// \returns an empty set of idle connections for the thread that runs Io.
[[nodiscard]] std::shared_ptr<HttpConnectionPool>
makeHttpConnectionPool(boost::asio::io_context &Io);

/// \brief Starts an exchange in the connections' thread.
/// \returns the exchange, by which it can be cancelled.
std::shared_ptr<HttpExchange>
startExchange(const std::shared_ptr<HttpConnectionPool> &Connections,
              HttpRequest Request, std::shared_ptr<HttpListener> Listener);

/// @}

} // namespace bronzeward
