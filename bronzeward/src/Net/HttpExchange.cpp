#include "bronzeward/src/Net/HttpExchange.h"

#include "bronzeward/src/Net/AnswerValidity.h"
#include "bronzeward/src/Net/LoopGuard.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <linux/sockios.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>

namespace bronzeward {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

/// Maximum number of idle connections kept for one address.
constexpr std::size_t MaxIdlePerPeer = 64;
/// Size of one read of a body.
constexpr std::size_t ReadBufferBytes = 16384;

/// Maximum size of a head, a chunk extension or the trailers. Longer ones make
/// the answer invalid.
constexpr std::size_t MaxFramingBytes = 65536;
/// Maximum number of interim heads and of answers to other requests that are
/// skipped before the awaited answer, and of the bytes of their bodies. More
/// make the exchange fail.
constexpr int MaxSkipped = 16;
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;

/// Time before a peer's idle timeout from which on a connection is no longer
/// reused, so that a request does not race with the peer's close.
constexpr Duration IdleTimeoutMargin = 1s;
/// How long an idle connection is kept if its peer announces no idle timeout,
/// which may be less than a second.
constexpr Duration DefaultKeepTime = 500ms;

/// Number of requests on a connection that are not sent on it again, since a
/// late copy of an earlier answer would match them.
constexpr std::size_t MaxRecentMatches = 32;

/// \brief What is known about the answers on a connection.
struct MatchHistory {
  /// \returns whether a late copy of an earlier answer would be told from the
  /// answer to a request.
  [[nodiscard]] bool distinguishes(const HttpRequest &Request) const {
    const bool SentBefore =
        std::find(RecentMatches.begin(), RecentMatches.end(),
                  hash64(Request.Match.Value)) != RecentMatches.end();
    return !SentBefore && (!Request.MatchRequired || RepeatsMatch);
  }
  /// \brief Records the header that matches the answer that was just read.
  void onAnswered(const HeaderField &Match) {
    if (Match.Name.empty())
      return;
    if (RecentMatches.size() == MaxRecentMatches)
      RecentMatches.pop_front();
    RecentMatches.push_back(hash64(Match.Value));
  }

  /// Whether an answer repeated the header that matches it with its request.
  bool RepeatsMatch = false;
  /// Hashes of the header's values in the last requests, the latest at the end.
  std::deque<std::uint64_t> RecentMatches;
};

/// \brief An open connection between two exchanges.
struct PooledConnection {
  std::unique_ptr<beast::tcp_stream> Stream;
  MatchHistory History;
};

class HttpConnectionPool {
public:
  explicit HttpConnectionPool(asio::io_context &Context) : Io(Context) {}

  asio::io_context &context() { return Io; }

  /// \returns the idle connection that was used last of those that suit the
  /// request, or none. If only others are open, closes the oldest, which the
  /// caller replaces by a new connection: a peer has no more connections than
  /// requests were in progress at once.
  PooledConnection acquire(const Tcp::endpoint &Peer,
                           const HttpRequest &Request) {
    const TimePoint Now = std::chrono::steady_clock::now();
    std::vector<IdleConnection> &Idle = Kept[{Peer, Request.Match.Name}];
    std::erase_if(Idle, [Now](const IdleConnection &Item) {
      return Now >= Item.Expiry || !isReusable(*Item.Connection.Stream);
    });
    if (Idle.empty())
      return {};
    const auto Newest = std::find_if(
        Idle.rbegin(), Idle.rend(), [&Request](const IdleConnection &Item) {
          return Item.Connection.History.distinguishes(Request);
        });
    if (Request.MaxIdle <= Duration() || Newest == Idle.rend() ||
        Now - Newest->IdleSince > Request.MaxIdle) {
      Idle.erase(Idle.begin());
      return {};
    }
    PooledConnection Reused = std::move(Newest->Connection);
    Idle.erase(std::next(Newest).base());
    return Reused;
  }

  /// \brief Keeps a connection for reuse by requests like this one.
  /// \param Lifetime how long the peer keeps the idle connection open.
  void keep(const Tcp::endpoint &Peer, const HttpRequest &Request,
            PooledConnection Connection, Duration Lifetime) {
    std::vector<IdleConnection> &Idle = Kept[{Peer, Request.Match.Name}];
    if (Idle.size() >= MaxIdlePerPeer || Lifetime <= Duration())
      return;
    const TimePoint Now = std::chrono::steady_clock::now();
    Idle.push_back({std::move(Connection), Now, Now + Lifetime});
  }

