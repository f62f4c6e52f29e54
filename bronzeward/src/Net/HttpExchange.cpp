#include "bronzeward/src/Net/HttpExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <optional>

namespace bronzeward {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

/// Kept connections to one address.
constexpr std::size_t MaxKept = 64;
/// Size of one read.
constexpr std::size_t ReadBytes = 16384;

class HttpConnections {
public:
  explicit HttpConnections(asio::io_context &Context) : Io(Context) {}

  asio::io_context &context() { return Io; }

  /// \returns a kept connection that is still open, or nothing.
  std::unique_ptr<beast::tcp_stream> take(const Tcp::endpoint &Peer) {
    std::vector<std::unique_ptr<beast::tcp_stream>> &Kept = Idle[Peer];
    while (!Kept.empty()) {
      std::unique_ptr<beast::tcp_stream> Stream = std::move(Kept.back());
      Kept.pop_back();
      if (open(*Stream))
        return Stream;
    }
    return nullptr;
  }

  void keep(const Tcp::endpoint &Peer,
            std::unique_ptr<beast::tcp_stream> Stream) {
    std::vector<std::unique_ptr<beast::tcp_stream>> &Kept = Idle[Peer];
    if (Kept.size() < MaxKept)
      Kept.push_back(std::move(Stream));
  }

private:
  /// An idle connection has nothing to read; an end or stray bytes rule it out.
  static bool open(beast::tcp_stream &Stream) {
    error_code Failure;
    char Byte = 0;
    Stream.socket().non_blocking(true, Failure);
    Stream.socket().receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek,
                            Failure);
    return Failure == asio::error::would_block;
  }

  asio::io_context &Io;
  std::map<Tcp::endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>> Idle;
};

std::shared_ptr<HttpConnections> makeHttpConnections(asio::io_context &Io) {
  return std::make_shared<HttpConnections>(Io);
}

namespace {

class Exchange : public HttpExchange,
                 public std::enable_shared_from_this<Exchange> {
public:
  Exchange(std::shared_ptr<HttpConnections> Kept, HttpRequest Asked,
           std::shared_ptr<HttpListener> Sink)
      : Connections(std::move(Kept)), In(std::move(Asked)),
        Listener(std::move(Sink)) {}

  void start() {
    error_code Failure;
    Peer = Tcp::endpoint(asio::ip::make_address(In.Host, Failure), In.Port);
    if (Failure) {
      fail(HttpFailure::NotSent, Failure.message());
      return;
    }
    if (In.ReuseConnection)
      Stream = Connections->take(Peer);
    if (Stream) {
      write();
      return;
    }
    Stream = std::make_unique<beast::tcp_stream>(Connections->context());
    Stream->expires_after(In.ConnectTimeout);
    Stream->async_connect(Peer, [Self = shared_from_this()](error_code Result) {
      if (Self->Cancelled)
        return;
      if (Result) {
        Self->fail(HttpFailure::NotSent, Result.message());
        return;
      }
      error_code Ignored;
      Self->Stream->socket().set_option(Tcp::no_delay(true), Ignored);
      Self->write();
    });
  }

  void cancel() override {
    Cancelled = true;
    Listener.reset();
    if (Stream)
      Stream->close();
  }

private:
  void write() {
    Request.method_string(In.Method);
    Request.target(In.Target);
    Request.version(11);
    Request.set(http::field::host, In.Host + ":" + std::to_string(In.Port));
    if (!In.ContentType.empty())
      Request.set(http::field::content_type, In.ContentType);
    for (const auto &[Name, Value] : In.Headers)
      Request.set(Name, Value);
    Request.body() = std::move(In.Body);
    Request.prepare_payload();
    Parser.body_limit(boost::none);
    Stream->expires_after(In.IdleTimeout);
    http::async_write(
        *Stream, Request,
        [Self = shared_from_this()](error_code Result, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Result)
            Self->fail(HttpFailure::Closed, Result.message());
          else
            Self->readHead();
        });
  }

  void readHead() {
    Stream->expires_after(In.IdleTimeout);
    http::async_read_header(
        *Stream, Buffer, Parser,
        [Self = shared_from_this()](error_code Result, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Result) {
            Self->failRead(Result);
            return;
          }
          Self->Listener->onHead(
              static_cast<std::uint16_t>(Self->Parser.get().result_int()),
              std::string(Self->Parser.get()[http::field::content_type]));
          Self->readBody();
        });
  }

  void readBody() {
    if (Cancelled)
      return;
    if (Parser.is_done()) {
      finish();
      return;
    }
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    Stream->expires_after(In.IdleTimeout);
    http::async_read_some(
        *Stream, Buffer, Parser,
        [Self = shared_from_this()](error_code Result, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Result == http::error::need_buffer)
            Result = {};
          if (Result) {
            Self->failRead(Result);
            return;
          }
          const std::size_t Length =
              Self->Chunk.size() - Self->Parser.get().body().size;
          if (Length > 0)
            Self->Listener->onBody({Self->Chunk.data(), Length});
          Self->readBody();
        });
  }

  void finish() {
    if (Parser.get().keep_alive()) {
      Stream->expires_never();
      Connections->keep(Peer, std::move(Stream));
    }
    const std::shared_ptr<HttpListener> Sink = std::move(Listener);
    Cancelled = true;
    Sink->onEnd();
  }

  void failRead(error_code Result) {
    if (Result == beast::error::timeout)
      fail(HttpFailure::TimedOut, Result.message());
    else if (Result.category() ==
                 make_error_code(http::error::bad_version).category() &&
             Result != http::error::end_of_stream &&
             Result != http::error::partial_message)
      fail(HttpFailure::Invalid, Result.message());
    else
      fail(HttpFailure::Closed, Result.message());
  }

  void fail(HttpFailure How, const std::string &Detail) {
    const std::shared_ptr<HttpListener> Sink = std::move(Listener);
    Cancelled = true;
    if (Stream)
      Stream->close();
    Sink->onFailure(How, Detail);
  }

  std::shared_ptr<HttpConnections> Connections;
  HttpRequest In;
  std::shared_ptr<HttpListener> Listener;
  Tcp::endpoint Peer;
  std::unique_ptr<beast::tcp_stream> Stream;
  http::request<http::string_body> Request;
  http::response_parser<http::buffer_body> Parser;
  beast::flat_buffer Buffer;
  std::array<char, ReadBytes> Chunk{};
  bool Cancelled = false;
};

} // namespace

std::shared_ptr<HttpExchange>
startExchange(const std::shared_ptr<HttpConnections> &Connections,
              HttpRequest Request, std::shared_ptr<HttpListener> Listener) {
  const std::shared_ptr<Exchange> Made = std::make_shared<Exchange>(
      Connections, std::move(Request), std::move(Listener));
  Made->start();
  return Made;
}

} // namespace bronzeward
