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
/// \param ComeBack least time after which the call may be served; zero where
/// none is known.
[[nodiscard]] Answer relayRefusal(const RequestId &Name, const Refusal &Why,
                                  Duration ComeBack, Random &Source);

/// \returns an answer with an upstream's status and headers and no body.
[[nodiscard]] Answer answerHead(const RelayAnswerHead &Head);

/// @}

} // namespace bronzeward