  /// \brief Closes all idle connections to a peer. If one connection stopped
  /// responding, others may have too, and each would cost a timeout.
  void closeIdle(const Tcp::endpoint &Peer) {
    std::erase_if(
        Kept, [&Peer](const auto &Item) { return Item.first.first == Peer; });
  }

private:
  struct IdleConnection {
    PooledConnection Connection;
    TimePoint IdleSince;
    TimePoint Expiry;
  };

  /// \returns whether an idle connection can be reused. It must have nothing to
  /// read: neither an end of file nor unexpected bytes.
  static bool isReusable(beast::tcp_stream &Stream) {
    error_code Failure;
    char Byte = 0;
    Stream.socket().non_blocking(true, Failure);
    Stream.socket().receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek,
                            Failure);
    return Failure == asio::error::would_block;
  }

  asio::io_context &Io;
  /// By the peer and the name of the header that matches answers, so that a
  /// late copy of an answer to a request without one reaches no request that
  /// has one.
  std::map<std::pair<Tcp::endpoint, std::string>, std::vector<IdleConnection>>
      Kept;
};

std::shared_ptr<HttpConnectionPool>
makeHttpConnectionPool(asio::io_context &Io) {
  return std::make_shared<HttpConnectionPool>(Io);
}

namespace {

class Exchange : public HttpExchange,
                 public std::enable_shared_from_this<Exchange> {
public:
  Exchange(std::shared_ptr<HttpConnectionPool> Pool, HttpRequest Details,
           std::shared_ptr<HttpListener> Sink)
      : Connections(std::move(Pool)), Request(std::move(Details)),
        Listener(std::move(Sink)) {}

  void start() {
    guarded([this] { connect(); });
  }

  void connect() {
    error_code ParseFailure;
    Peer = Tcp::endpoint(asio::ip::make_address(Request.Host, ParseFailure),
                         Request.Port);
    if (ParseFailure) {
      fail(HttpFailure::NotSent, ParseFailure.message());
      return;
    }
    if (const std::optional<HttpFailure> Why = revoked()) {
      fail(*Why, "the request is no longer to be sent");
      return;
    }
    // A late answer to another request would be read as if it had no body.
    if (isHead())
      Request.MaxIdle = Duration();
    PooledConnection Reused = Connections->acquire(Peer, Request);
    Stream = std::move(Reused.Stream);
    History = std::move(Reused.History);
    if (Stream) {
      write();
      return;
    }
    Stream = std::make_unique<beast::tcp_stream>(Connections->context());
    Stream->expires_after(Request.ConnectTimeout);
    Stream->async_connect(Peer,
                          [Self = shared_from_this()](error_code Failure) {
                            Self->guarded([&] { Self->onConnected(Failure); });
                          });
  }

  void onConnected(error_code Failure) {
    if (Cancelled)
      return;
    if (Failure) {
      fail(Failure == beast::error::timeout ? HttpFailure::ConnectTimedOut
                                            : HttpFailure::NotSent,
           Failure.message());
      return;
    }
    if (const std::optional<HttpFailure> Why = revoked()) {
      fail(*Why, "the request is no longer to be sent");
      return;
    }
    setOptions();
    write();
  }

  void cancel() override {
    Cancelled = true;
    Listener.reset();
    if (!Stream)
      return;
    // An orderly close would still deliver the bytes in the socket's buffer.
    error_code Ignored;
    Stream->socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    Stream->close();
  }

  [[nodiscard]] bool ended() const override { return Cancelled; }

  [[nodiscard]] std::size_t unacknowledgedBytes() const override {
    int Count = 0;
    const bool Open = Stream && Stream->socket().is_open();
    if (!Open ||
        ::ioctl(Stream->socket().native_handle(), SIOCOUTQ, &Count) != 0)
      return 0;
    return static_cast<std::size_t>(Count);
  }

private:
  /// Runs one step. An exception, such as that of the HTTP library for a
  /// message that it cannot write, ends only this exchange.
  template <class Step> void guarded(Step Run) {
    try {
      Run();
    } catch (const std::exception &Failure) {
      reportException(Failure);
      if (!Cancelled)
        fail(Sent ? HttpFailure::Invalid : HttpFailure::NotSent,
             Failure.what());
    }
  }

  /// \returns why the request is not to be sent any more; nothing if it is.
  [[nodiscard]] std::optional<HttpFailure> revoked() const {
    if (Request.Presence && Request.Presence->hasLeft())
      return HttpFailure::CallerLeft;
    if (Request.Availability && Request.Availability->withdrawn())
      return HttpFailure::Withdrawn;
    return std::nullopt;
  }

  void setOptions() {
    error_code Ignored;
    Stream->socket().set_option(Tcp::no_delay(true), Ignored);
    if (Request.UnackedTimeout.count() == 0)
      return;
    using UserTimeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    Stream->socket().set_option(
        UserTimeout(static_cast<int>(Request.UnackedTimeout.count())), Ignored);
  }

  void write() {
    Message.method_string(Request.Method);
    Message.target(Request.Target);
    Message.version(11);
    Message.set(http::field::host,
                Request.HostHeader.empty()
                    ? Request.Host + ":" + std::to_string(Request.Port)
                    : Request.HostHeader);
    if (!Request.ContentType.empty())
      Message.set(http::field::content_type, Request.ContentType);
    for (const HeaderField &Item : Request.Headers)
      Message.insert(Item.Name, Item.Value);
    Message.body() = {Request.Body.text().data(), Request.Body.text().size()};
    setLength();
    Stream->expires_after(Request.IdleTimeout);
    Sent = true;
    http::async_write(
        *Stream, Message,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Failure)
            Self->fail(HttpFailure::Closed,
                       Failure.message() + " before the request was sent");
          else
            Self->guarded([&] { Self->readHead(); });
        });
  }

  /// States the length of the body; without one, only for methods whose
  /// requests usually have a body (RFC 9110, 8.6).
  void setLength() {
    const http::verb Method = Message.method();
    if (!Message.body().empty() || Method == http::verb::post ||
        Method == http::verb::put || Method == http::verb::options)
      Message.content_length(Message.body().size());
  }

  [[nodiscard]] bool isHead() const { return Request.Method == "HEAD"; }

  void readHead() {
    Parser.emplace();
    Parser->body_limit(boost::none);
    Parser->skip(isHead());
    Stream->expires_after(Request.IdleTimeout);
    http::async_read_header(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Self->Cancelled)
            return;
          if (Failure)
            Self->failRead(Failure);
          else
            Self->guarded([&] { Self->processHead(); });
        });
  }

  void processHead() {
    HttpHead Head;
    Head.Status = static_cast<std::uint16_t>(Parser->get().result_int());
    for (const auto &Field : Parser->get().base())
      Head.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    std::string Problem = statusProblem(Head.Status);
    if (Problem.empty())
      Problem = matchProblem(Head);
    if (!Problem.empty()) {
      fail(HttpFailure::Invalid, Problem);
      return;
    }
    const std::string *MatchValue =
        Request.Match.Name.empty()
            ? nullptr
            : findHeader(Head.Headers, Request.Match.Name);
    const bool Interim = Head.Status < 200;
    History.RepeatsMatch = History.RepeatsMatch || MatchValue != nullptr;
    const bool OtherRequest =
        MatchValue != nullptr && *MatchValue != Request.Match.Value;
    Skipping = Interim || OtherRequest;
    if (!Skipping)
      Listener->onHead(Head);
    else if (++SkippedHeads > MaxSkipped)
      fail(HttpFailure::Invalid,
           "too many interim answers or answers to other requests");
    readBody();
  }

  /// \returns why it is unclear which request an answer belongs to; empty if
  /// it is clear.
  [[nodiscard]] std::string matchProblem(const HttpHead &Head) const {
    const std::string &Name = Request.Match.Name;
    if (Name.empty())
      return "";
    const std::string *Value = findHeader(Head.Headers, Name);
    // Without the header, it may be another copy of an earlier answer.
    if (Value == nullptr)
      return History.RepeatsMatch && Head.Status >= 200
                 ? "answer without " + Name +
                       " on a connection whose earlier answers had it"
                 : "";
    const bool Ambiguous =
        std::any_of(Head.Headers.begin(), Head.Headers.end(),
                    [&](const HeaderField &Field) {
                      return boost::algorithm::iequals(Field.Name, Name) &&
                             Field.Value != *Value;
                    });
    return Ambiguous ? "answer with several values of " + Name : "";
  }

  void readBody() {
    if (Cancelled)
      return;
    if (Parser->is_done()) {
      finish();
      return;
    }
    if (Request.Gate && !Request.Gate->open()) {
      Stream->expires_never();
      Request.Gate->whenOpen([Self = shared_from_this()] {
        Self->guarded([&] { Self->readBody(); });
      });
      return;
    }
    Parser->get().body().data = Chunk.data();
    Parser->get().body().size = Chunk.size();
    Stream->expires_after(Request.IdleTimeout);
    http::async_read_some(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          Self->guarded([&] { Self->onBodyRead(Failure); });
        });
  }

  void onBodyRead(error_code Failure) {
    if (Cancelled)
      return;
    if (Failure && Failure != http::error::need_buffer) {
      failRead(Failure);
      return;
    }
    const std::size_t Length = Chunk.size() - Parser->get().body().size;
    if (Skipping)
      countSkipped(Length);
    else if (Length > Request.MaxBodyBytes - BodyBytes)
      fail(HttpFailure::Invalid, "body longer than " +
                                     std::to_string(Request.MaxBodyBytes) +
                                     " bytes");
    else if (Length > 0) {
      BodyBytes += Length;
      Listener->onBody({Chunk.data(), Length});
    }
    readBody();
  }

  void countSkipped(std::size_t Length) {
    SkippedBytes += Length;
    if (SkippedBytes > MaxSkippedBytes)
      fail(HttpFailure::Invalid, "skipped answers are too long");
  }

  /// \returns how long this connection may be reused after the answer.
  [[nodiscard]] Duration reuseTime() const {
    const auto Field = Parser->get().find(http::field::keep_alive);
    if (Field == Parser->get().end())
      return DefaultKeepTime;
    constexpr std::string_view Name = "timeout=";
    const std::string Value(Field->value());
    const std::size_t At = Value.find(Name);
    if (At == std::string::npos)
      return DefaultKeepTime;
    int Seconds = 0;
    std::from_chars(Value.data() + At + Name.size(),
                    Value.data() + Value.size(), Seconds);
    return std::chrono::seconds(Seconds) - IdleTimeoutMargin;
  }

  void finish() {
    if (Skipping && Parser->get().keep_alive()) {
      readHead();
      return;
    }
    if (Skipping) {
      fail(HttpFailure::Closed,
           "answer to another request closed the connection");
      return;
    }
    if (Parser->need_eof()) {
      const std::string Problem = endProblem(Stream->socket().native_handle());
      if (!Problem.empty()) {
        fail(HttpFailure::Closed, Problem);
        return;
      }
    }
    // Bytes after the answer belong to no request. A late copy of an answer to
    // HEAD would be read as if it had a body. The rest of a request that the
    // server has not received would delay the next one.
    if (Parser->get().keep_alive() && !isHead() && Buffer.size() == 0 &&
        unacknowledgedBytes() == 0 && History.distinguishes(Request)) {
      Stream->expires_never();
      History.onAnswered(Request.Match);
      Connections->keep(Peer, Request, {std::move(Stream), std::move(History)},
                        reuseTime());
    }
    const std::shared_ptr<HttpListener> Sink = std::move(Listener);
    Cancelled = true;
    Sink->onEnd();
  }

  void failRead(error_code Failure) {
    const std::string Detail =
        Failure.message() +
        (Parser && Parser->is_header_done() ? " in a body" : " in a head");
    if (Failure == beast::error::timeout) {
      Connections->closeIdle(Peer);
      fail(HttpFailure::TimedOut, Detail);
    } else if (Failure.category() ==
                   make_error_code(http::error::bad_version).category() &&
               Failure != http::error::end_of_stream &&
               Failure != http::error::partial_message)
      fail(HttpFailure::Invalid, Detail);
    else
      fail(HttpFailure::Closed, Detail);
  }

  void fail(HttpFailure How, const std::string &Detail) {
    const std::shared_ptr<HttpListener> Sink = std::move(Listener);
    Cancelled = true;
    if (Stream)
      Stream->close();
    if (Sink)
      Sink->onFailure(How, Detail);
  }

  std::shared_ptr<HttpConnectionPool> Connections;
  HttpRequest Request;
  std::shared_ptr<HttpListener> Listener;
  Tcp::endpoint Peer;
  std::unique_ptr<beast::tcp_stream> Stream;
  http::request<http::span_body<const char>> Message;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  beast::flat_buffer Buffer{MaxFramingBytes};
  std::array<char, ReadBufferBytes> Chunk{};
  /// Whether the answer being read is an interim one or belongs to another
  /// request.
  bool Skipping = false;
  /// Of this connection.
  MatchHistory History;
  int SkippedHeads = 0;
  std::size_t SkippedBytes = 0;
  /// Of the answer to this request.
  std::size_t BodyBytes = 0;
  bool Cancelled = false;
  /// Whether bytes of the request may have been sent.
  bool Sent = false;
};

} // namespace

std::shared_ptr<HttpExchange>
startExchange(const std::shared_ptr<HttpConnectionPool> &Connections,
              HttpRequest Request, std::shared_ptr<HttpListener> Listener) {
  const std::shared_ptr<Exchange> Started = std::make_shared<Exchange>(
      Connections, std::move(Request), std::move(Listener));
  Started->start();
  return Started;
}

} // namespace bronzeward
