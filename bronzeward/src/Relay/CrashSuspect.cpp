#include "bronzeward/src/Relay/CrashSuspect.h"

#include <array>
#include <charconv>

namespace bronzeward {

/// Set in suspects that are whole contents.
constexpr PartId ContentBit = PartId{1} << 63U;
/// Prefixes of the names under which operators see suspects.
constexpr std::string_view PartPrefix = "part-";
constexpr std::string_view ContentPrefix = "content-";

PartId suspectOfPart(std::uint64_t Part) { return Part & ~ContentBit; }

PartId suspectOfContent(const ContentFingerprint &Content) {
  return hash64(Content.Value) | ContentBit;
}

bool isContent(PartId Suspect) { return (Suspect & ContentBit) != 0; }

ContentFingerprint fingerprintOf(PartId Part) {
  const std::string_view Prefix = isContent(Part) ? ContentPrefix : PartPrefix;
  std::array<char, 16> Digits{};
  const std::to_chars_result End = std::to_chars(
      Digits.data(), Digits.data() + Digits.size(), Part & ~ContentBit, 16);
  return ContentFingerprint{std::string(Prefix) +
                            std::string(Digits.data(), End.ptr)};
}

std::optional<PartId> partOf(const ContentFingerprint &Fingerprint) {
  const std::string_view Text = Fingerprint.Value;
  const bool Content = Text.starts_with(ContentPrefix);
  if (!Content && !Text.starts_with(PartPrefix))
    return std::nullopt;
  const std::size_t Skipped =
      Content ? ContentPrefix.size() : PartPrefix.size();
  PartId Part = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data() + Skipped, End, Part, 16);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Content ? Part | ContentBit : Part;
}

} // namespace bronzeward
