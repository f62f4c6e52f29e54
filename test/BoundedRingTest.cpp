#include "bronzeward/src/Net/EventLoopThread.h"
#include "bronzeward/src/Net/Mailbox.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <memory>
#include <unistd.h>

namespace bronzeward {
namespace {

TEST_CASE("A full ring refuses, counts and leaves the item", "[BoundedRing]") {
  BoundedRing<std::unique_ptr<int>> Ring(2);
  for (int Number = 0; Number < 2; ++Number) {
    std::unique_ptr<int> Item = std::make_unique<int>(Number);
    CHECK(Ring.push(Item));
    CHECK(Item == nullptr);
  }
  std::unique_ptr<int> Extra = std::make_unique<int>(7);
  CHECK_FALSE(Ring.push(Extra));
  REQUIRE(Extra != nullptr);
  CHECK(*Extra == 7);
  CHECK(Ring.refused() == 1);

  std::vector<std::unique_ptr<int>> Batch;
  Ring.drain(Batch);
  REQUIRE(Batch.size() == 2);
  CHECK(*Batch[0] == 0);
  CHECK(*Batch[1] == 1);
  CHECK(Ring.push(Extra));
}

/// \returns the bytes of this process that are in memory.
std::size_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

TEST_CASE("A ring that was never long takes little memory", "[RingMemory]") {
  constexpr std::size_t Capacity = 65536;
  constexpr std::size_t MaxGrowth = std::size_t{4} * 1024 * 1024;
  using Large = std::array<char, 512>;
  BoundedRing<Large> Ring(Capacity);
  const std::size_t Before = residentBytes();
  std::vector<Large> Batch;
  for (std::size_t Index = 0; Index < Capacity; ++Index) {
    Large Item{};
    REQUIRE(Ring.push(Item));
    Batch.clear();
    Ring.drain(Batch);
  }
  CHECK(residentBytes() < Before + MaxGrowth);
}

TEST_CASE("A mailbox hands items over in order, whoever wakes it",
          "[BoundedRing]") {
  constexpr int Count = 10000;
  EventLoopThread Receiver;
  std::vector<int> Seen;
  Mailbox<int> Box(Receiver.context(), 16,
                   [&](int &Item) { Seen.push_back(Item); });
  Receiver.start();
  for (int Number = 0; Number < Count; ++Number)
    Box.pushOrWait(Number);
  std::atomic<bool> Done = false;
  boost::asio::post(Receiver.context(), [&] { Done = true; });
  while (!Done)
    std::this_thread::yield();
  Receiver.stop();
  REQUIRE(Seen.size() == Count);
  CHECK(std::is_sorted(Seen.begin(), Seen.end()));
}

// Guards against a loop that notices nothing while it handles a long queue.
TEST_CASE("A long queue lets other work of its loop have its turn",
          "[BoundedRing]") {
  boost::asio::io_context Io;
  constexpr int Count = 1000;
  int Seen = 0;
  int SeenBeforeOther = 0;
  Mailbox<int> Box(Io, Count, [&](int &) { ++Seen; });
  for (int Number = 0; Number < Count; ++Number)
    Box.push(Number);
  boost::asio::post(Io, [&] { SeenBeforeOther = Seen; });
  Io.run();
  CHECK(Seen == Count);
  CHECK(SeenBeforeOther <= Count / 10);
}

TEST_CASE("A mailbox that nobody reads refuses past its capacity",
          "[BoundedRing]") {
  boost::asio::io_context Idle;
  Mailbox<int> Box(Idle, 3, [](int &) {});
  CHECK(Box.push(1));
  CHECK(Box.push(2));
  CHECK(Box.push(3));
  CHECK_FALSE(Box.push(4));
  CHECK(Box.refused() == 1);
}

} // namespace
} // namespace bronzeward
