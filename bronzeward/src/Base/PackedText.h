#pragma once

#include "bronzeward/src/Base/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Base
/// \brief A long text, compressed for sending.
struct PackedText {
  /// In the zlib format.
  std::string Bytes;
  /// Length of the text.
  std::size_t Length = 0;
};

/// \ingroup Base
/// \returns the text, compressed for little processor time.
[[nodiscard]] PackedText packText(std::string_view Text);

/// \ingroup Base
/// \returns the text, or InvalidData where the bytes are not that of a text of
/// the stated length, or the length is beyond 16 MiB.
[[nodiscard]] Result<std::string> unpackText(const PackedText &Packed);

} // namespace bronzeward
