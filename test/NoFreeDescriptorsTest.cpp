#include "bronzeward/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <ctime>
#include <memory>
#include <sys/resource.h>
#include <thread>

namespace bronzeward {
namespace {

using Tcp = boost::asio::ip::tcp;

/// \brief Leaves this process no free descriptor while a connection waits to be
/// accepted by a server in it.
class NoFreeDescriptors {
public:
  explicit NoFreeDescriptors(std::uint16_t Port) : Caller(Io, Tcp::v4()) {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &Before) == 0);
    rlimit Reduced = Before;
    Reduced.rlim_cur = static_cast<rlim_t>(Caller.native_handle()) + 1;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &Reduced) == 0);
    Caller.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  }
  ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &Before); }
  NoFreeDescriptors(const NoFreeDescriptors &) = delete;
  NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

private:
  boost::asio::io_context Io;
  Tcp::socket Caller;
  rlimit Before{};
};

// Guards against an instance that is busy with nothing: the connection that
// cannot be accepted stays in the queue.
TEST_CASE("A server without free descriptors does not use up its processor",
          "[NoFreeDescriptors]") {
  std::unique_ptr<CallerServer> Server;
  Server =
      std::make_unique<CallerServer>(CallerLimits(), [&](CallerEvent Event) {
        if (const auto *Request = std::get_if<CallerRequest>(&Event))
          Server->answer(Request->Ticket, Answer());
        return true;
      });
  const std::uint16_t Port = Server->listen("127.0.0.1", 0).value();
  {
    const NoFreeDescriptors Exhausted(Port);
    const std::clock_t Begin = std::clock();
    std::this_thread::sleep_for(400ms);
    CHECK(std::clock() - Begin < CLOCKS_PER_SEC / 10);
  }
  boost::asio::io_context Io;
  Tcp::socket Caller(Io);
  Caller.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::asio::write(
      Caller, boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n"
                                              "Connection: close\r\n\r\n")));
  std::string Reply;
  boost::system::error_code Failure;
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Reply), Failure);
  CHECK(Reply.starts_with("HTTP/1.1 200"));
  Server->stop();
}

// Guards against an instance that peers no longer reach after its process had
// no free descriptor for a moment.
TEST_CASE("Peers are accepted again once there are free descriptors",
          "[NoFreeDescriptors]") {
  std::atomic<int> Digests = 0;
  PeerTransport Receiver(
      InstanceId{"b"},
      [&](const InstanceId &, const PeerMessage &) { ++Digests; },
      [](const InstanceId &) {});
  PeerTransport Sender(
      InstanceId{"a"}, [](const InstanceId &, const PeerMessage &) {},
      [](const InstanceId &) {});
  // The transport does not report the port it binds.
  std::uint16_t Port = 0;
  {
    boost::asio::io_context Io;
    Tcp::acceptor Free(Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    Port = Free.local_endpoint().port();
  }
  REQUIRE(Receiver.listen("127.0.0.1", Port));
  REQUIRE(Sender.listen("127.0.0.1", 0));
  {
    const NoFreeDescriptors Exhausted(Port);
    std::this_thread::sleep_for(200ms);
  }
  Member Peer;
  Peer.Identity.Instance = InstanceId{"b"};
  Peer.PeerAddress = "127.0.0.1:" + std::to_string(Port);
  Sender.setMembers({Peer});
  for (int Round = 0; Round < 20 && Digests == 0; ++Round) {
    Sender.send(Peer.Identity.Instance, PeerDigest());
    std::this_thread::sleep_for(100ms);
  }
  CHECK(Digests > 0);
  Sender.stop();
  Receiver.stop();
}

} // namespace
} // namespace bronzeward
