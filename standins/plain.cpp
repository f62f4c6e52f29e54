/// \file
/// Stand-in for a plain service: executes each call it gets and counts how
/// often each idempotency key was executed.

#include "standins/Service.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:9101", "address, ip:port");
DEFINE_int32(work_ms, 20, "time for one call");
DEFINE_string(history, "", "file for the steps of each call; none if empty");

namespace bronzeward::standins {

namespace json = boost::json;

/// \brief The service, in one thread beside its server's thread.
class PlainService : public Service {
public:
  PlainService() { keepHistory(FLAGS_history); }

private:
  void take(CallerEvent &Event) override {
    if (const auto *Request = std::get_if<CallerRequest>(&Event))
      execute(*Request);
  }

  void execute(const CallerRequest &Request) {
    if (Request.Target == "/load") {
      answerJson(Request.Ticket, json::object{{"running", Running},
                                              {"queued", 0},
                                              {"leaving", false},
                                              {"age_ms", 0}});
      return;
    }
    if (Request.Target == "/executions") {
      json::object Counted;
      for (const auto &[Key, Count] : Executions)
        Counted.emplace(Key, Count);
      answerJson(Request.Ticket, Counted);
      return;
    }
    ++Running;
    const std::int64_t Number = ++Executed;
    ++Executions[Request.Key];
    const std::string Run = nameRun(Request);
    record("arrived", Run, Request.Key);
    record("began", Run, Request.Key);
    std::shared_ptr<boost::asio::steady_timer> Timer =
        std::make_shared<boost::asio::steady_timer>(
            Io, std::chrono::milliseconds(FLAGS_work_ms));
    Timer->async_wait([this, Timer, Number, Run, Key = Request.Key,
                       Ticket = Request.Ticket](boost::system::error_code) {
      --Running;
      record("ended", Run, Key);
      answerJson(Ticket, json::object{{"filed", Number}});
    });
  }

  std::map<std::string, std::int64_t> Executions;
  std::int64_t Running = 0;
  std::int64_t Executed = 0;
};

} // namespace bronzeward::standins

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::standins::PlainService().run(FLAGS_listen);
}
