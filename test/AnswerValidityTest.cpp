#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

/// Time after which an exchange without a result counts as hung.
constexpr Duration HangTimeout = 5s;

/// \brief What an exchange told its listener.
struct ExchangeResult {
  bool Complete = false;
  std::optional<HttpFailure> Failure;
  int Heads = 0;
  std::string Body;
};

class ResultListener : public HttpListener {
public:
  explicit ResultListener(boost::asio::io_context &Context) : Io(Context) {}
  void onHead(const HttpHead &) override { ++Result.Heads; }
  void onBody(std::string_view Bytes) override { Result.Body += Bytes; }
  void onEnd() override {
    Result.Complete = true;
    Io.stop();
  }
  void onFailure(HttpFailure How, const std::string &) override {
    Result.Failure = How;
    Io.stop();
  }
  ExchangeResult Result;

private:
  boost::asio::io_context &Io;
};

/// \brief Accepts one connection, reads a request's head and runs a function.
class OneShotServer {
public:
  explicit OneShotServer(std::function<void(Tcp::socket &)> OnHead)
      : Run(std::move(OnHead)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Worker([this] {
          Tcp::socket Socket = Acceptor.accept();
          std::string Request;
          boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Request),
                                  "\r\n\r\n");
          Run(Socket);
        }) {}
  ~OneShotServer() { Worker.join(); }

  [[nodiscard]] HttpRequest request() const {
    HttpRequest Request;
    Request.Host = "127.0.0.1";
    Request.Port = Acceptor.local_endpoint().port();
    Request.Method = "POST";
    Request.Target = "/";
    return Request;
  }

private:
  std::function<void(Tcp::socket &)> Run;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Worker;
};

ExchangeResult resultOf(const HttpRequest &Request) {
  boost::asio::io_context Io;
  const std::shared_ptr<ResultListener> Listener =
      std::make_shared<ResultListener>(Io);
  const std::shared_ptr<HttpExchange> Exchange =
      startExchange(makeHttpConnectionPool(Io), Request, Listener);
  Io.run_for(HangTimeout);
  Exchange->cancel();
  return Listener->Result;
}

/// \returns the result for an answer with a status. The server then keeps the
/// connection until the client closes it.
ExchangeResult resultOfStatus(const std::string &Status) {
  const OneShotServer Server([&](Tcp::socket &Socket) {
    boost::asio::write(
        Socket, boost::asio::buffer("HTTP/1.1 " + Status +
                                    " X\r\nContent-Length: 2\r\n\r\nab"));
    char Byte = 0;
    boost::system::error_code Closed;
    Socket.receive(boost::asio::buffer(&Byte, 1), 0, Closed);
  });
  return resultOf(Server.request());
}

TEST_CASE("A status that HTTP does not define makes an answer invalid at once",
          "[AnswerValidity]") {
  for (const char *Status : {"000", "001", "099", "101", "600", "999"}) {
    CAPTURE(Status);
    const ExchangeResult Result = resultOfStatus(Status);
    CHECK(Result.Failure == HttpFailure::Invalid);
    CHECK(Result.Heads == 0);
    CHECK(Result.Body.empty());
  }
  for (const char *Status : {"200", "299", "404", "599"}) {
    CAPTURE(Status);
    CHECK(resultOfStatus(Status).Body == "ab");
  }
}

/// \brief Blocks the client's loop at the head until the server has finished,
/// so that all that the server did is pending when the body is read.
class BlockingListener : public ResultListener {
public:
  BlockingListener(boost::asio::io_context &Context, std::atomic<bool> &Done)
      : ResultListener(Context), Finished(Done) {}
  void onHead(const HttpHead &Head) override {
    ResultListener::onHead(Head);
    while (!Finished)
      std::this_thread::sleep_for(1ms);
  }

private:
  std::atomic<bool> &Finished;
};

/// \returns the result for an answer without length that the server ends, and
/// resets if Reset is set, before the client reads its body.
ExchangeResult resultOfEnd(bool Reset) {
  std::atomic<bool> Finished = false;
  const OneShotServer Server([&](Tcp::socket &Socket) {
    const std::string Text = "HTTP/1.1 200 OK\r\n\r\npart";
    boost::asio::write(Socket, boost::asio::buffer(Text));
    Socket.shutdown(Tcp::socket::shutdown_send);
    if (Reset) {
      Socket.set_option(boost::asio::socket_base::linger(true, 0));
      Socket.close();
    }
    Finished = true;
  });
  boost::asio::io_context Io;
  const std::shared_ptr<BlockingListener> Listener =
      std::make_shared<BlockingListener>(Io, Finished);
  startExchange(makeHttpConnectionPool(Io), Server.request(), Listener);
  Io.run_for(HangTimeout);
  return Listener->Result;
}

TEST_CASE("A reset after the end of an answer without length is not missed",
          "[AnswerValidity]") {
  CHECK(resultOfEnd(true).Failure == HttpFailure::Closed);
  CHECK(resultOfEnd(false).Complete);
}

TEST_CASE(
    "An answer without length does not end before its request is received",
    "[AnswerValidity]") {
  // More than the server's socket takes without a reader, and less than the
  // client's socket holds.
  constexpr std::size_t BodyBytes = std::size_t{1024} * 1024;
  const OneShotServer Server([&](Tcp::socket &Socket) {
    const std::string Text = "HTTP/1.1 200 OK\r\n\r\npart";
    boost::asio::write(Socket, boost::asio::buffer(Text));
    Socket.shutdown(Tcp::socket::shutdown_send);
    std::this_thread::sleep_for(500ms);
  });
  HttpRequest Request = Server.request();
  Request.Body = std::string(BodyBytes, 'x');
  const ExchangeResult Result = resultOf(Request);
  CHECK_FALSE(Result.Complete);
  CHECK(Result.Failure == HttpFailure::Closed);
}

/// \brief Answers the first request before it reads its body, which it never
/// does, and a second one if that comes over another connection.
class EarlyServer {
public:
  EarlyServer()
      : Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Worker([this] {
          Tcp::socket First = Acceptor.accept();
          answer(First);
          Tcp::socket Second = Acceptor.accept();
          answer(Second);
        }) {}
  ~EarlyServer() {
    // Ends the wait for a second connection.
    Tcp::socket(Io).connect(Acceptor.local_endpoint());
    Worker.join();
  }
  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

private:
  static void answer(Tcp::socket &Socket) {
    std::array<char, 1> Byte{};
    boost::system::error_code Failure;
    Socket.receive(boost::asio::buffer(Byte), 0, Failure);
    const std::string Text = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\n"
                             "Content-Length: 2\r\n\r\nab";
    boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
  }

  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Worker;
};

TEST_CASE("A request is not sent behind one that its server does not read",
          "[AnswerValidity]") {
  constexpr std::size_t BodyBytes = std::size_t{1024} * 1024;
  const EarlyServer Server;
  boost::asio::io_context Io;
  const std::shared_ptr<HttpConnectionPool> Connections =
      makeHttpConnectionPool(Io);
  for (const std::size_t Length : {BodyBytes, std::size_t{0}}) {
    HttpRequest Request;
    Request.Host = "127.0.0.1";
    Request.Port = Server.port();
    Request.Method = "POST";
    Request.Target = "/";
    Request.Body = std::string(Length, 'x');
    const std::shared_ptr<ResultListener> Listener =
        std::make_shared<ResultListener>(Io);
    startExchange(Connections, Request, Listener);
    Io.restart();
    Io.run_for(HangTimeout);
    CHECK(Listener->Result.Complete);
  }
}

} // namespace
} // namespace bronzeward
