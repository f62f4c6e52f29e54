#pragma once

#include "bronzeward/src/Budget/BudgetAgent.h"
#include "bronzeward/src/Request/Messages.h"
#include "bronzeward/src/Request/Refusal.h"

namespace bronzeward {

/// \addtogroup Request
/// @{

/// \returns the whole HTTP answer for a refusal.
[[nodiscard]] Answer refusalAnswer(const RequestId &Request,
                                   const Refusal &Why);

/// \returns the last event of a stream that ends without its whole answer.
[[nodiscard]] std::string refusalEvent(const RequestId &Request,
                                       const Refusal &Why);

/// \returns the headers that account for a served request.
[[nodiscard]] std::vector<HeaderField> servedHeaders(const RequestId &Request,
                                                     const Settlement &Done);

/// \returns a comment event with the same account, for streams.
[[nodiscard]] std::string servedComment(const RequestId &Request,
                                        const Settlement &Done);

/// @}

} // namespace bronzeward
