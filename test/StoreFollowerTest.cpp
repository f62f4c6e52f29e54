#include "bronzeward/Store"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace bronzeward {
namespace {

using trompeloeil::_;

class MockStore : public StorePort {
public:
  MAKE_MOCK2(send, void(StoreCallId, const StoreCall &), override);
};

class MockListener : public StoreFollowerListener {
public:
  MAKE_MOCK3(onListed,
             void(const std::vector<StoreEntry> &, std::uint64_t, TimePoint),
             override);
  MAKE_MOCK2(onListedInPart, void(const std::vector<StoreEntry> &, TimePoint),
             override);
  MAKE_MOCK2(onChanged, void(const StoreEntry &, TimePoint), override);
};

/// A StoreFollower whose store is a mock.
class FollowerFixture {
public:
  FollowerFixture() {
    Sent = NAMED_ALLOW_CALL(Port, send(_, _))
               .LR_SIDE_EFFECT(Calls.emplace_back(_1, _2));
    Keys.start(Now);
  }
  void answer(const StoreReply &Reply) {
    const StoreCallId Id = Calls.back().first;
    Client.onReply(Id, Reply, Now);
  }
  void wait(Duration Time) {
    Now += Time;
    Timers.runDue(Now);
  }
  template <class Call> [[nodiscard]] bool lastIs() const {
    return std::holds_alternative<Call>(Calls.back().second);
  }

  TimePoint Now{1h};
  std::vector<std::pair<StoreCallId, StoreCall>> Calls;
  MockStore Port;
  MockListener Listener;
  std::unique_ptr<trompeloeil::expectation> Sent;
  TimerQueue Timers;
  Random Source{1};
  StoreClient Client{Port, Timers, Source, StorePolicy()};
  StoreFollower Keys{"a/", 1500ms, Client, Timers, Source, Listener};
};

StoreReply ok(std::uint64_t Revision) {
  StoreReply Reply;
  Reply.Status = StoreStatus::Ok;
  Reply.Revision = Revision;
  return Reply;
}

TEST_CASE("A list is followed by watches from its revision",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, 7U, _));
  Fixture.answer(ok(7));
  REQUIRE(Fixture.lastIs<WatchKeys>());
  CHECK(std::get<WatchKeys>(Fixture.Calls.back().second).AfterRevision == 7);
  REQUIRE_CALL(Fixture.Listener, onChanged(_, _));
  StoreReply Change = ok(9);
  Change.Entries.push_back({"a/x", "v", 9, false});
  Fixture.answer(Change);
  CHECK(std::get<WatchKeys>(Fixture.Calls.back().second).AfterRevision == 9);
}

// Failure: a reply that lay in a socket while the process stood still confirmed
// a list as of the time at which it was read.
TEST_CASE("A reply that is read late tells nothing about the time since",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  ALLOW_CALL(Fixture.Listener, onChanged(_, _));
  const TimePoint Start = Fixture.Now;
  Fixture.Now += 5s;
  Fixture.answer(ok(7));
  CHECK(Fixture.Keys.completeUntil() == Start);
  const TimePoint Watched = Fixture.Now;
  Fixture.Now += 5s;
  Fixture.answer(ok(7));
  CHECK(Fixture.Keys.completeUntil() == Watched + 1500ms);
  StoreReply Change = ok(9);
  Change.Entries.push_back({"a/x", "v", 9, false});
  const TimePoint WatchedAgain = Fixture.Now;
  Fixture.Now += 100ms;
  Fixture.answer(Change);
  CHECK(Fixture.Keys.completeUntil() == WatchedAgain);
}

TEST_CASE("Keys are listed again after a gap in the history",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  StoreReply Gap;
  Gap.Status = StoreStatus::Conflict;
  Gap.HistoryLost = true;
  Fixture.answer(Gap);
  CHECK(Fixture.lastIs<ListKeys>());
  CHECK(Fixture.Keys.inContact());
}

