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
  MAKE_MOCK2(onChanged, void(const StoreEntry &, TimePoint), override);
};

class Follower {
public:
  Follower() {
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
  Follower Item;
  ALLOW_CALL(Item.Listener, onListed(_, 7U, _));
  Item.answer(ok(7));
  REQUIRE(Item.lastIs<WatchKeys>());
  CHECK(std::get<WatchKeys>(Item.Calls.back().second).AfterRevision == 7);
  REQUIRE_CALL(Item.Listener, onChanged(_, _));
  StoreReply Change = ok(9);
  Change.Entries.push_back({"a/x", "v", 9, false});
  Item.answer(Change);
  CHECK(std::get<WatchKeys>(Item.Calls.back().second).AfterRevision == 9);
}

TEST_CASE("A dropped history is read anew", "[StoreFollower]") {
  Follower Item;
  ALLOW_CALL(Item.Listener, onListed(_, _, _));
  Item.answer(ok(7));
  StoreReply Lost;
  Lost.Status = StoreStatus::Conflict;
  Lost.HistoryLost = true;
  Item.answer(Lost);
  CHECK(Item.lastIs<ListKeys>());
  CHECK(Item.Keys.inTouch());
}

TEST_CASE("A silent watch is given up and the list read again",
          "[StoreFollower]") {
  Follower Item;
  ALLOW_CALL(Item.Listener, onListed(_, _, _));
  Item.answer(ok(7));
  Item.wait(2600ms);
  CHECK_FALSE(Item.Keys.inTouch());
  Item.wait(500ms);
  REQUIRE(Item.lastIs<ListKeys>());
  CHECK(Item.Keys.regainedAt() == std::nullopt);
  Item.answer(ok(8));
  CHECK(Item.Keys.inTouch());
  CHECK(Item.Keys.regainedAt() == Item.Now);
}

// Load pattern: a list of a long value over a small link.
TEST_CASE("A long reply that still arrives is not given up",
          "[StoreFollower]") {
  Follower Item;
  const StoreCallId List = Item.Calls.back().first;
  for (int Part = 0; Part < 4; ++Part) {
    Item.wait(700ms);
    Item.Client.onProgress(List, Item.Now);
  }
  REQUIRE_CALL(Item.Listener, onListed(_, 7U, _));
  Item.answer(ok(7));
  CHECK(Item.Keys.inTouch());
  CHECK(Item.Client.failingSince() == std::nullopt);
}

TEST_CASE("A reply that stops arriving is given up", "[StoreFollower]") {
  Follower Item;
  const StoreCallId List = Item.Calls.back().first;
  Item.wait(900ms);
  Item.Client.onProgress(List, Item.Now);
  Item.wait(900ms);
  CHECK(Item.Client.failingSince() == std::nullopt);
  Item.wait(100ms);
  CHECK(Item.Client.failingSince() == Item.Now);
}

TEST_CASE("A reply that arrives without end is given up", "[StoreFollower]") {
  Follower Item;
  const StoreCallId List = Item.Calls.back().first;
  for (int Part = 0; Part < 30; ++Part) {
    Item.wait(500ms);
    Item.Client.onProgress(List, Item.Now);
  }
  CHECK(Item.Client.counters().Timeouts > 0);
}

TEST_CASE("A first contact is no return of the store", "[StoreFollower]") {
  Follower Item;
  StoreReply Away;
  Item.answer(Away);
  Item.wait(500ms);
  ALLOW_CALL(Item.Listener, onListed(_, _, _));
  Item.answer(ok(7));
  CHECK(Item.Keys.inTouch());
  CHECK(Item.Keys.regainedAt() == std::nullopt);
}

TEST_CASE("A paused follower makes no calls, and lists when resumed",
          "[StoreFollower]") {
  Follower Item;
  ALLOW_CALL(Item.Listener, onListed(_, _, _));
  Item.answer(ok(7));
  REQUIRE(Item.Calls.size() == 2);
  Item.Keys.pause();
  // Resumed before the watch under way ended, it goes on with that one.
  Item.Keys.resume(Item.Now);
  CHECK(Item.Calls.size() == 2);
  Item.Keys.pause();
  Item.answer(ok(8));
  Item.wait(20s);
  CHECK(Item.Calls.size() == 2);
  CHECK_FALSE(Item.Keys.following());
  Item.Keys.resume(Item.Now);
  REQUIRE(Item.Calls.size() == 3);
  CHECK(Item.lastIs<ListKeys>());
}

} // namespace
} // namespace bronzeward
