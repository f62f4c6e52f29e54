/// \file
/// Stand-in for the platform's key-value service: a subset of etcd's v3 JSON
/// gateway, with switches for outages and counted calls. One port for each
/// instance lets a test cut a single instance off.

#include "bronzeward/Net"
#include "daemons/Settings.h"
#include "standins/KeyValueState.h"

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/url.hpp>

#include <iostream>

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_string(ports, "2379", "ports of the store, separated by commas");
DEFINE_int32(control_port, 2378, "port of the switches");

namespace bronzeward::standins {

/// Longest value that the service takes.
constexpr std::size_t MaxValueBytes = std::size_t{4} * 1024 * 1024;

/// \brief Faults switched on for one port.
struct Faults {
  bool Outage = false;
  std::chrono::milliseconds Delay{0};
  /// Replies still to be lost after their call took effect.
  int LostReplies = 0;
};

/// \brief One waiting watch.
struct Watcher {
  CallerTicket Ticket;
  CallerServer *Server = nullptr;
  /// The range as a body of a range call.
  std::string Range;
  /// Last revision told of each key.
  std::map<std::string, std::string> Seen;
};

/// \brief The service, in one thread beside its servers' threads.
class Service {
public:
  void run() {
    CallerLimits Limits;
    Limits.MaxBodyBytes = MaxValueBytes;
    std::stringstream Listed(FLAGS_ports);
    std::string Port;
    while (std::getline(Listed, Port, ','))
      serve(static_cast<std::uint16_t>(std::stoi(Port)), Limits);
    Control = std::make_unique<CallerServer>(Limits, [this](CallerEvent In) {
      if (auto *Request = std::get_if<CallerRequest>(&In))
        boost::asio::post(Io, [this, Asked = std::move(*Request)] {
          Control->answer(Asked.Ticket, control(Asked));
        });
      return true;
    });
    require(Control->listen(FLAGS_host,
                            static_cast<std::uint16_t>(FLAGS_control_port)));
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([this](boost::system::error_code, int) { Io.stop(); });
    const auto Guard = boost::asio::make_work_guard(Io);
    Io.run();
  }

private:
  static void require(const Result<std::uint16_t> &Bound) {
    if (Bound)
      return;
    std::cerr << describe(Bound.error()) << "\n";
    std::exit(SettingsExitCode);
  }

  void serve(std::uint16_t Port, const CallerLimits &Limits) {
    Servers[Port] =
        std::make_unique<CallerServer>(Limits, [this, Port](CallerEvent In) {
          if (auto *Request = std::get_if<CallerRequest>(&In))
            boost::asio::post(Io, [this, Port, Asked = std::move(*Request)] {
              delay(Port, Asked);
            });
          else if (const auto *Gone = std::get_if<CallerGone>(&In))
            boost::asio::post(Io, [this, Port, Ticket = Gone->Ticket] {
              const CallerServer *Closed = Servers.at(Port).get();
              std::erase_if(Watchers, [Ticket, Closed](const Watcher &Item) {
                return Item.Ticket == Ticket && Item.Server == Closed;
              });
            });
          return true;
        });
    require(Servers[Port]->listen(FLAGS_host, Port));
  }

  void delay(std::uint16_t Port, const CallerRequest &Asked) {
    const Faults &Now = Switches[Port];
    if (Now.Delay.count() == 0) {
      answer(Port, Asked);
      return;
    }
    std::shared_ptr<boost::asio::steady_timer> Timer =
        std::make_shared<boost::asio::steady_timer>(Io, Now.Delay);
    Timer->async_wait([this, Port, Asked, Timer](boost::system::error_code) {
      answer(Port, Asked);
    });
  }

  void answer(std::uint16_t Port, const CallerRequest &Asked) {
    Faults &Now = Switches[Port];
    CallerServer &Server = *Servers[Port];
    if (Now.Outage) {
      Server.disconnect(Asked.Ticket);
      return;
    }
    ++Calls[Asked.Target];
    if (Asked.Target == "/v3/watch") {
      watch(Server, Asked);
      return;
    }
    const std::optional<boost::json::object> Reply =
        State.call(Asked.Target, Asked.Body, std::chrono::steady_clock::now());
    const bool Changes = Asked.Target == "/v3/kv/txn";
    if (Changes && Now.LostReplies > 0) {
      --Now.LostReplies;
      Server.disconnect(Asked.Ticket);
      return;
    }
    Answer Made;
    Made.Status = Reply ? 200 : 400;
    Made.ContentType = "application/json";
    if (Reply)
      Made.Body = boost::json::serialize(*Reply);
    Server.answer(Asked.Ticket, Made);
    if (Changes)
      tellWatchers();
  }

