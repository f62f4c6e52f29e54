#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

std::string answer(const std::string &Headers, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// \brief Accepts one connection and sends one of the given texts for each
/// request on it.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<std::string> Texts)
      : Script(std::move(Texts)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Worker([this] { serve(); }) {}
  ~ScriptedServer() { Worker.join(); }

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

private:
  void serve() {
    Tcp::socket Socket = Acceptor.accept();
    boost::system::error_code Failure;
    for (const std::string &Text : Script) {
      std::string Request;
      boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Request),
                              "\r\n\r\n", Failure);
      boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
    }
  }

  std::vector<std::string> Script;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Worker;
};

class BodyListener : public HttpListener {
public:
  explicit BodyListener(boost::asio::io_context &Context) : Io(Context) {}
  void onHead(const HttpHead &) override {}
  void onBody(std::string_view Bytes) override { Body += Bytes; }
  void onEnd() override {
    Complete = true;
    Io.stop();
  }
  void onFailure(HttpFailure, const std::string &) override { Io.stop(); }

  std::string Body;
  bool Complete = false;

private:
  boost::asio::io_context &Io;
};

/// Sends two requests over one connection.
/// \returns the body of the second answer; empty if its exchange failed.
std::optional<std::string> secondBody(const std::string &FirstText,
                                      const std::string &SecondText) {
  ScriptedServer Server({FirstText, SecondText});
  boost::asio::io_context Io;
  const std::shared_ptr<HttpConnectionPool> Connections =
      makeHttpConnectionPool(Io);
  std::shared_ptr<BodyListener> Listener;
  for (const char *Id : {"first", "second"}) {
    HttpRequest Request;
    Request.Host = "127.0.0.1";
    Request.Port = Server.port();
    Request.Method = "GET";
    Request.Target = "/";
    Request.Match = {"Id", Id};
    Listener = std::make_shared<BodyListener>(Io);
    startExchange(Connections, Request, Listener);
    Io.restart();
    Io.run_for(10s);
  }
  return Listener->Complete ? std::make_optional(Listener->Body) : std::nullopt;
}

// Guards against an answer that reaches the wrong caller: a server sends a
// second copy of an answer when the connection is already in use again.
TEST_CASE("A late second answer is not taken for that of the next request",
          "[HttpExchange]") {
  const std::string First = answer("Id: first\r\n", "one");
  const std::string Second = answer("Id: second\r\n", "two");
  CHECK(secondBody(First, Second) == "two");
  CHECK(secondBody(First, First + Second) == "two");
  CHECK_FALSE(secondBody(First, answer("", "one") + Second));
}

TEST_CASE("Answers of a server that names no requests are taken in turn",
          "[HttpExchange]") {
  CHECK(secondBody(answer("", "one"), answer("", "two")) == "two");
}

/// \brief How a server ends its connection.
enum class ConnectionEnd { Close, Reset };

/// Sends one request to a server that answers Text and ends the connection
/// after a pause. \returns the body; empty if the exchange failed.
std::optional<std::string> bodyOf(const std::string &Text, ConnectionEnd How,
                                  Duration Pause = 100ms) {
  boost::asio::io_context ServerIo;
  Tcp::acceptor Acceptor(ServerIo,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::thread Worker([&] {
    Tcp::socket Socket = Acceptor.accept();
    std::string Request;
    boost::system::error_code Failure;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Request),
                            "\r\n\r\n", Failure);
    boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
    // A reset discards what the peer has not read yet.
    std::this_thread::sleep_for(Pause);
    if (How == ConnectionEnd::Reset)
      Socket.set_option(boost::asio::socket_base::linger(true, 0));
    // The destructor would not reset the connection.
    Socket.close();
  });
  boost::asio::io_context Io;
  HttpRequest Request;
  Request.Host = "127.0.0.1";
  Request.Port = Acceptor.local_endpoint().port();
  Request.Method = "GET";
  Request.Target = "/";
  const std::shared_ptr<BodyListener> Listener =
      std::make_shared<BodyListener>(Io);
  startExchange(makeHttpConnectionPool(Io), Request, Listener);
  Io.run_for(10s);
  Worker.join();
  return Listener->Complete ? std::make_optional(Listener->Body) : std::nullopt;
}

