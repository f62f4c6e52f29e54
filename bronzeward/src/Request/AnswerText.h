#pragma once

#include "bronzeward/src/Budget/BudgetAgent.h"
#include "bronzeward/src/Request/Messages.h"
#include "bronzeward/src/Request/Refusal.h"

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \returns the HTTP answer for a refusal.
[[nodiscard]] Answer refusalAnswer(const RequestId &Request,
                                   const Refusal &Cause);

/// \returns the last event of a stream whose answer is incomplete.
[[nodiscard]] std::string refusalEvent(const RequestId &Request,
                                       const Refusal &Cause);

/// \returns the headers that report how a served request was billed.
[[nodiscard]] std::vector<HeaderField> servedHeaders(const RequestId &Request,
                                                     const Settlement &Result);

/// \returns an event stream comment with the same fields as servedHeaders, for
/// streams, whose headers are sent before the bill is known.
[[nodiscard]] std::string servedComment(const RequestId &Request,
                                        const Settlement &Result);

/// @}

} // namespace bronzeward
