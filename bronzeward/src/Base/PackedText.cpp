#include "bronzeward/src/Base/PackedText.h"

#include <zlib.h>

namespace bronzeward {

/// Longest text that is unpacked: sixteen of the store's longest values.
constexpr std::size_t MaxLength = std::size_t{16} * 1024 * 1024;

PackedText packText(std::string_view Text) {
  PackedText Packed;
  Packed.Length = Text.size();
  uLongf Size = compressBound(Text.size());
  Packed.Bytes.resize(Size);
  // With compressBound's room and a valid level it fails for want of memory
  // only; the empty bytes are refused by the receiver.
  const int Outcome = compress2(
      reinterpret_cast<Bytef *>(Packed.Bytes.data()), &Size,
      reinterpret_cast<const Bytef *>(Text.data()), Text.size(), Z_BEST_SPEED);
  Packed.Bytes.resize(Outcome == Z_OK ? Size : 0);
  return Packed;
}

Result<std::string> unpackText(const PackedText &Packed) {
  if (Packed.Length > MaxLength)
    return fail(ErrorKind::InvalidData, "unpack text", "zlib",
                "states " + std::to_string(Packed.Length) + " bytes");
  std::string Text(Packed.Length, '\0');
  uLongf Size = Text.size();
  const int Outcome =
      uncompress(reinterpret_cast<Bytef *>(Text.data()), &Size,
                 reinterpret_cast<const Bytef *>(Packed.Bytes.data()),
                 Packed.Bytes.size());
  if (Outcome != Z_OK || Size != Packed.Length)
    return fail(ErrorKind::InvalidData, "unpack text", "zlib",
                "status " + std::to_string(Outcome) + " after " +
                    std::to_string(Size) + " of " +
                    std::to_string(Packed.Length) + " bytes");
  return Text;
}

} // namespace bronzeward
