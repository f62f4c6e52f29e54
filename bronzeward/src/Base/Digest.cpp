#include "bronzeward/src/Base/Digest.h"

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace bronzeward {

std::string sha256Hex(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> Bytes{};
  unsigned int Length = 0;
  EVP_Digest(Text.data(), Text.size(), Bytes.data(), &Length, EVP_sha256(),
             nullptr);
  std::string Hex;
  Hex.reserve(2 * static_cast<std::size_t>(Length));
  for (unsigned int Index = 0; Index < Length; ++Index) {
    Hex += Digits[Bytes[Index] >> 4U];
    Hex += Digits[Bytes[Index] & 0xFU];
  }
  return Hex;
}

std::uint64_t hash64(std::string_view Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

SlotId slotOf(const WorkspaceId &Workspace, std::uint32_t SlotCount) {
  return SlotId{
      static_cast<std::uint32_t>(hash64(Workspace.Value) % SlotCount)};
}

} // namespace bronzeward
