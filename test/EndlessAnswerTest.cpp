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

/// Bytes within which the client must close the connection. A part of them
/// stays in the buffers of the client and of the kernel.
constexpr std::size_t MaxSent = std::size_t{16} * 1024 * 1024;
/// The same for a reply of the store, which may be longer.
constexpr std::size_t MaxSentByStore = 4 * MaxSent;
/// Time after which an exchange that has not failed counts as hung.
constexpr Duration HangTimeout = 20s;

/// \brief Sends a prefix once and then a part repeatedly, until the client
/// closes the connection or MaxSent bytes were sent.
class EndlessServer {
public:
  EndlessServer(std::string Prefix, std::string Repeated,
                std::size_t Limit = MaxSent)
      : MaxBytes(Limit), Beginning(std::move(Prefix)),
        Part(std::move(Repeated)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Worker([this] { serve(); }) {}
  ~EndlessServer() { Worker.join(); }

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }
  [[nodiscard]] bool closedByClient() {
    Worker.join();
    Worker = std::thread([] {});
    return Closed;
  }

private:
  void serve() {
    Tcp::socket Socket = Acceptor.accept();
    boost::system::error_code Failure;
    boost::asio::write(Socket, boost::asio::buffer(Beginning), Failure);
    std::size_t Sent = 0;
    while (!Failure && Sent < MaxBytes)
      Sent += boost::asio::write(Socket, boost::asio::buffer(Part), Failure);
    Closed = Failure.failed();
  }

  std::size_t MaxBytes;
  std::string Beginning;
  std::string Part;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::atomic<bool> Closed = false;
  std::thread Worker;
};

class FailureListener : public HttpListener {
public:
  explicit FailureListener(boost::asio::io_context &Context) : Io(Context) {}
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

/// \returns whether the exchange failed by itself and closed its connection.
bool failsAndCloses(const std::string &Prefix, const std::string &Repeated) {
  EndlessServer Server(Prefix, Repeated);
  boost::asio::io_context Io;
  const std::shared_ptr<HttpConnectionPool> Connections =
      makeHttpConnectionPool(Io);
  HttpRequest Request;
  Request.Host = "127.0.0.1";
  Request.Port = Server.port();
  Request.Method = "GET";
  Request.Target = "/";
  Request.Match = {"Id", "mine"};
  const std::shared_ptr<FailureListener> Listener =
      std::make_shared<FailureListener>(Io);
  std::shared_ptr<HttpExchange> Exchange =
      startExchange(Connections, Request, Listener);
  Io.run_for(HangTimeout);
  Exchange->cancel();
  return Server.closedByClient() && Listener->Failed;
}

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

TEST_CASE("An exchange with an endless head fails", "[EndlessAnswer]") {
  CHECK(failsAndCloses("", std::string(1000, 'x')));
  CHECK(failsAndCloses(Head, "A: b\r\n"));
  CHECK(failsAndCloses(Head + "A: ", std::string(1000, 'x')));
}

TEST_CASE("An exchange with endless interim heads fails", "[EndlessAnswer]") {
  CHECK(failsAndCloses("", "HTTP/1.1 100 Continue\r\n\r\n"));
}

TEST_CASE("An exchange with endless answers to other requests fails",
          "[EndlessAnswer]") {
  CHECK(failsAndCloses("", Head + "Id: other\r\nContent-Length: 1\r\n\r\nx"));
  CHECK(failsAndCloses(Head + "Id: other\r\n\r\n", std::string(1000, 'x')));
}

TEST_CASE("An exchange with an endless chunk extension fails",
          "[EndlessAnswer]") {
  CHECK(failsAndCloses(Chunked + "5;", std::string(1000, 'x')));
}

TEST_CASE("An exchange with endless trailers fails", "[EndlessAnswer]") {
  CHECK(failsAndCloses(Chunked + "0\r\n", "A: b\r\n"));
}

TEST_CASE("An endless load report is given up", "[EndlessAnswer]") {
  EndlessServer Server(Chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n");
  boost::asio::io_context Io;
  UpstreamClient Client(&Io, [](const UpstreamEvent &) {});
  UpstreamSpec Spec;
  Spec.Name.Value = "u";
  Spec.Host = "127.0.0.1";
  Spec.Port = Server.port();
  Client.setPolledUpstreams({Spec});
  Io.run_for(2s);
  CHECK(Server.closedByClient());
}

TEST_CASE("An endless reply of the store counts as unknown",
          "[EndlessAnswer]") {
  EndlessServer Server(Chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n",
                       MaxSentByStore);
  boost::asio::io_context Io;
  const EtcdCodec Codec;
  std::optional<StoreStatus> Status;
  HttpStore Store(
      &Io, {"127.0.0.1", Server.port(), 1s}, Codec,
      [&](StoreCallId, const StoreReply &Reply) {
        Status = Reply.Status;
        Io.stop();
      },
      [](StoreCallId, StoreProgress) {});
  Store.send({1}, ListKeys{"key/", ""});
  Io.run_for(HangTimeout);
  CHECK(Server.closedByClient());
  CHECK(Status == StoreStatus::Unknown);
}

} // namespace
} // namespace bronzeward
