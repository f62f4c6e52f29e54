#include "bronzeward/src/Net/AnswerValidity.h"

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

} // namespace bronzeward
