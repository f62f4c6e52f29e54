#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// \brief Forwards connections to a port at the rate that one connection gets
/// on a congested link.
class SlowLink {
public:
  explicit SlowLink(std::uint16_t Target)
      : To(boost::asio::ip::make_address("127.0.0.1"), Target),
        Acceptor(Io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    Worker = std::thread([this] { Io.run(); });
  }
  ~SlowLink() {
    Io.stop();
    Worker.join();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  /// Time for each kilobyte.
  static constexpr Duration Period = 50ms;
  struct Pump : std::enable_shared_from_this<Pump> {
    Pump(boost::asio::io_context &Context, std::shared_ptr<Tcp::socket> Source,
         std::shared_ptr<Tcp::socket> Sink, Duration Time)
        : In(std::move(Source)), Out(std::move(Sink)), Pause(Time),
          Timer(Context) {}
    void run() {
      In->async_read_some(
          boost::asio::buffer(Bytes),
          [Self = shared_from_this()](error_code Failure, std::size_t Length) {
            error_code Ignored;
            if (!Failure)
              boost::asio::write(*Self->Out,
                                 boost::asio::buffer(Self->Bytes, Length),
                                 Failure);
            if (Failure) {
              Self->In->close(Ignored);
              Self->Out->close(Ignored);
              return;
            }
            Self->Timer.expires_after(Self->Pause);
            Self->Timer.async_wait([Self](error_code) { Self->run(); });
          });
    }
    std::shared_ptr<Tcp::socket> In;
    std::shared_ptr<Tcp::socket> Out;
    Duration Pause;
    boost::asio::steady_timer Timer;
    std::array<char, 1024> Bytes{};
  };

  void accept() {
    Acceptor.async_accept([this](error_code Failure, Tcp::socket Socket) {
      if (Failure)
        return;
      const auto Near = std::make_shared<Tcp::socket>(std::move(Socket));
      // A small buffer, so that waiting bytes stay at their sender.
      Near->set_option(boost::asio::socket_base::receive_buffer_size(4096));
      const auto Far = std::make_shared<Tcp::socket>(Io);
      Far->connect(To);
      std::make_shared<Pump>(Io, Near, Far, Period)->run();
      std::make_shared<Pump>(Io, Far, Near, Duration())->run();
      accept();
    });
  }

  Tcp::endpoint To;
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Worker;
};

/// \returns bytes that do not compress.
std::string noise(std::size_t Length) {
  Random Source(1);
  std::string Text;
  while (Text.size() < Length)
    Text += static_cast<char>(Source.below(256));
  return Text;
}

/// \returns a free port, since the transport does not report the port it binds.
std::uint16_t freePort() {
  boost::asio::io_context Io;
  const Tcp::acceptor Free(Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Free.local_endpoint().port();
}

// Guards against short messages that wait behind a long one or time out with
// it: a long configuration is sent to an instance whose link is congested by
// callers, while digests and load notices are sent every second.
TEST_CASE(
    "A long message over a slow link arrives and does not delay short ones",
    "[PeerTransport]") {
  std::atomic<int> Texts = 0;
  std::atomic<int> Digests = 0;
  std::atomic<int> Lost = 0;
  PeerTransport Receiver(
      InstanceId{"b"},
      [&](const InstanceId &, const PeerMessage &Message) {
        Texts += std::holds_alternative<ConfigurationText>(Message) ? 1 : 0;
        Digests += std::holds_alternative<PeerDigest>(Message) ? 1 : 0;
      },
      [](const InstanceId &) {});
  const std::uint16_t Port = freePort();
  REQUIRE(Receiver.listen("127.0.0.1", Port));
  SlowLink Link(Port);
  PeerTransport Sender(
      InstanceId{"a"}, [](const InstanceId &, const PeerMessage &) {},
      [&](const InstanceId &) { ++Lost; });
  REQUIRE(Sender.listen("127.0.0.1", 0));
  Member Peer;
  Peer.Identity.Instance = InstanceId{"b"};
  Peer.PeerAddress = Link.address();
  Sender.setMembers({Peer});
  // Takes two seconds on the link.
  const std::string Bytes = noise(std::size_t{40} * 1024);
  Sender.send(Peer.Identity.Instance,
              ConfigurationText{{7}, {Bytes, Bytes.size()}});
  for (int Round = 0; Round < 25; ++Round) {
    std::this_thread::sleep_for(100ms);
    Sender.send(Peer.Identity.Instance, PeerDigest());
  }
  std::this_thread::sleep_for(500ms);
  CHECK(Texts == 1);
  CHECK(Digests >= 20);
  CHECK(Lost == 0);
  Sender.stop();
  Receiver.stop();
}

// Guards against lost first operations after a common start: the core knows a
// new list of members a moment before the transport gets the addresses.
TEST_CASE("A message sent just before its peer's address is known arrives",
          "[PeerTransport]") {
  std::atomic<int> Digests = 0;
  PeerTransport Receiver(
      InstanceId{"b"},
      [&](const InstanceId &, const PeerMessage &) { ++Digests; },
      [](const InstanceId &) {});
  const std::uint16_t Port = freePort();
  REQUIRE(Receiver.listen("127.0.0.1", Port));
  PeerTransport Sender(
      InstanceId{"a"}, [](const InstanceId &, const PeerMessage &) {},
      [](const InstanceId &) {});
  REQUIRE(Sender.listen("127.0.0.1", 0));
  Member Peer;
  Peer.Identity.Instance = InstanceId{"b"};
  Peer.PeerAddress = "127.0.0.1:" + std::to_string(Port);
  Sender.send(Peer.Identity.Instance, PeerDigest());
  Sender.setMembers({Peer});
  for (int Wait = 0; Wait < 100 && Digests == 0; ++Wait)
    std::this_thread::sleep_for(50ms);
  CHECK(Digests == 1);
  Sender.stop();
  Receiver.stop();
}

// Failure: what was learned about crashes reached instances without processor
// time many seconds late, behind load notices that no longer held.
TEST_CASE("Load notices do not delay other messages to a slow peer",
          "[PeerTransport]") {
  std::atomic<int> Loads = 0;
  std::atomic<std::uint32_t> LastLoad = 0;
  std::atomic<bool> Arrived = false;
  PeerTransport Receiver(
      InstanceId{"b"},
      [&](const InstanceId &, const PeerMessage &Message) {
        std::this_thread::sleep_for(20ms);
        if (const auto *Load = std::get_if<LoadNotice>(&Message)) {
          ++Loads;
          LastLoad = Load->Upstreams.front().Calls;
        }
        Arrived = Arrived || std::holds_alternative<PartNews>(Message);
      },
      [](const InstanceId &) {});
  const std::uint16_t Port = freePort();
  REQUIRE(Receiver.listen("127.0.0.1", Port));
  PeerTransport Sender(
      InstanceId{"a"}, [](const InstanceId &, const PeerMessage &) {},
      [](const InstanceId &) {});
  REQUIRE(Sender.listen("127.0.0.1", 0));
  Sender.setMembers({Member{Incarnation{InstanceId{"b"}, 1}, FailureDomain{"d"},
                            "127.0.0.1:" + std::to_string(Port)}});
  constexpr std::uint32_t Sent = 300;
  for (std::uint32_t Calls = 1; Calls <= Sent; ++Calls) {
    Sender.send(InstanceId{"b"}, LoadNotice{{{UpstreamName{"u"}, Calls, 0}}});
    std::this_thread::sleep_for(1ms);
  }
  Sender.send(InstanceId{"b"}, PartNews());
  std::this_thread::sleep_for(500ms);
  CHECK(Arrived);
  CHECK(LastLoad == Sent);
  CHECK(Loads < 60);
  Sender.stop();
  Receiver.stop();
}

} // namespace
} // namespace bronzeward