// Guards against keys that are taken for deleted since a list ended early.
TEST_CASE("A truncated list is watched, and read again after some time",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  std::vector<std::string> Applied;
  ALLOW_CALL(Fixture.Listener, onListedInPart(_, _))
      .LR_SIDE_EFFECT(for (const StoreEntry &Entry
                           : _1) Applied.push_back(Entry.Key));
  StoreReply Part = ok(7);
  Part.Truncated = true;
  Part.Entries = {{"a/x", "v", 6, false}, {"a/y", "v", 3, false}};
  Fixture.answer(Part);
  CHECK(Applied == std::vector<std::string>{"a/y", "a/x"});
  CHECK(Fixture.Keys.inContact());
  int Watches = 0;
  while (Fixture.lastIs<WatchKeys>()) {
    REQUIRE(++Watches < 20);
    Fixture.wait(1s);
    Fixture.answer(ok(8));
  }
  CHECK(Watches > 1);
  REQUIRE_CALL(Fixture.Listener, onListed(_, 9U, _));
  Fixture.answer(ok(9));
  for (Watches = 0; Watches < 20; ++Watches) {
    REQUIRE(Fixture.lastIs<WatchKeys>());
    Fixture.wait(1s);
    Fixture.answer(ok(9));
  }
}

// Guards against late requests at an upstream that leaves: the reply of one
// watch was lost, and its timeout passed before the keys were read again.
TEST_CASE("Keys are listed again soon after a watch without a reply",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  const StoreCallId Lost = Fixture.Calls.back().first;
  Fixture.wait(1800ms);
  REQUIRE(Fixture.lastIs<ListKeys>());
  Fixture.answer(ok(8));
  REQUIRE(Fixture.lastIs<WatchKeys>());
  CHECK(Fixture.Keys.inContact());
  // The store was not away, so no entry expired because of that.
  CHECK(Fixture.Keys.recoveredAt() == std::nullopt);
  const std::size_t Calls = Fixture.Calls.size();
  Fixture.Client.onReply(Lost, ok(7), Fixture.Now);
  CHECK(Fixture.Calls.size() == Calls);
  Fixture.wait(1s);
  CHECK(Fixture.Client.failingSince() == std::nullopt);
}

// Guards against a list after a list where a store refuses watches only.
TEST_CASE("Watches that fail again and again are followed by paced lists",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  StoreReply Refused;
  Refused.Status = StoreStatus::Unavailable;
  std::size_t Lists = 0;
  for (int Step = 0; Step < 100; ++Step) {
    if (Fixture.lastIs<WatchKeys>()) {
      Fixture.answer(Refused);
    } else {
      ++Lists;
      Fixture.answer(ok(8));
    }
    Fixture.wait(20ms);
  }
  CHECK(Lists >= 4);
  CHECK(Lists <= 11);
}

TEST_CASE("A slow store's watches get as much longer as its lists took",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.wait(600ms);
  Fixture.answer(ok(7));
  Fixture.wait(1500ms + 600ms);
  CHECK(Fixture.lastIs<WatchKeys>());
  Fixture.wait(300ms);
  CHECK(Fixture.lastIs<ListKeys>());
}

TEST_CASE("Contact is lost when a watch and the list after it have no reply",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  Fixture.wait(1800ms);
  Fixture.wait(1s);
  CHECK_FALSE(Fixture.Keys.inContact());
  Fixture.wait(500ms);
  REQUIRE(Fixture.lastIs<ListKeys>());
  CHECK(Fixture.Keys.recoveredAt() == std::nullopt);
  Fixture.answer(ok(8));
  CHECK(Fixture.Keys.inContact());
  CHECK(Fixture.Keys.recoveredAt() == Fixture.Now);
}

// Guards against reading a long value twice over a small link.
TEST_CASE("A watch is not given up while parts of its reply arrive",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  const StoreCallId Watch = Fixture.Calls.back().first;
  Fixture.wait(1700ms);
  Fixture.Client.onProgress(Watch, Fixture.Now);
  Fixture.wait(800ms);
  REQUIRE(Fixture.lastIs<WatchKeys>());
  REQUIRE_CALL(Fixture.Listener, onChanged(_, _));
  StoreReply Change = ok(9);
  Change.Entries.push_back({"a/x", "v", 9, false});
  Fixture.Client.onReply(Watch, Change, Fixture.Now);
}

