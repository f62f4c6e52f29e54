#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \addtogroup Store
/// @{

/// \brief One store call as HTTP.
struct StoreHttpCall {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// \brief Published form of a key-value service: its calls and replies.
class StoreCodec {
public:
  virtual ~StoreCodec() = default;

  /// \returns the call as an HTTP request, or nothing where the form has no
  /// such call.
  [[nodiscard]] virtual std::optional<StoreHttpCall>
  encode(const StoreCall &Call) const = 0;

  /// \param Call the call that the answer is for.
  /// \returns the reply; an answer that breaks the protocol is Unknown.
  [[nodiscard]] virtual StoreReply parse(const StoreCall &Call,
                                         std::uint16_t Status,
                                         std::string_view Body) const = 0;
};

/// @}

} // namespace bronzeward