TEST_CASE("An answer that breaks off is told apart from a complete one",
          "[HttpExchange]") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n"
                                     "7\r\nid: 1\n\n\r\n";
  const std::string Counted = Head + "Content-Length: 9\r\n\r\nid: 1\n\n";
  const std::string Endless = Head + "\r\nid: 1\n\n";
  for (const ConnectionEnd How : {ConnectionEnd::Close, ConnectionEnd::Reset}) {
    CHECK_FALSE(bodyOf(Chunked, How));
    CHECK_FALSE(bodyOf(Chunked + "0\r\n", How));
    CHECK_FALSE(bodyOf(Counted, How));
    CHECK(bodyOf(Chunked + "0\r\n\r\n", How) == "id: 1\n\n");
  }
  // Without a length only the close marks the end.
  CHECK(bodyOf(Endless, ConnectionEnd::Close) == "id: 1\n\n");
  CHECK_FALSE(bodyOf(Endless, ConnectionEnd::Reset));
}

// Guards against an answer that seems whole although its server stopped in the
// middle of the head, whose framing is then missing.
TEST_CASE("An answer whose head is cut off anywhere is not complete",
          "[HttpExchange]") {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (const std::string &Framing :
       {std::string("Content-Length: 12\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"),
        std::string("Connection: close\r\n"), std::string()})
    for (const std::string &Before : {std::string(), Interim}) {
      std::string Head = Before;
      Head.append("HTTP/1.1 200 OK\r\n")
          .append(Framing)
          .append("Signature: s\r\nId: second\r\n\r\n");
      for (std::size_t Length = 0; Length < Head.size(); ++Length) {
        const std::string Cut = Head.substr(0, Length);
        CAPTURE(Cut);
        CHECK_FALSE(bodyOf(Cut, ConnectionEnd::Close, 1ms));
        CHECK_FALSE(bodyOf(Cut, ConnectionEnd::Reset, 1ms));
      }
    }
}

TEST_CASE("A head that is cut off on a reused connection is not complete",
          "[HttpExchange]") {
  const std::string First = answer("Id: first\r\n", "one");
  const std::string Second = answer("Id: second\r\n", "two");
  const std::size_t HeadLength = Second.find("\r\n\r\n") + 4;
  for (std::size_t Length = 0; Length < HeadLength; Length += 3)
    CHECK_FALSE(secondBody(First, Second.substr(0, Length)));
}

/// \brief Records how an exchange failed.
class FailureListener : public HttpListener {
public:
  void onHead(const HttpHead &) override {}
  void onBody(std::string_view) override {}
  void onEnd() override {}
  void onFailure(HttpFailure Why, const std::string &) override { How = Why; }

  std::optional<HttpFailure> How;
};

TEST_CASE("A request is not sent if its server is withdrawn while connecting",
          "[HttpExchange]") {
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::shared_ptr<UpstreamAvailability> Availability =
      std::make_shared<UpstreamAvailability>();
  HttpRequest Request;
  Request.Host = "127.0.0.1";
  Request.Port = Acceptor.local_endpoint().port();
  Request.Method = "GET";
  Request.Target = "/";
  Request.Availability = Availability;
  const std::shared_ptr<FailureListener> Listener =
      std::make_shared<FailureListener>();
  startExchange(makeHttpConnectionPool(Io), Request, Listener);
  Availability->withdraw();
  Io.run_for(5s);
  CHECK(Listener->How == HttpFailure::Withdrawn);
  Tcp::socket Accepted = Acceptor.accept();
  std::string Received;
  boost::system::error_code End;
  boost::asio::read(Accepted, boost::asio::dynamic_buffer(Received), End);
  CHECK(Received.empty());
}

} // namespace
} // namespace bronzeward
