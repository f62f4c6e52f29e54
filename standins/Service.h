#pragma once

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace bronzeward::standins {

/// \brief What the stand-ins for upstreams share: an HTTP server whose
/// requests are taken in one thread, until a signal ends it.
class Service {
public:
  Service()
      : Server(CallerLimits{}, [this](CallerEvent In) {
          boost::asio::post(
              Io, [this, Event = std::move(In)]() mutable { take(Event); });
          return true;
        }) {}
  virtual ~Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;

  /// \param Listen address, "ip:port".
  /// \returns the exit code.
  int run(const std::string &Listen) {
    const Result<SocketAddress> Address = parseAddress("listen", Listen);
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

  /// \brief Appends each step of a request to a file: step, microseconds of
  /// the monotonic clock, run, key. A file outlives a killed process.
  void keepHistory(const std::string &File) {
    if (!File.empty())
      History.open(File, std::ios::app);
  }

protected:
  void record(const char *Step, const std::string &Run,
              const std::string &Key) {
    if (History.is_open())
      History << Step << " " << nowMicros() << " " << Run << " "
              << (Key.empty() ? "-" : Key) << std::endl;
  }

  /// \returns a name for one execution, unique over restarts.
  std::string nameRun(const CallerRequest &Request) {
    std::string Name = Request.Key.empty() ? "none" : Request.Key;
    for (const HeaderField &Field : Request.Headers)
      if (Field.Name == "X-Request-Id")
        Name = Field.Value;
    return Name + "/" + std::to_string(nowMicros()) + "." +
           std::to_string(++NamedRuns);
  }

  /// \brief Takes one request, or the news that a caller went away.
  virtual void take(CallerEvent &Event) = 0;

  void answerJson(CallerTicket To, const boost::json::object &Body) {
    Answer Made;
    Made.ContentType = "application/json";
    Made.Body = boost::json::serialize(Body) + "\n";
    Server.answer(To, Made);
  }

  boost::asio::io_context Io;
  CallerServer Server;

private:
  static std::int64_t nowMicros() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  static int complain(const Error &Failure) {
    std::cerr << describe(Failure) << "\n";
    return SettingsExitCode;
  }

  std::ofstream History;
  std::int64_t NamedRuns = 0;
};

} // namespace bronzeward::standins