  /// Begins a stream of the changes to a key or a range of keys.
  void watch(CallerServer &Server, const CallerRequest &Asked) {
    boost::system::error_code Failure;
    const boost::json::value Parsed = boost::json::parse(Asked.Body, Failure);
    const boost::json::value *Wanted =
        Failure || !Parsed.is_object()
            ? nullptr
            : Parsed.as_object().if_contains("create_request");
    if (Wanted == nullptr || !Wanted->is_object()) {
      Answer Made;
      Made.Status = 400;
      Server.answer(Asked.Ticket, Made);
      return;
    }
    Answer Head;
    Head.ContentType = "application/json";
    Server.beginStream(Asked.Ticket, Head);
    Server.sendPart(Asked.Ticket, "{\"result\":{\"created\":true}}\n");
    Watchers.push_back(
        {Asked.Ticket, &Server, boost::json::serialize(*Wanted), {}});
    // What stands already is not a change.
    changesFor(Watchers.back());
  }

  /// \returns entries of the watched range that changed since the last call.
  boost::json::array changesFor(Watcher &Item) {
    boost::json::array Events;
    const std::optional<boost::json::object> Found = State.call(
        "/v3/kv/range", Item.Range, std::chrono::steady_clock::now());
    if (!Found || !Found->contains("kvs"))
      return Events;
    for (const boost::json::value &Entry : Found->at("kvs").as_array()) {
      const std::string Key = Entry.at("key").as_string().c_str();
      const std::string Revision = Entry.at("mod_revision").as_string().c_str();
      if (Item.Seen[Key] == Revision)
        continue;
      Item.Seen[Key] = Revision;
      Events.push_back(boost::json::object{{"kv", Entry}});
    }
    return Events;
  }

  void tellWatchers() {
    for (Watcher &Item : Watchers) {
      boost::json::array Events = changesFor(Item);
      if (!Events.empty())
        Item.Server->sendPart(
            Item.Ticket,
            boost::json::serialize(boost::json::object{
                {"result", boost::json::object{{"events", Events}}}}) +
                "\n");
    }
  }

  /// Sets switches as in "/faults?port=2379&outage=1&delay_ms=5&lose=1"; a
  /// switch without a port holds for all.
  Answer control(const CallerRequest &Asked) {
    Answer Made;
    Made.ContentType = "application/json";
    boost::urls::result<boost::urls::url_view> Url =
        boost::urls::parse_origin_form(Asked.Target);
    if (!Url) {
      Made.Status = 400;
      return Made;
    }
    if (Url->path() == "/faults")
      for (const auto &[Port, Server] : Servers)
        set(Port, Url->params());
    boost::json::object Counted;
    for (const auto &[Target, Count] : Calls)
      Counted.emplace(Target, Count);
    Made.Body = boost::json::serialize(Counted) + "\n";
    return Made;
  }

  void set(std::uint16_t Port, const boost::urls::params_view &Params) {
    const auto Only = Params.find("port");
    if (Only != Params.end() && (*Only).value != std::to_string(Port))
      return;
    Faults &Now = Switches[Port];
    for (const auto &Param : Params) {
      if (Param.key == "outage")
        Now.Outage = Param.value == "1";
      else if (Param.key == "delay_ms")
        Now.Delay = std::chrono::milliseconds(std::stoi(Param.value));
      else if (Param.key == "lose")
        Now.LostReplies = std::stoi(Param.value);
    }
  }

  boost::asio::io_context Io;
  KeyValueState State;
  std::map<std::uint16_t, Faults> Switches;
  std::map<std::string, std::uint64_t> Calls;
  std::vector<Watcher> Watchers;
  std::map<std::uint16_t, std::unique_ptr<CallerServer>> Servers;
  std::unique_ptr<CallerServer> Control;
};

} // namespace bronzeward::standins

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  bronzeward::standins::Service().run();
  return 0;
}
