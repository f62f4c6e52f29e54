/// \file
/// Stand-in for a link between two processes: passes TCP on, until it is told
/// to delay it, to reset it or to hold it back, in one direction or in both. A
/// cut link accepts connections and delivers nothing, as a partition does.

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <iostream>
#include <list>

DEFINE_string(links, "",
              "links as listen-port=target-port, separated by commas");
DEFINE_string(host, "127.0.0.1", "IP address of both ends");
DEFINE_int32(control_port, 2377, "port of the switches");

namespace bronzeward::standins {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// \brief Faults of one direction of a link.
struct Direction {
  bool Cut = false;
  std::chrono::milliseconds Delay{0};
};

/// \brief One direction of one connection.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(std::shared_ptr<Tcp::socket> Source, std::shared_ptr<Tcp::socket> Sink,
       const Direction &Now)
      : From(std::move(Source)), To(std::move(Sink)), Faults(Now),
        Pause(From->get_executor()) {}

  void read() {
    From->async_read_some(
        boost::asio::buffer(Bytes),
        [Self = shared_from_this()](error_code Failure, std::size_t Length) {
          if (Failure)
            Self->close();
          else if (!Self->Faults.Cut)
            Self->hold(Length);
          // A cut link loses what it was given and falls silent.
        });
  }

private:
  void hold(std::size_t Length) {
    if (Faults.Delay.count() == 0) {
      write(Length);
      return;
    }
    Pause.expires_after(Faults.Delay);
    Pause.async_wait([Self = shared_from_this(), Length](error_code) {
      Self->write(Length);
    });
  }

  void write(std::size_t Length) {
    boost::asio::async_write(
        *To, boost::asio::buffer(Bytes, Length),
        [Self = shared_from_this()](error_code Failure, std::size_t) {
          if (Failure)
            Self->close();
          else
            Self->read();
        });
  }

  void close() {
    error_code Ignored;
    From->close(Ignored);
    To->close(Ignored);
  }

  std::shared_ptr<Tcp::socket> From;
  std::shared_ptr<Tcp::socket> To;
  const Direction &Faults;
  boost::asio::steady_timer Pause;
  std::array<char, 16384> Bytes{};
};

/// \brief One listening port and its target.
struct Link {
  Link(boost::asio::io_context &Io, const Tcp::endpoint &At,
       const Tcp::endpoint &Behind)
      : Acceptor(Io, At), Target(Behind) {}

  Tcp::acceptor Acceptor;
  Tcp::endpoint Target;
  Direction Forth;
  Direction Back;
  std::list<std::weak_ptr<Tcp::socket>> Open;
};

/// \brief All links, and the port that cuts and heals them.
class Relay {
public:
  Relay()
      : Control(CallerLimits{}, [this](CallerEvent In) {
          if (auto *Request = std::get_if<CallerRequest>(&In))
            boost::asio::post(
                Io, [this, Asked = std::move(*Request)] { set(Asked); });
          return true;
        }) {}

  int run() {
    const boost::asio::ip::address Host =
        boost::asio::ip::make_address(FLAGS_host);
    std::stringstream Listed(FLAGS_links);
    std::string Pair;
    while (std::getline(Listed, Pair, ',')) {
      const std::size_t Middle = Pair.find('=');
      const auto Port = [](const std::string &Text) {
        return static_cast<std::uint16_t>(std::stoi(Text));
      };
      Links.emplace_back(Io, Tcp::endpoint(Host, Port(Pair.substr(0, Middle))),
                         Tcp::endpoint(Host, Port(Pair.substr(Middle + 1))));
      accept(Links.back());
    }
    const Result<std::uint16_t> Bound = Control.listen(
        FLAGS_host, static_cast<std::uint16_t>(FLAGS_control_port));
    if (!Bound) {
      std::cerr << describe(Bound.error()) << "\n";
      return SettingsExitCode;
    }
    boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([this](error_code, int) { Io.stop(); });
    Io.run();
    return 0;
  }

private:
  void accept(Link &Item) {
    Item.Acceptor.async_accept(
        [this, &Item](error_code Failure, Tcp::socket Socket) {
          if (!Failure)
            join(Item, std::make_shared<Tcp::socket>(std::move(Socket)));
          accept(Item);
        });
  }

  void join(Link &Item, std::shared_ptr<Tcp::socket> Near) {
    const std::shared_ptr<Tcp::socket> Far = std::make_shared<Tcp::socket>(Io);
    Far->async_connect(
        Item.Target, [Near = std::move(Near), Far, &Item](error_code Failure) {
          if (Failure)
            return;
          Item.Open.remove_if([](const std::weak_ptr<Tcp::socket> &Socket) {
            return Socket.expired();
          });
          Item.Open.insert(Item.Open.end(), {Near, Far});
          std::make_shared<Pump>(Near, Far, Item.Forth)->read();
          std::make_shared<Pump>(Far, Near, Item.Back)->read();
        });
  }

  static void reset(Link &Item) {
    for (const std::weak_ptr<Tcp::socket> &Open : Item.Open) {
      const std::shared_ptr<Tcp::socket> Socket = Open.lock();
      if (!Socket)
        continue;
      error_code Ignored;
      Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
    Item.Open.clear();
  }

  static void apply(Link &Item, const std::string &Switch) {
    constexpr std::string_view Delay = "delay-";
    if (Switch == "cut" || Switch == "cut-forth")
      Item.Forth.Cut = true;
    if (Switch == "cut" || Switch == "cut-back")
      Item.Back.Cut = true;
    if (Switch == "reset")
      reset(Item);
    if (Switch.starts_with(Delay))
      Item.Forth.Delay = Item.Back.Delay =
          std::chrono::milliseconds(std::stoi(Switch.substr(Delay.size())));
    if (Switch == "heal") {
      Item.Forth = {};
      Item.Back = {};
    }
  }

  /// Takes "/SWITCH/PORT" with the switches cut, cut-forth, cut-back, reset,
  /// delay-MILLISECONDS and heal.
  void set(const CallerRequest &Asked) {
    const std::size_t Slash = Asked.Target.rfind('/');
    const std::string Port = Asked.Target.substr(Slash + 1);
    for (Link &Item : Links)
      if (std::to_string(Item.Acceptor.local_endpoint().port()) == Port)
        apply(Item, Asked.Target.substr(1, Slash - 1));
    Answer Made;
    Made.Body = "done\n";
    Control.answer(Asked.Ticket, Made);
  }

  boost::asio::io_context Io;
  std::list<Link> Links;
  CallerServer Control;
};

} // namespace bronzeward::standins

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::standins::Relay().run();
}
