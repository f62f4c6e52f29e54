#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

using Listed = std::vector<std::pair<UpstreamEntry, std::uint64_t>>;

const TimePoint Start(1h);

UpstreamEntry entryOf(const std::string &Name, bool Draining = false) {
  UpstreamEntry Entry;
  Entry.Name.Value = Name;
  Entry.Service.Value = "draft";
  Entry.Host = "10.0.0.1";
  Entry.Port = 80;
  Entry.Draining = Draining;
  return Entry;
}

Listed listOf(std::initializer_list<const char *> Names) {
  Listed All;
  for (const char *Name : Names)
    All.emplace_back(entryOf(Name), 1);
  return All;
}

std::size_t usable(const UpstreamDirectory &Directory, TimePoint Now) {
  return Directory.usable(Now).size();
}

TEST_CASE("A draining upstream gets nothing new", "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b"}), 1, std::nullopt, Start);
  Directory.onEntry(entryOf("a", true), 2, Start);
  REQUIRE(usable(Directory, Start) == 1);
  CHECK(Directory.usable(Start).front().Name.Value == "b");
}

// Found by a drawn day: a fresh instance took its first contact for the
// store's return and kept sending to an upstream that had left.
TEST_CASE("An entry that vanishes is gone at once after a first contact",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 1, std::nullopt, Start);
  Directory.onRemoved(UpstreamName{"a"}, 2, std::nullopt, Start + 1s);
  CHECK(usable(Directory, Start + 1s) == 2);
}

TEST_CASE("Entries that lapsed with the store have time to come back",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b"}), 1, std::nullopt, Start);
  const TimePoint Back = Start + 9s;
  Directory.onListed({}, 5, Back, Back);
  CHECK(usable(Directory, Back) == 2);
  Directory.onEntry(entryOf("a"), 6, Back + 1s);
  CHECK(usable(Directory, Back + 1s) == 2);
  // What has not come back is gone, before the two seconds in which a leaving
  // upstream may still get calls are over.
  CHECK(usable(Directory, Back + 1900ms) == 1);
  CHECK(Directory.nextLapse(Back + 1900ms) == std::nullopt);
}

TEST_CASE("Many entries that vanish together are kept for a while",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c", "d", "e", "f"}), 1, std::nullopt,
                     Start);
  std::uint64_t Revision = 2;
  for (const char *Name : {"a", "b", "c", "d"})
    Directory.onRemoved(UpstreamName{Name}, Revision++, std::nullopt, Start);
  CHECK(usable(Directory, Start) >= 4);
  CHECK(usable(Directory, Start + 2s) == 2);
}

TEST_CASE("An older list brings no gone upstream back", "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 1, std::nullopt, Start);
  Directory.onRemoved(UpstreamName{"a"}, 9, std::nullopt, Start);
  Directory.onListed(listOf({"a", "b", "c"}), 8, std::nullopt, Start);
  CHECK(usable(Directory, Start) == 2);
}

// Load pattern: changes reach an instance through peers, and one is lost.
TEST_CASE("A single change does not claim those before it",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 5, std::nullopt, Start);
  Directory.onEntry(entryOf("a", true), 9, Start);
  Directory.onRemoved(UpstreamName{"b"}, 11, std::nullopt, Start);
  CHECK(Directory.revision() == 5);
  Directory.onCaughtUp(11);
  CHECK(Directory.revision() == 11);
}

} // namespace
} // namespace bronzeward
