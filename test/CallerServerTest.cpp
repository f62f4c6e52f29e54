#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

/// \brief A server that answers every request with its body and counts
/// requests.
class Echo {
public:
  explicit Echo(CallerLimits Limits = limits())
      : Server(Limits, [this](CallerEvent Event) {
          if (const auto *Request = std::get_if<CallerRequest>(&Event)) {
            ++Accepted;
            Answer Reply;
            Reply.Body = Request->Body;
            Server.answer(Request->Ticket, Reply);
          }
          return true;
        }) {
    Port = Server.listen("127.0.0.1", 0).value();
  }
  ~Echo() { Server.stop(); }

  static CallerLimits limits() {
    CallerLimits Limits;
    Limits.MaxHeaderBytes = 2048;
    Limits.MaxBodyBytes = 4096;
    Limits.ReadTimeout = 300ms;
    return Limits;
  }

  /// Sends Bytes over a new connection.
  /// \returns what the server sends until it closes the connection.
  std::string exchange(const std::string &Bytes) const {
    boost::asio::io_context Io;
    Tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::system::error_code Failure;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Failure);
    std::string Reply;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Reply), Failure);
    return Reply;
  }

  std::atomic<int> Accepted = 0;
  CallerServer Server;
  std::uint16_t Port = 0;
};

bool hasStatus(const std::string &Reply, const char *Status) {
  return Reply.starts_with(std::string("HTTP/1.1 ") + Status);
}

TEST_CASE("Well-formed requests are accepted", "[CallerServer]") {
  Echo Item;
  CHECK(
      hasStatus(Item.exchange("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close"
                              "\r\nContent-Length: 2\r\n\r\nhi"),
                "200"));
  CHECK(hasStatus(
      Item.exchange("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close"
                    "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
                    "0\r\n\r\n"),
      "200"));
  CHECK(Item.Accepted == 2);
}

// Request smuggling: an upstream could read such a request differently from
// this server.
TEST_CASE("Ambiguous requests are refused and not passed on",
          "[CallerServer]") {
  const std::string Start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::string> Bad{
      Start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n",
      Start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      Start + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
      Start + "X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n",
      Start + "X-Bare: a\nY: b\r\nContent-Length: 0\r\n\r\n",
      Start + "X-Bare: a\rb\r\nContent-Length: 0\r\n\r\n",
      Start + "Host: other\r\nContent-Length: 0\r\n\r\n",
      Start + "Content-Length : 0\r\n\r\n",
      Start + "Content-Length: 2\r\n\r\nhiPOST /y HTTP/1.1\r\nHost: h\r\n\r\n",
      "POST http://h/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"};
  for (const std::string &Bytes : Bad) {
    CAPTURE(Bytes);
    Echo Item;
    CHECK(hasStatus(Item.exchange(Bytes), "400"));
    CHECK(Item.Accepted == 0);
  }
}

TEST_CASE("Long and slow requests are refused", "[CallerServer]") {
  Echo Item;
  const std::string Start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  CHECK(hasStatus(
      Item.exchange(Start + "X: " + std::string(4096, 'a') + "\r\n\r\n"),
      "431"));
  CHECK(
      hasStatus(Item.exchange(Start + "Content-Length: 9000\r\n\r\n"), "413"));
  CHECK(hasStatus(Item.exchange(Start + "X: a"), "408"));
  CHECK(Item.Accepted == 0);
}

// Guards against an exception that ends the process: the HTTP library stores
// the length of a field in 16 bits.
TEST_CASE("A header field that the parser cannot hold is refused",
          "[CallerServer]") {
  CallerLimits Limits = Echo::limits();
  Limits.MaxHeaderBytes = std::size_t{1024} * 1024;
  Limits.MaxBodyBytes = std::size_t{1024} * 1024;
  Limits.ReadTimeout = 5s;
  Echo Item(Limits);
  const std::string Start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked = Start + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
  const std::string Long(70000, 'a');
  const auto WithField = [](std::string Bytes, const std::string &Name,
                            const std::string &Value) {
    return Bytes.append(Name).append(": ").append(Value).append("\r\n\r\n");
  };
  std::string LongTarget = "POST /";
  LongTarget.append(Long).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
  for (const std::string &Bytes :
       {WithField(Start, "X", Long), WithField(Start, Long, "x"),
        WithField(Chunked, "X", Long), LongTarget})
    CHECK(hasStatus(Item.exchange(Bytes), "431"));
  CHECK(Item.Accepted == 0);
  // Trailers do not count towards the length of the head.
  Echo WithShortHeads;
  CHECK(
      hasStatus(WithShortHeads.exchange(WithField(Chunked, "X", Long)), "431"));
}

