/// \file
/// Stand-in for a plain service: executes each call it gets and counts how
/// often each idempotency key was executed.

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:9101", "address, ip:port");
DEFINE_int32(work_ms, 20, "time for one call");

namespace bronzeward::standins {

namespace json = boost::json;

/// \brief The service, in one thread beside its server's thread.
class PlainService {
public:
  PlainService()
      : Server(CallerLimits{}, [this](CallerEvent In) {
          if (auto *Request = std::get_if<CallerRequest>(&In))
            boost::asio::post(
                Io, [this, Asked = std::move(*Request)] { take(Asked); });
          return true;
        }) {}

  int run() {
    const Result<SocketAddress> Address = parseAddress("listen", FLAGS_listen);
    if (!Address)
      return complain(Address.error());
    const Result<std::uint16_t> Bound =
        Server.listen(Address.value().Host, Address.value().Port);
    if (!Bound)
      return complain(Bound.error());
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([this](boost::system::error_code, int) { Io.stop(); });
    const auto Guard = boost::asio::make_work_guard(Io);
    Io.run();
    Server.stop();
    return 0;
  }

private:
  static int complain(const Error &Failure) {
    std::cerr << describe(Failure) << "\n";
    return SettingsExitCode;
  }

  void take(const CallerRequest &Request) {
    if (Request.Target == "/load") {
      answer(Request.Ticket, json::object{{"running", Running},
                                          {"queued", 0},
                                          {"leaving", false},
                                          {"age_ms", 0}});
      return;
    }
    if (Request.Target == "/executions") {
      json::object Counted;
      for (const auto &[Key, Count] : Executions)
        Counted.emplace(Key, Count);
      answer(Request.Ticket, Counted);
      return;
    }
    ++Running;
    const std::int64_t Number = ++Executed;
    ++Executions[Request.Key];
    std::shared_ptr<boost::asio::steady_timer> Timer =
        std::make_shared<boost::asio::steady_timer>(
            Io, std::chrono::milliseconds(FLAGS_work_ms));
    Timer->async_wait([this, Timer, Number,
                       Ticket = Request.Ticket](boost::system::error_code) {
      --Running;
      answer(Ticket, json::object{{"filed", Number}});
    });
  }

  void answer(CallerTicket To, const json::object &Body) {
    Answer Made;
    Made.ContentType = "application/json";
    Made.Body = json::serialize(Body) + "\n";
    Server.answer(To, Made);
  }

  boost::asio::io_context Io;
  CallerServer Server;
  std::map<std::string, std::int64_t> Executions;
  std::int64_t Running = 0;
  std::int64_t Executed = 0;
};

} // namespace bronzeward::standins

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::standins::PlainService().run();
}
