#include "bronzeward/src/Net/CallerMemory.h"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

constexpr std::size_t Mebibyte = std::size_t{1024} * 1024;
const TimePoint Start{1h};

/// \brief Memory of 16 MiB, of which 2 MiB are reserved for small holders.
class Load {
public:
  MemoryVerdict hold(std::uint64_t Holder, std::size_t Bytes, Duration After,
                     HoldKind Kind = HoldKind::Arriving) {
    return Memory.hold(HolderId{Holder}, Kind, Bytes, Start + After);
  }

  CallerMemory Memory{16 * Mebibyte};
};

TEST_CASE("Large bodies that stop short do not delay a small request",
          "[CallerMemory]") {
  Load Item;
  for (std::uint64_t Holder = 0; Holder < 3; ++Holder)
    REQUIRE(Item.hold(Holder, 4 * Mebibyte, 0s).Granted);
  // All of them still progress: the next large one is refused, a small one not.
  CHECK_FALSE(Item.hold(3, 4 * Mebibyte, 100ms).Granted);
  const MemoryVerdict Small = Item.hold(4, 65536, 100ms);
  CHECK(Small.Granted);
  CHECK(Small.Evicted.empty());
}

TEST_CASE("The stalled body with the most bytes is evicted first",
          "[CallerMemory]") {
  Load Item;
  REQUIRE(Item.hold(1, 3 * Mebibyte, 0s).Granted);
  REQUIRE(Item.hold(2, 6 * Mebibyte, 0s).Granted);
  REQUIRE(Item.hold(3, 5 * Mebibyte, 1900ms).Granted);
  const MemoryVerdict Next = Item.hold(4, 4 * Mebibyte, 2s);
  CHECK(Next.Granted);
  CHECK(Next.Evicted == std::vector<HolderId>{HolderId{2}});
  CHECK(Item.Memory.held() == 12 * Mebibyte);
}

TEST_CASE("A body that arrives byte by byte counts as stalled",
          "[CallerMemory]") {
  Load Item;
  for (int Second = 0; Second < 600; ++Second)
    REQUIRE(Item.hold(1, 13 * Mebibyte + static_cast<std::size_t>(Second),
                      std::chrono::seconds(Second))
                .Granted);
  const MemoryVerdict Next = Item.hold(2, 2 * Mebibyte, 600s);
  CHECK(Next.Granted);
  CHECK(Next.Evicted == std::vector<HolderId>{HolderId{1}});
}

TEST_CASE("Running requests keep their bodies, and nothing is evicted in vain",
          "[CallerMemory]") {
  Load Item;
  REQUIRE(Item.hold(1, 8 * Mebibyte, 0s, HoldKind::Kept).Granted);
  REQUIRE(Item.hold(2, 4 * Mebibyte, 0s).Granted);
  const MemoryVerdict Next = Item.hold(3, 8 * Mebibyte, 60s);
  CHECK_FALSE(Next.Granted);
  CHECK(Next.Evicted.empty());
  CHECK(Item.Memory.held() == 12 * Mebibyte);
}

TEST_CASE("Answers that are not accepted go after requests", "[CallerMemory]") {
  Load Item;
  REQUIRE(Item.hold(1, 6 * Mebibyte, 0s, HoldKind::Unread).Granted);
  REQUIRE(Item.hold(2, 6 * Mebibyte, 0s).Granted);
  CHECK(Item.hold(3, 4 * Mebibyte, 2s).Evicted ==
        std::vector<HolderId>{HolderId{2}});
  REQUIRE(Item.hold(3, 8 * Mebibyte, 9800ms).Granted);
  CHECK(Item.hold(4, 4 * Mebibyte, 10s).Evicted ==
        std::vector<HolderId>{HolderId{1}});
}

TEST_CASE("Memory is free again once its holder is gone", "[CallerMemory]") {
  Load Item;
  REQUIRE(Item.hold(1, 14 * Mebibyte, 0s).Granted);
  Item.Memory.release(HolderId{1});
  Item.Memory.release(HolderId{1});
  CHECK(Item.Memory.held() == 0);
  CHECK(Item.hold(2, 14 * Mebibyte, 0s).Granted);
}

} // namespace
} // namespace bronzeward
