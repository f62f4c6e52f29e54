#pragma once

#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Net
/// \returns Bytes in standard base64, with padding.
[[nodiscard]] std::string encodeBase64(std::string_view Bytes);
/// \ingroup Net
/// \returns the bytes of a base64 text, or an empty string if it is invalid.
[[nodiscard]] std::string decodeBase64(std::string_view Text);

} // namespace bronzeward
