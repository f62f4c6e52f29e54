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
  /// Further headers, each a name and a value.
  std::vector<std::pair<std::string, std::string>> Headers;
  /// Time for the connection to open.
  Duration ConnectTimeout = 1s;
  /// Time without a byte after which the exchange fails.
  Duration IdleTimeout = 60s;
  /// Whether a kept connection may be used. Such a connection may turn out to
  /// be closed after the request was written.
  bool ReuseConnection = true;
};

/// \brief How far a failed exchange came.
enum class HttpFailure { NotSent, Closed, TimedOut, Invalid };

/// \brief Receives the parts of an answer.
class HttpListener {
public:
  virtual ~HttpListener() = default;
  virtual void onHead(std::uint16_t Status, const std::string &ContentType) = 0;
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
