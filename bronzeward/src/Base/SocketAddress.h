#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Base
/// \brief An IP address and a port.
struct SocketAddress {
  std::string Host;
  std::uint16_t Port = 0;
};

/// \ingroup Base
/// \returns the address in "ip:port"; nothing where Text is none.
[[nodiscard]] std::optional<SocketAddress>
parseSocketAddress(const std::string &Text);

} // namespace bronzeward
