#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <sys/resource.h>

namespace bronzeward::fakes {

/// \brief Leaves this process no free descriptor while a connection waits to be
/// accepted by a server in it.
class NoFreeDescriptors {
public:
  explicit NoFreeDescriptors(std::uint16_t Port)
      : Caller(Io, boost::asio::ip::tcp::v4()) {
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
  boost::asio::ip::tcp::socket Caller;
  rlimit Before{};
};

} // namespace bronzeward::fakes
