#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \addtogroup Store
/// @{

/// \brief HTTP request that carries one store call.
struct StoreHttpCall {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// \brief Protocol of a key-value service: encodes calls as HTTP requests and
/// parses the responses.
class StoreCodec {
public:
  virtual ~StoreCodec() = default;

  /// \returns the call as an HTTP request, or nothing where the protocol has no
  /// such call.
  [[nodiscard]] virtual std::optional<StoreHttpCall>
  encode(const StoreCall &Call) const = 0;

  /// \param Call the call that the HTTP response is for.
  /// \returns the reply; its status is Unknown for a response that violates the
  /// protocol.
  [[nodiscard]] virtual StoreReply parse(const StoreCall &Call,
                                         std::uint16_t Status,
                                         std::string_view Body) const = 0;
};

/// @}

} // namespace bronzeward
