#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

/// \brief How a test server answers each request.
struct EchoScript {
  std::uint16_t Status = 200;
  /// Whether the answer is a stream.
  bool Stream = false;
  bool Throws = false;
};

/// \brief A server that answers with the body it got and "ok".
class EchoServer {
public:
  explicit EchoServer(EchoScript Steps = {})
      : Script(Steps), Server(limits(), [this](CallerEvent Event) {
          if (const auto *Request = std::get_if<CallerRequest>(&Event))
            reply(*Request);
          return true;
        }) {
    Port = Server.listen("127.0.0.1", 0).value();
  }
  ~EchoServer() { Server.stop(); }

  static CallerLimits limits() {
    CallerLimits Limits;
    Limits.ReadTimeout = 2s;
    return Limits;
  }

  /// \returns what the server sends until it closes the connection.
  [[nodiscard]] std::string exchange(const std::string &Bytes) const {
    boost::asio::io_context Io;
    Tcp::socket Socket(Io);
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    boost::system::error_code Failure;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Failure);
    std::string Reply;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Reply), Failure);
    return Reply;
  }

  std::uint16_t Port = 0;

private:
  void reply(const CallerRequest &Request) {
    if (Script.Throws)
      throw std::length_error("too long");
    Answer Content;
    Content.Status = Script.Status;
    Content.Body = Request.Body + "ok";
    if (!Script.Stream) {
      Server.answer(Request.Ticket, Content);
      return;
    }
    Server.beginStream(Request.Ticket, Answer{Script.Status, "", {}, ""});
    Server.sendPart(Request.Ticket, Content.Body);
    Server.endStream(Request.Ticket, "end");
  }

  EchoScript Script;
  CallerServer Server;
};

std::string statusOf(const std::string &Reply) {
  return Reply.size() < 12 ? "" : Reply.substr(9, 3);
}

/// Without keep-alive, so that the end of the answer can be seen.
std::string request(const std::string &Method, const std::string &Fields,
                    const std::string &Body = "") {
  std::string Text = Method;
  return Text.append(" /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n")
      .append(Fields)
      .append("\r\n")
      .append(Body);
}

const std::vector<std::string> Methods{
    "GET",     "HEAD",  "POST",     "PUT",    "DELETE", "OPTIONS",
    "TRACE",   "PATCH", "PROPFIND", "SEARCH", "PURGE",  "BREW",
    "CONNECT", "QUERY", "LOCK",     "LINK",   "get",    "M-SEARCH"};

const std::vector<std::string> Framings{
    "",
    "Content-Length: 0\r\n",
    "Content-Length: 2\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Expect: 100-continue\r\nContent-Length: 2\r\n",
    "Expect: odd\r\n",
    "Connection: Upgrade\r\nUpgrade: websocket\r\n"};

std::string bodyFor(const std::string &Framing) {
  if (Framing.find("Length: 2") != std::string::npos)
    return "hi";
  return Framing.find("chunked") != std::string::npos ? "2\r\nhi\r\n0\r\n\r\n"
                                                      : "";
}

TEST_CASE("Every method with every framing has one answer", "[HttpFraming]") {
  EchoServer Server;
  for (const std::string &Method : Methods)
    for (const std::string &Framing : Framings) {
      CAPTURE(Method, Framing);
      const std::string Body = bodyFor(Framing);
      const std::string Reply = Server.exchange(request(Method, Framing, Body));
      const bool Refused =
          Method == "CONNECT" || (Method == "TRACE" && !Body.empty());
      CHECK(statusOf(Reply) == (Refused ? "400" : "200"));
      CHECK(Reply.ends_with("\r\n\r\n") == (Method == "HEAD"));
    }
}

TEST_CASE("An answer without a body has none on the wire", "[HttpFraming]") {
  for (const bool Stream : {false, true})
    for (const std::uint16_t Status : {204, 304}) {
      const std::string Reply =
          EchoServer({Status, Stream, false}).exchange(request("GET", ""));
      CAPTURE(Reply);
      CHECK(statusOf(Reply) == std::to_string(Status));
      CHECK(Reply.ends_with("\r\n\r\n"));
      CHECK(Reply.find("chunked") == std::string::npos);
    }
  const std::string ToHead =
      EchoServer({200, true, false}).exchange(request("HEAD", ""));
  CHECK(statusOf(ToHead) == "200");
  CHECK(ToHead.ends_with("\r\n\r\n"));
}

