#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

using RevisedEntries = std::vector<std::pair<UpstreamEntry, std::uint64_t>>;

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

RevisedEntries listOf(std::initializer_list<const char *> Names) {
  RevisedEntries All;
  for (const char *Name : Names)
    All.emplace_back(entryOf(Name), 1);
  return All;
}

std::size_t usable(const UpstreamDirectory &Directory, TimePoint Now) {
  return Directory.usable(Now).size();
}

TEST_CASE("A draining upstream is not usable", "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b"}), 1, std::nullopt, Start);
  Directory.onEntry(entryOf("a", true), 2, Start);
  REQUIRE(usable(Directory, Start) == 1);
  CHECK(Directory.usable(Start).front().Name.Value == "b");
}

// Guards against calls to a terminated upstream: a new instance mistook its
// first connection to the store for the end of an outage and kept the upstream
// usable.
TEST_CASE("A removed upstream is unusable at once if there was no outage",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 1, std::nullopt, Start);
  Directory.onRemoved(UpstreamName{"a"}, 2, std::nullopt, Start + 1s);
  CHECK(usable(Directory, Start + 1s) == 2);
}

TEST_CASE("Upstreams whose entries expired in an outage may register again",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b"}), 1, std::nullopt, Start);
  const TimePoint ReachableAt = Start + 9s;
  Directory.onListed({}, 5, ReachableAt, ReachableAt);
  CHECK(usable(Directory, ReachableAt) == 2);
  Directory.onEntry(entryOf("a"), 6, ReachableAt + 1s);
  CHECK(usable(Directory, ReachableAt + 1s) == 2);
  // An upstream that did not register again is unusable before the end of the
  // two seconds in which a terminating upstream may still receive calls.
  CHECK(usable(Directory, ReachableAt + 1900ms) == 1);
  CHECK(Directory.nextRemoval(ReachableAt + 1900ms) == std::nullopt);
}

// Guards against late requests at an upstream that left: a list without an
// outage before it kept the upstream usable.
TEST_CASE("An upstream missing from a list is unusable at once without an "
          "outage",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 1, std::nullopt, Start);
  Directory.onListed(listOf({"a", "b"}), 5, std::nullopt, Start + 1s);
  CHECK(usable(Directory, Start + 1s) == 2);
}

TEST_CASE("Late or repeated news of a removal leaves no more time to return",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c", "d", "e", "f"}), 1, std::nullopt,
                     Start);
  const TimePoint HeardAt = Start + 1s;
  Directory.onListed(listOf({"a", "b"}), 9, std::nullopt, HeardAt, Start);
  CHECK(usable(Directory, HeardAt) > 2);
  for (const char *Name : {"c", "d", "e", "f"})
    Directory.onRemoved(UpstreamName{Name}, 9, std::nullopt, Start + 1500ms);
  CHECK(usable(Directory, Start + 1600ms) == 2);
}

TEST_CASE("Upstreams stay usable for a while if many are removed together",
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

TEST_CASE("An older list does not restore a removed upstream",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b", "c"}), 1, std::nullopt, Start);
  Directory.onRemoved(UpstreamName{"a"}, 9, std::nullopt, Start);
  Directory.onListed(listOf({"a", "b", "c"}), 8, std::nullopt, Start);
  CHECK(usable(Directory, Start) == 2);
}

// Guards against an upstream that left and is used again: a peer's older news
// arrives at an instance that never knew the upstream.
TEST_CASE("Older news does not restore an upstream missing from a list",
          "[UpstreamDirectory]") {
  UpstreamDirectory Directory;
  Directory.onListed(listOf({"a", "b"}), 9, std::nullopt, Start);
  Directory.onEntry(entryOf("c"), 7, Start);
  CHECK(usable(Directory, Start) == 2);
  Directory.onEntry(entryOf("d"), 10, Start);
  CHECK(usable(Directory, Start) == 3);
}

// Failure: changes reach an instance through its peers, and one is lost.
TEST_CASE("A single change does not advance the known revision",
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
