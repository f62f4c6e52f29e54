#include "bronzeward/src/Net/AnswerValidity.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace bronzeward {

/// Bounds of the statuses that HTTP defines (RFC 9110, 15).
constexpr std::uint16_t MinStatus = 100;
constexpr std::uint16_t MaxStatus = 599;
constexpr std::uint16_t SwitchingProtocolsStatus = 101;

std::string statusProblem(std::uint16_t Status) {
  if (Status < MinStatus || Status > MaxStatus)
    return "status " + std::to_string(Status) + " is out of range";
  if (Status == SwitchingProtocolsStatus)
    return "upgrade that was not requested";
  return "";
}

std::string endProblem(int Socket) {
  // The end of the stream acknowledges all that the server received before it.
  int Unacknowledged = 0;
  if (::ioctl(Socket, SIOCOUTQ, &Unacknowledged) == 0 && Unacknowledged > 0)
    return "answer without length ended before its request was received";
  // A read reports the end of the stream even if a reset came after it, and
  // the error of a reset is reported only once, by any call.
  tcp_info Info{};
  socklen_t Length = sizeof(Info);
  if (::getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Length) == 0 &&
      Info.tcpi_state == TCP_CLOSE)
    return "connection was reset after an answer without length";
  return "";
}

} // namespace bronzeward