TEST_CASE("A caller that waits to be asked for its body is asked",
          "[HttpFraming]") {
  EchoServer Server;
  boost::asio::io_context Io;
  Tcp::socket Caller(Io);
  Caller.connect({boost::asio::ip::make_address("127.0.0.1"), Server.Port});
  boost::asio::write(
      Caller, boost::asio::buffer(request("POST", "Expect: 100-continue\r\n"
                                                  "Content-Length: 2\r\n")));
  std::string Reply;
  boost::asio::read_until(Caller, boost::asio::dynamic_buffer(Reply),
                          "\r\n\r\n");
  CHECK(statusOf(Reply) == "100");
  boost::asio::write(Caller, boost::asio::buffer(std::string("hi")));
  boost::system::error_code Failure;
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Reply), Failure);
  CHECK(Reply.ends_with("hiok"));
}

TEST_CASE("An exception closes one connection only", "[HttpFraming]") {
  EchoServer Server({200, false, true});
  CHECK(Server.exchange(request("GET", "")).empty());
  CHECK(statusOf(Server.exchange("x\r\n\r\n")) == "400");
}

/// \brief Records how an exchange ended.
class Recorder : public HttpListener {
public:
  explicit Recorder(boost::asio::io_context &Context) : Io(Context) {}
  void onHead(const HttpHead &Head) override { Status = Head.Status; }
  void onBody(std::string_view Bytes) override { Body += Bytes; }
  void onEnd() override {
    Complete = true;
    Io.stop();
  }
  void onFailure(HttpFailure How, const std::string &) override {
    Failure = How;
    Io.stop();
  }

  std::uint16_t Status = 0;
  std::string Body;
  bool Complete = false;
  std::optional<HttpFailure> Failure;

private:
  boost::asio::io_context &Io;
};

/// Sends a request to a server that answers Text and keeps the connection open
/// until the exchange has ended.
std::shared_ptr<Recorder> exchangeWith(const std::string &Text,
                                       HttpRequest Request) {
  boost::asio::io_context ServerIo;
  Tcp::acceptor Acceptor(ServerIo,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  Tcp::socket Socket(ServerIo);
  Acceptor.async_accept(Socket, [&](boost::system::error_code Failure) {
    if (!Failure)
      boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
  });
  std::thread Worker([&] { ServerIo.run_for(5s); });
  Request.Host = "127.0.0.1";
  Request.Port = Acceptor.local_endpoint().port();
  Request.Target = "/";
  Request.IdleTimeout = 5s;
  boost::asio::io_context Io;
  std::shared_ptr<Recorder> Listener = std::make_shared<Recorder>(Io);
  startExchange(makeHttpConnectionPool(Io), Request, Listener);
  Io.run_for(10s);
  ServerIo.stop();
  Worker.join();
  return Listener;
}

TEST_CASE("Every method with a body can be sent", "[HttpFraming]") {
  for (const std::string &Method : Methods)
    for (const char *Body : {"", "hi"}) {
      CAPTURE(Method, Body);
      HttpRequest Request;
      Request.Method = Method;
      Request.Body = std::string(Body);
      const std::shared_ptr<Recorder> Listener =
          exchangeWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Request);
      CHECK(Listener->Complete);
    }
}

TEST_CASE("Answers that have no body end with their head", "[HttpFraming]") {
  const auto Check = [](const std::string &Method, const std::string &Text,
                        std::uint16_t Status) {
    CAPTURE(Method, Text);
    HttpRequest Request;
    Request.Method = Method;
    const std::shared_ptr<Recorder> Listener = exchangeWith(Text, Request);
    CHECK(Listener->Complete);
    CHECK(Listener->Status == Status);
    CHECK(Listener->Body.empty());
  };
  for (const std::string &Rest :
       {std::string("\r\n"), std::string("Content-Length: 2\r\n\r\n"),
        std::string("Content-Length: 2\r\n\r\nhi"),
        std::string(
            "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")}) {
    Check("HEAD", "HTTP/1.1 200 OK\r\n" + Rest, 200);
    Check("HEAD", "HTTP/1.1 404 Not Found\r\n" + Rest, 404);
    Check("GET", "HTTP/1.1 204 No Content\r\n" + Rest, 204);
    Check("GET", "HTTP/1.1 304 Not Modified\r\n" + Rest, 304);
  }
  Check("GET",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Content-Length: 0\r\n\r\n",
        200);
}

TEST_CASE("A field that the library cannot write fails as not sent",
          "[HttpFraming]") {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Headers = {{"X", std::string(70000, 'a')}};
  const std::shared_ptr<Recorder> Listener = exchangeWith("", Request);
  CHECK(Listener->Failure == HttpFailure::NotSent);
}

} // namespace
} // namespace bronzeward
