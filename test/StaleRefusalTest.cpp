#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// Texts that a server sends on one connection, one for each request.
using Script = std::vector<std::string>;

/// \brief Serves each connection by the script of its number; requests beyond
/// its end get no answer.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<Script> PerConnection)
      : Scripts(std::move(PerConnection)),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    Worker = std::thread([this] { Io.run(); });
  }
  ~ScriptedServer() {
    Io.stop();
    Worker.join();
  }

  [[nodiscard]] std::uint16_t port() const {
    return Acceptor.local_endpoint().port();
  }

private:
  struct Connection {
    Tcp::socket Socket;
    Script Texts;
    std::size_t Answered = 0;
    std::string Input;
  };

  void accept() {
    Acceptor.async_accept([this](error_code Failure, Tcp::socket Socket) {
      if (Failure || Accepted == Scripts.size())
        return;
      serve(std::make_shared<Connection>(
          Connection{std::move(Socket), Scripts[Accepted++], 0, {}}));
      accept();
    });
  }

  void serve(const std::shared_ptr<Connection> &Peer) {
    boost::asio::async_read_until(
        Peer->Socket, boost::asio::dynamic_buffer(Peer->Input), "\r\n\r\n",
        [this, Peer](error_code Failure, std::size_t Length) {
          if (Failure || Peer->Answered == Peer->Texts.size())
            return;
          Peer->Input.erase(0, Length);
          error_code Ignored;
          boost::asio::write(Peer->Socket,
                             boost::asio::buffer(Peer->Texts[Peer->Answered++]),
                             Ignored);
          serve(Peer);
        });
  }

  std::vector<Script> Scripts;
  std::size_t Accepted = 0;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Worker;
};

/// Time after which an exchange without an end counts as failed.
constexpr Duration AnswerTimeout = 2s;

/// Sends one call after the other.
/// \returns the status of the last answer; zero if it failed.
std::uint16_t lastStatus(std::vector<Script> Scripts,
                         const std::vector<std::string> &Ids,
                         bool MatchRequired) {
  ScriptedServer Server(std::move(Scripts));
  boost::asio::io_context Io;
  std::uint16_t HeadStatus = 0;
  std::uint16_t Status = 0;
  std::uint64_t LastAttempt = 0;
  UpstreamClient Client(&Io, [&](const UpstreamEvent &Event) {
    if (const auto *Begun = std::get_if<UpstreamHead>(&Event))
      HeadStatus = Begun->Head.Status;
    if (std::holds_alternative<UpstreamEnded>(Event))
      Status = HeadStatus;
    if (std::holds_alternative<UpstreamEnded>(Event) ||
        std::holds_alternative<UpstreamFailed>(Event))
      Io.stop();
  });
  for (const std::string &Id : Ids) {
    UpstreamCall Call;
    Call.Attempt = AttemptId{++LastAttempt};
    Call.Host = "127.0.0.1";
    Call.Port = Server.port();
    Call.Method = "GET";
    Call.Target = "/";
    Call.Match = {"Id", Id};
    Call.MatchRequired = MatchRequired;
    Call.Headers = {Call.Match};
    Status = 0;
    Client.dispatch(Call);
    Io.restart();
    Io.run_for(AnswerTimeout);
  }
  return Status;
}

std::string answer(const std::string &StatusLine, const std::string &Headers) {
  return "HTTP/1.1 " + StatusLine + "\r\nKeep-Alive: timeout=30\r\n" + Headers +
         "Content-Length: 2\r\n\r\nxy";
}

std::string refusal(const std::string &Headers) {
  return answer("503 Busy", Headers);
}

const std::string FirstRefusal = refusal("Id: first\r\n");
const std::string SecondAnswer = answer("200 OK", "Id: second\r\n");

// Guards against a call that runs although its caller is told that it has not:
// the first answer on a connection named no request.
TEST_CASE("A copy of a refusal without an id is not taken for the next answer",
          "[StaleRefusal]") {
  const std::string NoId = refusal("");
  const std::vector<Script> Scripts{{NoId, NoId + SecondAnswer},
                                    {SecondAnswer}};
  CHECK(lastStatus(Scripts, {"first", "second"}, true) == 200);
}

