#pragma once

#include "bronzeward/src/Relay/RelayCall.h"
#include "bronzeward/src/Request/Refusal.h"

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Makes the whole answer for a refusal.
///
/// Where the call has not run, the caller is told when to come back; the time
/// is spread, so that callers refused together do not return together.
[[nodiscard]] Answer relayRefusal(const RequestId &Name, const Refusal &Why,
                                  Random &Source);

/// \returns an answer with an upstream's status and headers and no body.
[[nodiscard]] Answer answerHead(const RelayAnswerHead &Head);

/// @}

} // namespace bronzeward
