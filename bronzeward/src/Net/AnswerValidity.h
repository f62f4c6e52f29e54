#pragma once

#include <cstdint>
#include <string>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \returns why an answer with a status cannot belong to a request that asked
/// for no upgrade; empty if it can.
[[nodiscard]] std::string statusProblem(std::uint16_t Status);

/// \returns why an answer that ended with its connection may be a part of one:
/// the server ended it before it had received the whole request, or has reset
/// the connection. Empty if the end was orderly.
/// \param Socket descriptor of the connection, read to its end.
[[nodiscard]] std::string endProblem(int Socket);

/// @}

} // namespace bronzeward
