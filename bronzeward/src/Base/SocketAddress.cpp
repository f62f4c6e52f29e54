#include "bronzeward/src/Base/SocketAddress.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace bronzeward {

std::optional<SocketAddress> parseSocketAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  // A NUL would end the host early where it is parsed.
  if (Colon == std::string::npos || Text.find('\0') != std::string::npos)
    return std::nullopt;
  SocketAddress Parsed;
  Parsed.Host = Text.substr(0, Colon);
  boost::system::error_code Failure;
  boost::asio::ip::make_address(Parsed.Host, Failure);
  const char *Digits = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Port = std::from_chars(Digits, End, Parsed.Port);
  if (Failure || Port.ec != std::errc() || Port.ptr != End)
    return std::nullopt;
  return Parsed;
}

} // namespace bronzeward
