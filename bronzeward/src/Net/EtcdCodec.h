#pragma once

#include "bronzeward/Store"

#include <string>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief Encodes calls of etcd's v3 JSON gateway and parses its replies.
class EtcdCodec : public StoreCodec {
public:
  [[nodiscard]] std::optional<StoreHttpCall>
  encode(const StoreCall &Call) const override;
  [[nodiscard]] StoreReply parse(const StoreCall &Call, std::uint16_t Status,
                                 std::string_view Body) const override;
};

/// \returns the smallest key greater than all keys that begin with Prefix, as
/// the end of a range; a null byte, which means no end, if there is none.
[[nodiscard]] std::string prefixEnd(std::string Prefix);

/// @}

} // namespace bronzeward