TEST_CASE("A request that finds no memory is refused as not run",
          "[CallerServer]") {
  CallerLimits Limits = Echo::limits();
  Limits.MaxBodyBytes = std::size_t{1024} * 1024;
  Limits.MaxHeldBytes = 32768;
  Limits.ReadTimeout = 5s;
  Echo Item(Limits);
  const std::string Start = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string Refused = Item.exchange(
      Start + "Content-Length: 100000\r\n\r\n" + std::string(16384, 'a'));
  CHECK(hasStatus(Refused, "503"));
  CHECK(Refused.find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(Refused.find("Bronzeward-Outcome: not-run") != std::string::npos);
  CHECK(Item.Accepted == 0);
  CHECK(Item.Server.memoryRefusals() == 1);
  CHECK(hasStatus(Item.exchange(Start + "Connection: close\r\n"
                                        "Content-Length: 2\r\n\r\nhi"),
                  "200"));
}

// Guards against requests that are lost at a planned stop: a caller sends on an
// open connection when the server begins to drain.
TEST_CASE("A request that arrives as the server drains is answered",
          "[CallerServer]") {
  boost::asio::io_context Io;
  std::unique_ptr<CallerServer> Server;
  Server = std::make_unique<CallerServer>(
      Echo::limits(),
      [&](CallerEvent Event) {
        if (const auto *Request = std::get_if<CallerRequest>(&Event))
          Server->answer(Request->Ticket, Answer());
        return true;
      },
      &Io);
  Tcp::socket Caller(Io);
  Caller.connect({boost::asio::ip::make_address("127.0.0.1"),
                  Server->listen("127.0.0.1", 0).value()});
  const auto Exchange = [&](bool Drain) {
    boost::asio::write(Caller, boost::asio::buffer(std::string(
                                   "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    if (Drain)
      Server->drain();
    std::string Reply;
    boost::asio::async_read_until(
        Caller, boost::asio::dynamic_buffer(Reply), "\r\n\r\n",
        [](boost::system::error_code, std::size_t) {});
    Io.restart();
    Io.run_for(200ms);
    return Reply;
  };
  REQUIRE(hasStatus(Exchange(false), "200"));
  const std::string Last = Exchange(true);
  CHECK(hasStatus(Last, "200"));
  CHECK(Last.find("Connection: close") != std::string::npos);
}

/// \brief Result of reading an answer slowly.
struct SlowRead {
  std::size_t Bytes = 0;
  /// Time after which the server had sent the answer or given up.
  std::optional<Duration> Ended;
};

constexpr std::size_t LongAnswer = std::size_t{16} * 1024 * 1024;

/// Reads a long answer that is sent to a caller with a small window.
/// \param BytesPerRead read at most every 20 ms.
SlowRead readSlowly(std::size_t BytesPerRead, Duration Longest) {
  CallerLimits Limits = Echo::limits();
  Limits.WriteTimeout = 300ms;
  std::unique_ptr<CallerServer> Server;
  Server = std::make_unique<CallerServer>(Limits, [&](CallerEvent Event) {
    Answer Reply;
    Reply.Body.assign(LongAnswer, 'a');
    if (const auto *Request = std::get_if<CallerRequest>(&Event))
      Server->answer(Request->Ticket, Reply);
    return true;
  });
  boost::asio::io_context Io;
  Tcp::socket Caller(Io, Tcp::v4());
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(65536));
  Caller.connect({boost::asio::ip::make_address("127.0.0.1"),
                  Server->listen("127.0.0.1", 0).value()});
  boost::asio::write(Caller, boost::asio::buffer(std::string(
                                 "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::string Part(BytesPerRead, '\0');
  SlowRead Result;
  boost::system::error_code Failure;
  const TimePoint Begin = std::chrono::steady_clock::now();
  Duration Elapsed{};
  while (!Failure && Result.Bytes < LongAnswer && Elapsed < Longest) {
    Result.Bytes += Caller.read_some(boost::asio::buffer(Part), Failure);
    std::this_thread::sleep_for(20ms);
    Elapsed = std::chrono::steady_clock::now() - Begin;
    if (!Result.Ended && Server->answering() == 0)
      Result.Ended = Elapsed;
  }
  Server->stop();
  return Result;
}

TEST_CASE("A caller that reads slowly but steadily gets the whole answer",
          "[CallerServer]") {
  CHECK(readSlowly(std::size_t{256} * 1024, 20s).Bytes >= LongAnswer);
}

TEST_CASE("A caller that reads a few bytes now and then is disconnected",
          "[CallerServer]") {
  CHECK(readSlowly(16, 3s).Ended);
}

/// \brief A server that streams to its only caller as the test says.
class StreamServer {
public:
  using Script = std::function<void(CallerServer &, CallerTicket)>;

  /// \param Steps called in the server's thread once the request is read.
  explicit StreamServer(const Script &Steps)
      : Server(Echo::limits(), [this, Steps](CallerEvent Event) {
          if (const auto *Request = std::get_if<CallerRequest>(&Event))
            Steps(Server, Request->Ticket);
          return true;
        }) {
    Port = Server.listen("127.0.0.1", 0).value();
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::asio::write(
        Socket,
        boost::asio::buffer(std::string(
            "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")));
  }
  ~StreamServer() { Server.stop(); }

  /// \returns what the server sends until it closes the connection.
  std::string readAll() {
    std::string Reply;
    boost::system::error_code Failure;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Reply), Failure);
    return Reply;
  }

  CallerServer Server;

private:
  std::uint16_t Port = 0;
  boost::asio::io_context Io;
  Tcp::socket Socket{Io};
};

/// Checks that a caller sees one head, and that its stream was cut.
void checkCut(const std::string &Reply) {
  CAPTURE(Reply.substr(0, 400));
  CHECK(hasStatus(Reply, "200"));
  CHECK(Reply.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Reply.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("A stream that is cut has no last chunk", "[CallerServer]") {
  const auto CutAfter = [](std::size_t Bytes, bool Drain) {
    StreamServer Item([=](CallerServer &Server, CallerTicket To) {
      Server.beginStream(To, Answer());
      Server.sendPart(To, std::string(Bytes, 'x'));
      if (Drain)
        Server.drain();
      Server.disconnect(To);
      // Nothing may follow, whatever is asked for.
      Server.sendPart(To, "late");
      Server.endStream(To, "");
      Server.answer(To, Answer());
    });
    return Item.readAll();
  };
  for (const bool Drain : {false, true}) {
    const std::string Short = CutAfter(10, Drain);
    if (!Short.empty())
      checkCut(Short);
    const std::string Long = CutAfter(std::size_t{4} * 1024 * 1024, Drain);
    if (!Long.empty())
      checkCut(Long);
    CHECK(Short.find("late") == std::string::npos);
    CHECK(Long.find("late") == std::string::npos);
  }
}

TEST_CASE("A stream that was begun on the wire and is cut has no last chunk",
          "[CallerServer]") {
  std::atomic<std::uint64_t> Ticket = 0;
  StreamServer Item([&](CallerServer &Server, CallerTicket To) {
    Server.beginStream(To, Answer());
    Server.sendPart(To, "id: 1\n\n");
    Ticket = To.Number;
  });
  std::this_thread::sleep_for(100ms);
  Item.Server.disconnect(CallerTicket{Ticket});
  const std::string Reply = Item.readAll();
  checkCut(Reply);
  CHECK(Reply.ends_with("7\r\nid: 1\n\n\r\n"));
}

// Guards against an error that callers find within their stream.
TEST_CASE("A whole answer is never written into a begun stream",
          "[CallerServer]") {
  StreamServer Item([](CallerServer &Server, CallerTicket To) {
    Server.beginStream(To, Answer());
    Server.sendPart(To, "id: 1\n\n");
    Answer Failure;
    Failure.Status = 502;
    Server.answer(To, Failure);
  });
  const std::string Reply = Item.readAll();
  CHECK(Reply.find("502") == std::string::npos);
  CHECK(Reply.find("\r\n0\r\n") == std::string::npos);
}

// Guards against a hole: parts that the full ring drops, with later ones that
// find room again.
TEST_CASE("A stream of which a part is lost is cut", "[CallerServer]") {
  std::atomic<std::uint64_t> Ticket = 0;
  StreamServer Item([&](CallerServer &Server, CallerTicket To) {
    Server.beginStream(To, Answer());
    // The server's thread is here, and takes nothing from its ring.
    for (int Count = 0; Count < 70000; ++Count)
      Server.sendPart(To, "x");
    Ticket = To.Number;
  });
  while (Ticket == 0 || Item.Server.refused() == 0)
    std::this_thread::sleep_for(1ms);
  std::this_thread::sleep_for(200ms);
  Item.Server.sendPart(CallerTicket{Ticket}, "tail");
  Item.Server.endStream(CallerTicket{Ticket}, "");
  const std::string Reply = Item.readAll();
  CHECK(Reply.find("tail") == std::string::npos);
  CHECK(Reply.find("\r\n0\r\n") == std::string::npos);
}

} // namespace
} // namespace bronzeward
