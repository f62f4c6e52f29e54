#pragma once

#include "bronzeward/Store"

#include <string>
#include <string_view>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief One call of etcd's v3 JSON gateway.
struct EtcdRequest {
  std::string Target;
  std::string Body;
};

/// \returns the published form of a store call.
[[nodiscard]] EtcdRequest encodeEtcd(const StoreCall &Call);

/// \param Call the call that Body answers.
/// \returns the reply, or an error where Body does not follow the protocol.
[[nodiscard]] Result<StoreReply> parseEtcd(const StoreCall &Call,
                                           std::string_view Body);

/// \returns the standard base64 text of Bytes.
[[nodiscard]] std::string encodeBase64(std::string_view Bytes);
/// \returns the bytes of a base64 text; empty where it is not valid.
[[nodiscard]] std::string decodeBase64(std::string_view Text);

/// \returns the least key above every key that begins with Prefix.
[[nodiscard]] std::string prefixEnd(std::string Prefix);

/// @}

} // namespace bronzeward
