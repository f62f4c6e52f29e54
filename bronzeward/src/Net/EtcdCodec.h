#pragma once

#include "bronzeward/Store"

#include <string>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief etcd's v3 JSON gateway.
class EtcdCodec : public StoreCodec {
public:
  [[nodiscard]] std::optional<StoreHttpCall>
  encode(const StoreCall &Call) const override;
  [[nodiscard]] StoreReply parse(const StoreCall &Call, std::uint16_t Status,
                                 std::string_view Body) const override;
};

/// \returns the least key above every key that begins with Prefix.
[[nodiscard]] std::string prefixEnd(std::string Prefix);

/// @}

} // namespace bronzeward