TEST_CASE("A watch that was cut is followed by a list at once",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  Fixture.answer(StoreReply{});
  REQUIRE(Fixture.lastIs<ListKeys>());
  Fixture.answer(ok(8));
  CHECK(Fixture.Keys.recoveredAt() == std::nullopt);
}

// Guards against a timeout during a slow transfer: a list contains a long value
// and arrives over a small link.
TEST_CASE("A long reply does not time out while parts of it arrive",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  const StoreCallId List = Fixture.Calls.back().first;
  for (int Index = 0; Index < 4; ++Index) {
    Fixture.wait(700ms);
    Fixture.Client.onProgress(List, Fixture.Now);
  }
  REQUIRE_CALL(Fixture.Listener, onListed(_, 7U, _));
  Fixture.answer(ok(7));
  CHECK(Fixture.Keys.inContact());
  CHECK(Fixture.Client.failingSince() == std::nullopt);
}

TEST_CASE("A reply times out when no further part arrives", "[StoreFollower]") {
  FollowerFixture Fixture;
  const StoreCallId List = Fixture.Calls.back().first;
  Fixture.wait(900ms);
  Fixture.Client.onProgress(List, Fixture.Now);
  Fixture.wait(900ms);
  CHECK(Fixture.Client.failingSince() == std::nullopt);
  Fixture.wait(100ms);
  CHECK(Fixture.Client.failingSince() == Fixture.Now);
}

// Guards against a list of many pages that no instance can read from a slow
// store.
TEST_CASE("A list does not time out while its pages arrive",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  const StoreCallId List = Fixture.Calls.back().first;
  for (int Page = 0; Page < 30; ++Page) {
    Fixture.wait(900ms);
    Fixture.Client.onProgress(List, Fixture.Now, StoreProgress::Page);
  }
  CHECK(Fixture.Client.failingSince() == std::nullopt);
  for (int Part = 0; Part < 30; ++Part) {
    Fixture.wait(500ms);
    Fixture.Client.onProgress(List, Fixture.Now);
  }
  CHECK(Fixture.Client.counters().Timeouts > 0);
}

TEST_CASE("A reply that never ends times out", "[StoreFollower]") {
  FollowerFixture Fixture;
  const StoreCallId List = Fixture.Calls.back().first;
  for (int Index = 0; Index < 30; ++Index) {
    Fixture.wait(500ms);
    Fixture.Client.onProgress(List, Fixture.Now);
  }
  CHECK(Fixture.Client.counters().Timeouts > 0);
}

TEST_CASE("The first successful call is no recovery of the store",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  StoreReply Unavailable;
  Fixture.answer(Unavailable);
  Fixture.wait(500ms);
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  CHECK(Fixture.Keys.inContact());
  CHECK(Fixture.Keys.recoveredAt() == std::nullopt);
}

TEST_CASE("A paused follower makes no calls, and lists when resumed",
          "[StoreFollower]") {
  FollowerFixture Fixture;
  ALLOW_CALL(Fixture.Listener, onListed(_, _, _));
  Fixture.answer(ok(7));
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.Keys.pause();
  // The pending watch is still in use when the pause ends before the watch.
  Fixture.Keys.resume(Fixture.Now);
  CHECK(Fixture.Calls.size() == 2);
  Fixture.Keys.pause();
  Fixture.answer(ok(8));
  Fixture.wait(20s);
  CHECK(Fixture.Calls.size() == 2);
  CHECK_FALSE(Fixture.Keys.following());
  Fixture.Keys.resume(Fixture.Now);
  REQUIRE(Fixture.Calls.size() == 3);
  CHECK(Fixture.lastIs<ListKeys>());
}

} // namespace
} // namespace bronzeward
