/// \file
/// Stand-in for a link between two instances: passes TCP on, until it is told
/// to hold everything back. A cut link accepts connections and delivers
/// nothing, as a partition does.

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
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

/// \brief One direction of one connection.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(std::shared_ptr<Tcp::socket> Source, std::shared_ptr<Tcp::socket> Sink,
       const bool &Held)
      : From(std::move(Source)), To(std::move(Sink)), Cut(Held) {}

  void read() {
    From->async_read_some(
        boost::asio::buffer(Bytes),
        [Self = shared_from_this()](error_code Failure, std::size_t Length) {
          if (Failure)
            Self->close();
          else if (!Self->Cut)
            Self->write(Length);
          // A cut link loses what it was given and falls silent.
        });
  }

private:
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
  const bool &Cut;
  std::array<char, 16384> Bytes{};
};

/// \brief One listening port and its target.
struct Link {
  Link(boost::asio::io_context &Io, const Tcp::endpoint &At,
       const Tcp::endpoint &Behind)
      : Acceptor(Io, At), Target(Behind) {}

  Tcp::acceptor Acceptor;
  Tcp::endpoint Target;
  bool Cut = false;
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
          std::make_shared<Pump>(Near, Far, Item.Cut)->read();
          std::make_shared<Pump>(Far, Near, Item.Cut)->read();
        });
  }

  /// Takes "/cut/PORT" and "/heal/PORT".
  void set(const CallerRequest &Asked) {
    const std::size_t Slash = Asked.Target.rfind('/');
    const std::string Port = Asked.Target.substr(Slash + 1);
    for (Link &Item : Links)
      if (std::to_string(Item.Acceptor.local_endpoint().port()) == Port)
        Item.Cut = Asked.Target.starts_with("/cut/");
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
