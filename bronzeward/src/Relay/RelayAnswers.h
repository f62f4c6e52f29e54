#pragma once

#include "bronzeward/src/Relay/RelayCall.h"
#include "bronzeward/src/Request/Refusal.h"

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Builds the answer to a refused call.
///
/// If the call has not run and the status is 503, the answer has a Retry-After
/// header in seconds. Its value is randomized, so that callers refused at the
/// same time do not retry at the same time.
/// \param RetryAfter minimum time after which the call may be served; zero if
/// unknown.
[[nodiscard]] Answer relayRefusal(const RequestId &CallerAttemptId,
                                  const Refusal &Refused, Duration RetryAfter,
                                  Random &Source);

/// \returns an answer with the upstream's status and headers and an empty body.
[[nodiscard]] Answer answerHead(const RelayAnswerHead &Head);

/// \returns whether the body of one answer can go on in that of another, whose
/// status and headers the caller has: the status, the media type and the
/// content coding are the same.
[[nodiscard]] bool sameRepresentation(const RelayAnswerHead &First,
                                      const RelayAnswerHead &Next);

/// @}

} // namespace bronzeward
