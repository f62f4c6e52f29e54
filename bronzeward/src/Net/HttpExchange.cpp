#include "bronzeward/src/Net/HttpExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <map>
#include <netinet/tcp.h>
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

/// Bytes of a head, a chunk's extension or the trailers; more is no answer.
constexpr std::size_t MaxFramingBytes = 65536;
/// Answers to other requests and interim heads that are read on the way to the
/// awaited answer, and the bytes of their bodies; more is no answer.
constexpr int MaxSkipped = 16;
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;

/// Time before a peer's own idle timeout at which a connection is given up, so
/// that a request does not cross the peer's close.
constexpr Duration KeepMargin = 1s;
/// How long a connection is kept whose peer states no idle timeout; it may be
/// under a second.
constexpr Duration UnstatedKeep = 500ms;

class HttpConnections {
public:
  using Stream = std::unique_ptr<beast::tcp_stream>;

  explicit HttpConnections(asio::io_context &Context) : Io(Context) {}

  asio::io_context &context() { return Io; }

  /// \returns a kept connection that is still open, or null. Where all have
  /// been idle for too long one is closed, since a new one takes its place: a
  /// peer has no more connections than requests were under way at once.
  Stream take(const Tcp::endpoint &Peer, Duration MaxIdle) {
    const TimePoint Now = std::chrono::steady_clock::now();
    std::vector<Kept> &Idle = ByPeer[Peer];
    std::erase_if(Idle, [Now](const Kept &Item) {
      return Now >= Item.Until || !open(*Item.Connection);
    });
    if (Idle.empty())
      return nullptr;
    if (MaxIdle <= Duration() || Now - Idle.back().Since > MaxIdle) {
      Idle.erase(Idle.begin());
      return nullptr;
    }
    Stream Newest = std::move(Idle.back().Connection);
    Idle.pop_back();
    return Newest;
  }

  /// \param For how long the peer keeps it open.
  void keep(const Tcp::endpoint &Peer, Stream Connection, Duration For) {
    std::vector<Kept> &Idle = ByPeer[Peer];
    if (Idle.size() >= MaxKept || For <= Duration())
      return;
    const TimePoint Now = std::chrono::steady_clock::now();
    Idle.push_back({std::move(Connection), Now, Now + For});
  }

  /// \brief Closes what is kept to a peer. Where one connection fell silent
  /// the others may have, and each would cost a timeout of its own.
  void forget(const Tcp::endpoint &Peer) { ByPeer.erase(Peer); }

private:
  struct Kept {
    Stream Connection;
    TimePoint Since;
    TimePoint Until;
  };

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
  std::map<Tcp::endpoint, std::vector<Kept>> ByPeer;
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
    Stream = Connections->take(Peer, In.MaxIdle);
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
        Self->fail(Result == beast::error::timeout
                       ? HttpFailure::ConnectTimedOut
                       : HttpFailure::NotSent,
                   Result.message());
        return;
      }
      Self->setOptions();
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
  void setOptions() {
    error_code Ignored;
    Stream->socket().set_option(Tcp::no_delay(true), Ignored);
    if (In.UnackedTimeout.count() == 0)
      return;
    using UserTimeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    Stream->socket().set_option(
        UserTimeout(static_cast<int>(In.UnackedTimeout.count())), Ignored);
  }

  void write() {
    Request.method_string(In.Method);
    Request.target(In.Target);
    Request.version(11);
    Request.set(http::field::host, In.HostHeader.empty()
                                       ? In.Host + ":" + std::to_string(In.Port)
                                       : In.HostHeader);
    if (!In.ContentType.empty())
      Request.set(http::field::content_type, In.ContentType);
    for (const HeaderField &Item : In.Headers)
      Request.insert(Item.Name, Item.Value);
    Request.body() = std::move(In.Body);
    Request.prepare_payload();
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
    Parser.emplace();
    Parser->body_limit(boost::none);
    Stream->expires_after(In.IdleTimeout);
    http::async_read_header(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Result, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Result)
            Self->failRead(Result);
          else
            Self->takeHead();
        });
  }

  void takeHead() {
    HttpHead Head;
    Head.Status = static_cast<std::uint16_t>(Parser->get().result_int());
    for (const auto &Field : Parser->get().base())
      Head.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    const std::string *Matched = In.Match.Name.empty()
                                     ? nullptr
                                     : findHeader(Head.Headers, In.Match.Name);
    const bool Interim = Head.Status < 200;
    const bool Foreign = Matched != nullptr && *Matched != In.Match.Value;
    Skipping = Interim || Foreign;
    if (!Skipping)
      Listener->onHead(Head);
    else if (++Skipped > MaxSkipped)
      fail(HttpFailure::Invalid, "other answers without end");
    readBody();
  }

  void readBody() {
    if (Cancelled)
      return;
    if (Parser->is_done()) {
      finish();
      return;
    }
    Parser->get().body().data = Chunk.data();
    Parser->get().body().size = Chunk.size();
    Stream->expires_after(In.IdleTimeout);
    http::async_read_some(
        *Stream, Buffer, *Parser,
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
              Self->Chunk.size() - Self->Parser->get().body().size;
          if (!Self->Skipping && Length > 0)
            Self->Listener->onBody({Self->Chunk.data(), Length});
          if (Self->Skipping)
            Self->countSkipped(Length);
          Self->readBody();
        });
  }

  void countSkipped(std::size_t Length) {
    SkippedBytes += Length;
    if (SkippedBytes > MaxSkippedBytes)
      fail(HttpFailure::Invalid, "another request's answer has no end");
  }

  /// \returns for how long the peer keeps this connection open.
  [[nodiscard]] Duration keepTime() const {
    const auto Field = Parser->get().find(http::field::keep_alive);
    if (Field == Parser->get().end())
      return UnstatedKeep;
    constexpr std::string_view Name = "timeout=";
    const std::string Value(Field->value());
    const std::size_t At = Value.find(Name);
    if (At == std::string::npos)
      return UnstatedKeep;
    int Seconds = 0;
    std::from_chars(Value.data() + At + Name.size(),
                    Value.data() + Value.size(), Seconds);
    return std::chrono::seconds(Seconds) - KeepMargin;
  }

  void finish() {
    if (Skipping && Parser->get().keep_alive()) {
      readHead();
      return;
    }
    if (Skipping) {
      fail(HttpFailure::Closed, "another request's answer closed it");
      return;
    }
    // Bytes past the answer belong to no request.
    if (Parser->get().keep_alive() && Buffer.size() == 0) {
      Stream->expires_never();
      Connections->keep(Peer, std::move(Stream), keepTime());
    }
    const std::shared_ptr<HttpListener> Sink = std::move(Listener);
    Cancelled = true;
    Sink->onEnd();
  }

  void failRead(error_code Result) {
    if (Result == beast::error::timeout) {
      Connections->forget(Peer);
      fail(HttpFailure::TimedOut, Result.message());
    } else if (Result.category() ==
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
  std::optional<http::response_parser<http::buffer_body>> Parser;
  beast::flat_buffer Buffer{MaxFramingBytes};
  std::array<char, ReadBytes> Chunk{};
  /// Whether the answer being read is not the one asked for.
  bool Skipping = false;
  int Skipped = 0;
  std::size_t SkippedBytes = 0;
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
