#pragma once

#include "bronzeward/Base"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief One HTTP request to another party.
struct HttpRequest {
  std::string Host;
  std::uint16_t Port = 0;
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Body;
  /// Host header; the address where empty.
  std::string HostHeader;
  /// Further headers.
  std::vector<HeaderField> Headers;
  /// Header that the answer repeats. An answer with another value belongs to
  /// an earlier request and is skipped. Empty where answers carry none.
  HeaderField Match;
  /// Time for the connection to open.
  Duration ConnectTimeout = 1s;
  /// Time without a byte after which the exchange fails.
  Duration IdleTimeout = 60s;
  /// Longest time for which a kept connection may have been idle; zero for a
  /// connection of its own. A kept one may turn out to be closed after the
  /// request was written.
  Duration MaxIdle = 60s;
  /// Time for which sent bytes may stay unacknowledged by the peer's machine;
  /// zero for the system's own limit.
  std::chrono::milliseconds UnackedTimeout{0};
};

/// \brief How far a failed exchange came.
enum class HttpFailure {
  NotSent,
  /// Not sent, since no connection opened in time.
  ConnectTimedOut,
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

/// \brief Kept connections of one thread.
class HttpConnections;

/// \brief One request and its answer; cancelled when destroyed or told to.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// \brief Ends the exchange; its listener hears nothing more.
  virtual void cancel() = 0;
};

/// \returns a new set of kept connections.
[[nodiscard]] std::shared_ptr<HttpConnections>
makeHttpConnections(boost::asio::io_context &Io);

/// \brief Starts an exchange in the connections' thread.
/// \returns the exchange, for cancelling.
std::shared_ptr<HttpExchange>
startExchange(const std::shared_ptr<HttpConnections> &Connections,
              HttpRequest Request, std::shared_ptr<HttpListener> Listener);

/// @}

} // namespace bronzeward