TEST_CASE("A server that names no requests gets one connection for each",
          "[StaleRefusal]") {
  const std::string NoId = answer("200 OK", "");
  CHECK(lastStatus({{NoId}, {NoId}}, {"first", "second"}, true) == 200);
  // Without the requirement, answers are taken in turn.
  CHECK(lastStatus({{NoId, NoId}}, {"first", "second"}, false) == 200);
}

// Guards against a copy with the right id: a rejected request is sent again to
// an address that now belongs to another server.
TEST_CASE("A copy of a refusal does not answer the same request sent again",
          "[StaleRefusal]") {
  const std::string Answer = answer("200 OK", "Id: first\r\n");
  const std::vector<Script> Scripts{
      {FirstRefusal, SecondAnswer, FirstRefusal + Answer}, {Answer}};
  CHECK(lastStatus(Scripts, {"first", "second", "first"}, true) == 200);
  CHECK(lastStatus({{FirstRefusal, FirstRefusal + Answer}, {Answer}},
                   {"first", "first"}, true) == 200);
}

TEST_CASE("An answer that names two requests is invalid", "[StaleRefusal]") {
  for (const char *Ids :
       {"Id: second\r\nId: first\r\n", "Id: first\r\nId: second\r\n"})
    CHECK(lastStatus({{FirstRefusal, refusal(Ids) + SecondAnswer}},
                     {"first", "second"}, true) == 0);
  CHECK(lastStatus({{FirstRefusal, refusal("Id: second\r\nId: second\r\n")}},
                   {"first", "second"}, true) == 503);
}

TEST_CASE("A copy of a refusal with its id is skipped", "[StaleRefusal]") {
  const std::string Interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  CHECK(lastStatus({{FirstRefusal, FirstRefusal + SecondAnswer}},
                   {"first", "second"}, true) == 200);
  CHECK(lastStatus({{FirstRefusal, Interim + FirstRefusal + SecondAnswer}},
                   {"first", "second"}, true) == 200);
  CHECK(lastStatus({{FirstRefusal, refusal("ID:  second \r\n")}},
                   {"first", "second"}, true) == 503);
}

// The real answer may be lost, but no refusal is reported.
TEST_CASE("A copy of a refusal that cannot be skipped fails the exchange",
          "[StaleRefusal]") {
  const std::string Start = "HTTP/1.1 503 Busy\r\nId: first\r\n";
  for (const std::string &Copy :
       {refusal(""), refusal("Id: SECOND\r\n"),
        refusal("Id: second, first\r\n"),
        refusal("Id: first\r\nConnection: close\r\n"), Start + "\r\nxy",
        Start + "Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n",
        Start + "Content-Length: 1\r\n\r\nxy",
        Start + "Content-Length: 1000\r\n\r\nxy"}) {
    const std::uint16_t Status =
        lastStatus({{FirstRefusal, Copy + refusal("Id: first\r\n")}},
                   {"first", "second"}, true);
    CHECK(Status == 0);
  }
}

// Guards against a load report that reaches a caller.
TEST_CASE("A copy of a load report does not answer a call", "[StaleRefusal]") {
  const std::string Report = answer("404 Not Found", "");
  const std::string Answer = answer("200 OK", "");
  ScriptedServer Server({{Report, Report + Answer}, {Answer}});
  boost::asio::io_context Io;
  std::uint16_t Status = 0;
  UpstreamClient Client(&Io, [&](const UpstreamEvent &Event) {
    if (const auto *Begun = std::get_if<UpstreamHead>(&Event))
      Status = Begun->Head.Status;
    Io.stop();
  });
  UpstreamSpec Polled;
  Polled.Host = "127.0.0.1";
  Polled.Port = Server.port();
  Client.setPolledUpstreams({Polled});
  Io.run_for(100ms);
  UpstreamCall Call;
  Call.Host = Polled.Host;
  Call.Port = Polled.Port;
  Call.Method = "GET";
  Call.Target = "/";
  Call.Match = {"Id", "first"};
  Client.dispatch(Call);
  Io.run_for(AnswerTimeout);
  CHECK(Status == 200);
}

} // namespace
} // namespace bronzeward
