#include "bronzeward/src/Net/Base64.h"

#include <openssl/evp.h>

namespace bronzeward {

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string decodeBase64(std::string_view Text) {
  std::string Bytes(3 * Text.size() / 4 + 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return "";
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

} // namespace bronzeward
