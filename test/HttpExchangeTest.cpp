#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

} // namespace
} // namespace bronzeward
