#include "bronzeward/Base"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

TEST_CASE("A packed text comes back whole", "[PackedText]") {
  std::string Long;
  for (int Number = 0; Number < 20000; ++Number)
    Long += "{\"route\":" + std::to_string(Number) + "}";
  for (const std::string &Text : {std::string(), std::string("a"), Long}) {
    const PackedText Packed = packText(Text);
    const Result<std::string> Unpacked = unpackText(Packed);
    REQUIRE(Unpacked);
    CHECK(Unpacked.value() == Text);
  }
  CHECK(packText(Long).Bytes.size() * 4 < Long.size());
}

TEST_CASE("Bytes that are no packed text are refused", "[PackedText]") {
  const PackedText Good = packText(std::string(1000, 'x'));
  PackedText Cut = Good;
  Cut.Bytes.resize(Cut.Bytes.size() / 2);
  CHECK_FALSE(unpackText(Cut));
  PackedText Shorter = Good;
  Shorter.Length = 999;
  CHECK_FALSE(unpackText(Shorter));
  PackedText Longer = Good;
  Longer.Length = 1001;
  CHECK_FALSE(unpackText(Longer));
  PackedText Huge = Good;
  Huge.Length = std::size_t{1} << 40U;
  CHECK_FALSE(unpackText(Huge));
  CHECK_FALSE(unpackText({"not zlib", 8}));
}

} // namespace
} // namespace bronzeward
