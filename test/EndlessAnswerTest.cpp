#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Bytes after which the caller has to have closed the connection; its own
/// buffers and the kernel's hold a part of them.
constexpr std::size_t MostSent = std::size_t{16} * 1024 * 1024;
/// Time after which an exchange that has not failed counts as hung.
constexpr Duration Hung = 20s;

/// \brief Sends a beginning and then a part again and again, until the caller
/// closes or MostSent bytes went out.
class EndlessServer {
public:
  EndlessServer(std::string First, std::string Repeated)
      : Begin(std::move(First)), Part(std::move(Repeated)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Worker([this] { serve(); }) {}
  ~EndlessServer() { Worker.join(); }

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  [[nodiscard]] bool closedByCaller() {
    Worker.join();
    Worker = std::thread([] {});
    return Closed;
  }

private:
  void serve() {
    Tcp::socket Socket = Acceptor.accept();
    boost::system::error_code Failure;
    boost::asio::write(Socket, boost::asio::buffer(Begin), Failure);
    std::size_t Sent = 0;
    while (!Failure && Sent < MostSent)
      Sent += boost::asio::write(Socket, boost::asio::buffer(Part), Failure);
    Closed = Failure.failed();
  }

  std::string Begin;
  std::string Part;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::atomic<bool> Closed = false;
  std::thread Worker;
};

class Outcome : public HttpListener {
public:
  explicit Outcome(boost::asio::io_context &Context) : Io(Context) {}
  void onHead(const HttpHead &) override {}
  void onBody(std::string_view) override {}
  void onEnd() override { Io.stop(); }
  void onFailure(HttpFailure, const std::string &) override {
    Failed = true;
    Io.stop();
  }
  bool Failed = false;

private:
  boost::asio::io_context &Io;
};

/// \returns whether the exchange failed by itself, and closed its connection.
bool givesUp(const std::string &First, const std::string &Repeated) {
  EndlessServer Server(First, Repeated);
  boost::asio::io_context Io;
  const std::shared_ptr<HttpConnectionPool> Connections =
      makeHttpConnectionPool(Io);
  HttpRequest Request;
  Request.Host = "127.0.0.1";
  Request.Port = Server.port();
  Request.Method = "GET";
  Request.Target = "/";
  Request.Match = {"Id", "mine"};
  const std::shared_ptr<Outcome> Seen = std::make_shared<Outcome>(Io);
  std::shared_ptr<HttpExchange> Exchange =
      startExchange(Connections, Request, Seen);
  Io.run_for(Hung);
  Exchange->cancel();
  return Server.closedByCaller() && Seen->Failed;
}

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("A head without end is given up", "[EndlessAnswer]") {
  CHECK(givesUp("", std::string(1000, 'x')));
  CHECK(givesUp(Head, "A: b\r\n"));
  CHECK(givesUp(Head + "A: ", std::string(1000, 'x')));
}

TEST_CASE("Interim heads without end are given up", "[EndlessAnswer]") {
  CHECK(givesUp("", "HTTP/1.1 100 Continue\r\n\r\n"));
}

TEST_CASE("Answers to others without end are given up", "[EndlessAnswer]") {
  CHECK(givesUp("", Head + "Id: other\r\nContent-Length: 1\r\n\r\nx"));
  CHECK(givesUp(Head + "Id: other\r\n\r\n", std::string(1000, 'x')));
}

TEST_CASE("A chunk's extension without end is given up", "[EndlessAnswer]") {
  CHECK(givesUp(Chunked + "5;", std::string(1000, 'x')));
}

TEST_CASE("Trailers without end are given up", "[EndlessAnswer]") {
  CHECK(givesUp(Chunked + "0\r\n", "A: b\r\n"));
}

} // namespace
} // namespace bronzeward
