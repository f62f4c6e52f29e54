#pragma once

#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Net
/// \returns the standard base64 text of Bytes.
[[nodiscard]] std::string encodeBase64(std::string_view Bytes);
/// \ingroup Net
/// \returns the bytes of a base64 text; empty where it is not valid.
[[nodiscard]] std::string decodeBase64(std::string_view Text);

} // namespace bronzeward
