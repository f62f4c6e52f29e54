#include "bronzeward/Relay"

#include "test/support/EngineMocks.h"

#include <algorithm>
#include <map>

namespace bronzeward {
namespace {

using fakes::FixedClock;
using fakes::MockCallers;
using fakes::MockUpstreams;
using fakes::SilentLog;
using trompeloeil::_;

/// Headers of the simplest form: the attempt's name in "Id", "Not-Run" where
/// the call did not run.
class PlainCodec : public CallCodec {
public:
  [[nodiscard]] Result<RelayCall> parseCall(CallerRequest In) const override {
    RelayCall Call;
    Call.Ticket = In.Ticket;
    Call.Method = In.Method;
    Call.Target = In.Target;
    Call.Host = In.Host;
    Call.Body = In.Body;
    Call.AttemptName = "call-" + std::to_string(In.Ticket.Number);
    return Call;
  }
  [[nodiscard]] std::vector<HeaderField>
  dispatchHeaders(const RelayCall &,
                  const DispatchTerms &Terms) const override {
    return {{"Left", std::to_string(Terms.TimeLeft.count())},
            {"Last", Terms.LastEventId}};
  }
  [[nodiscard]] HeaderField
  matchingHeader(const RelayCall &Call) const override {
    return {"Id", Call.AttemptName};
  }
  [[nodiscard]] RelayAnswerHead
  parseAnswerHead(const HttpHead &Head) const override {
    RelayAnswerHead Made;
    Made.Status = Head.Status;
    Made.NotRun = findHeader(Head.Headers, "Not-Run") != nullptr;
    Made.Leaving = findHeader(Head.Headers, "Leaving") != nullptr;
    if (findHeader(Head.Headers, "Back-Off") != nullptr)
      Made.BackOff = 2s;
    Made.Forwarded = Head.Headers;
    return Made;
  }
};

RouteSpec routeOf(const char *Prefix, CallKind Kind, int Attempts,
                  bool Resumable = false) {
  RouteSpec Route;
  Route.Name = Route.Prefix = Prefix;
  Route.Host = "h";
  Route.Kind = Kind;
  Route.Targets = {{ServiceName{"s"}, 1}};
  Route.Timeout = 6s;
  Route.Objective = 500ms;
  Route.Attempts = Attempts;
  Route.Resumable = Resumable;
  return Route;
}

/// \brief One engine with three upstreams, driven by hand.
class Relay {
public:
  Relay() {
    Sent = NAMED_ALLOW_CALL(Upstreams, dispatch(_))
               .LR_SIDE_EFFECT(Calls.push_back(_1));
    Ended = NAMED_ALLOW_CALL(Upstreams, cancel(_))
                .LR_SIDE_EFFECT(Cancelled.push_back(_1));
    Answered = NAMED_ALLOW_CALL(Callers, answer(_, _))
                   .LR_SIDE_EFFECT(Answers.push_back(_2));
    Begun =
        NAMED_ALLOW_CALL(Callers, beginStream(_, _)).LR_SIDE_EFFECT(++Streams);
    Part = NAMED_ALLOW_CALL(Callers, sendPart(_, _)).LR_SIDE_EFFECT(Text += _2);
    Whole = NAMED_ALLOW_CALL(Callers, endStream(_, _))
                .LR_SIDE_EFFECT(++WholeStreams);
    Cut =
        NAMED_ALLOW_CALL(Callers, disconnect(_)).LR_SIDE_EFFECT(++Disconnected);
    FleetConfiguration Accepted;
    Accepted.Version = {1};
    Accepted.Routes = {routeOf("/post/", CallKind::NonIdempotent, 1),
                       routeOf("/get/", CallKind::Idempotent, 2),
                       routeOf("/stream/", CallKind::Stream, 1),
                       routeOf("/resume/", CallKind::Stream, 2, true)};
    Accepted.Services = {{ServiceName{"s"}, 100, 0}};
    Engine.configure(std::move(Accepted), Now);
    Engine.setUsable(entries(0ms), Now);
  }

  static std::vector<UpstreamEntry> entries(std::chrono::milliseconds Started) {
    std::vector<UpstreamEntry> All;
    for (const char *Name : {"u1", "u2", "u3"}) {
      UpstreamEntry Entry;
      Entry.Name.Value = Name;
      Entry.Service.Value = "s";
      Entry.Host = "10.0.0.1";
      Entry.Port = 80;
      Entry.Slots = 6;
      Entry.Started = WallTime(Started);
      All.push_back(Entry);
    }
    return All;
  }

  CallerTicket request(const char *Target, const char *Body = "") {
    CallerRequest In;
    In.Ticket = CallerTicket{++LastTicket};
    In.Method = "POST";
    In.Target = Target;
    In.Host = "h";
    In.Body = Body;
    Engine.onCallerRequest(std::move(In), Now);
    return CallerTicket{LastTicket};
  }
  void head(std::uint16_t Status, std::vector<HeaderField> Headers = {}) {
    Engine.onUpstreamHead(Calls.back().Attempt, {Status, std::move(Headers)},
                          Now);
  }
  void bytes(const char *Bytes) {
    Engine.onUpstreamBytes(Calls.back().Attempt, Bytes, Now);
  }
  void end() { Engine.onUpstreamEnd(Calls.back().Attempt, Now); }
  void fail(UpstreamFailure How) {
    Engine.onUpstreamFailure(Calls.back().Attempt, How, Now);
  }
  void wait(Duration Time) {
    Now += Time;
    Timers.runDue(Now);
  }
  /// Replaces the upstreams by that many.
  void addUpstreams(int Count) {
    std::vector<UpstreamEntry> All;
    for (int Place = 0; Place < Count; ++Place) {
      All.push_back(entries(0ms).front());
      All.back().Name.Value = "u" + std::to_string(Place);
    }
    Engine.setUsable(All, Now);
  }
  /// Lets the oldest connection that is still opening time out.
  void timeOutOldest() {
    Engine.onUpstreamFailure(Calls[TimedOut++].Attempt,
                             UpstreamFailure::ConnectTimedOut, Now);
  }
  [[nodiscard]] static bool promisesNotRun(const Answer &Made) {
    return Made.Status == 503 || Made.Status == 429 || Made.Status == 408 ||
           Made.Status == 421;
  }

  TimePoint Now{1h};
  MockCallers Callers;
  MockUpstreams Upstreams;
  std::vector<UpstreamCall> Calls;
  std::size_t TimedOut = 0;
  std::vector<AttemptId> Cancelled;
  std::vector<Answer> Answers;
  int Streams = 0;
  int WholeStreams = 0;
  int Disconnected = 0;
  std::string Text;
  std::unique_ptr<trompeloeil::expectation> Sent, Ended, Answered, Begun, Part,
      Whole, Cut;
  SilentLog Log;
  FixedClock Wall;
  TimerQueue Timers;
  Random Source{1};
  PlainCodec Codec;
  Membership Members;
  RelayEngine Engine{
      FailureDomain{"a"},
      {0.2, 54.0, 10s},
      {Callers, Upstreams, Log, Wall, Timers, Source, Codec, Members}};
  std::uint64_t LastTicket = 0;
};

TEST_CASE("An answer is passed on with its status, headers and body",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  REQUIRE(Item.Calls.size() == 1);
  CHECK(Item.Calls[0].Target == "/post/x");
  Item.head(201, {{"Signature", "s"}});
  Item.bytes("body");
  Item.end();
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 201);
  CHECK(Item.Answers[0].Body == "body");
  CHECK(findHeader(Item.Answers[0].Headers, "Signature") != nullptr);
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("A call that may have run is not said not to have", "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  Item.fail(UpstreamFailure::Closed);
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 502);
  CHECK(Item.Calls.size() == 1);
}

TEST_CASE("A call that was turned away goes elsewhere, then is refused",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Item.head(503, {{"Not-Run", "1"}});
    Item.end();
  }
  REQUIRE(Item.Calls.size() == 3);
  CHECK(Item.Calls[0].Upstream != Item.Calls[1].Upstream);
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 503);
  CHECK(findHeader(Item.Answers[0].Headers, "Retry-After") != nullptr);
}

// Load pattern: a service is replaced under load; the registry lags behind
// what the upstreams say in their answers.
TEST_CASE("An upstream that says it leaves gets no further call",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  const UpstreamName Leaving = Item.Calls[0].Upstream;
  Item.head(200, {{"Leaving", "1"}});
  Item.end();
  // Its entry lapses and comes back; it is the same life.
  std::vector<UpstreamEntry> Others = Relay::entries(0ms);
  std::erase_if(Others, [&](const UpstreamEntry &Entry) {
    return Entry.Name == Leaving;
  });
  Item.Engine.setUsable(Others, Item.Now);
  Item.Engine.setUsable(Relay::entries(0ms), Item.Now);
  for (int Count = 0; Count < 40; ++Count) {
    Item.wait(500ms);
    Item.request("/get/x");
    CHECK(Item.Calls.back().Upstream != Leaving);
    Item.head(200);
    Item.end();
  }
}

TEST_CASE("An upstream that leaves is not the last resort either",
          "[RelayEngine]") {
  Relay Item;
  for (int Count = 0; Count < 3; ++Count) {
    Item.request("/post/x");
    Item.head(200, {{"Leaving", "1"}});
    Item.end();
  }
  REQUIRE(Item.Calls.size() == 3);
  Item.request("/post/x");
  CHECK(Item.Calls.size() == 3);
  CHECK(Item.Answers.back().Status == 503);
  // Another life under the same name is asked again.
  Item.Engine.setUsable(Relay::entries(5ms), Item.Now);
  Item.request("/post/x");
  CHECK(Item.Calls.size() == 4);
}

// Load pattern: every upstream sheds this instance's calls for a time.
TEST_CASE("Upstreams get nothing for as long as they asked", "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Item.head(503, {{"Not-Run", "1"}, {"Back-Off", "2"}});
    Item.end();
  }
  REQUIRE(Item.Calls.size() == 3);
  for (int Count = 0; Count < 18; ++Count) {
    Item.wait(100ms);
    Item.request("/get/x");
    CHECK(Item.Answers.back().Status == 503);
  }
  CHECK(Item.Calls.size() == 3);
  Item.wait(300ms);
  Item.request("/get/x");
  CHECK(Item.Calls.size() == 4);
}

TEST_CASE("A refused caller is told when its upstreams take calls again",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Item.head(503, {{"Not-Run", "1"}, {"Back-Off", "2"}});
    Item.end();
  }
  Item.request("/get/x");
  const std::string *After =
      findHeader(Item.Answers.back().Headers, "Retry-After");
  REQUIRE(After != nullptr);
  CHECK(std::stod(*After) >= 2.0);
}

// Load pattern: a burst at one of several instances before upstreams that
// accept few connections from all of them together.
TEST_CASE("An instance keeps to its share of an upstream's connections",
          "[RelayEngine]") {
  Relay Item;
  FleetConfiguration Accepted;
  Accepted.Version = {2};
  Accepted.Routes = {routeOf("/post/", CallKind::NonIdempotent, 1)};
  Accepted.Services = {{ServiceName{"s"}, 20, 0}};
  Item.Engine.configure(std::move(Accepted), Item.Now);
  std::vector<Member> Fleet;
  Fleet.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Fleet.push_back({Incarnation{InstanceId{"i" + std::to_string(Index)}, 1},
                     FailureDomain{"a"}, "", false});
  Item.Members.update(Fleet);
  for (int Count = 0; Count < 30; ++Count)
    Item.request("/post/x");
  // Three upstreams of twenty connections, shared by four instances.
  CHECK(Item.Calls.size() == 15);
  CHECK(Item.Answers.size() == 15);
  CHECK(Item.Answers.back().Status == 503);
}

TEST_CASE("A failed call that may be repeated is, at another upstream",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/get/x");
  Item.head(500);
  Item.end();
  REQUIRE(Item.Calls.size() == 2);
  CHECK(Item.Calls[0].Upstream != Item.Calls[1].Upstream);
  Item.head(200);
  Item.bytes("ok");
  Item.end();
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Body == "ok");
}

TEST_CASE("Attempts are not exceeded", "[RelayEngine]") {
  Relay Item;
  Item.request("/get/x");
  for (int Count = 0; Count < 2; ++Count) {
    Item.head(500, {{"Signature", "s"}});
    Item.end();
  }
  CHECK(Item.Calls.size() == 2);
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 500);
}

TEST_CASE("A silent upstream is given up for a call that may be repeated",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/get/x");
  Item.wait(400ms);
  CHECK(Item.Calls.size() == 2);
  CHECK(Item.Cancelled.size() == 1);
  Relay Once;
  Once.request("/post/x");
  Once.wait(400ms);
  CHECK(Once.Calls.size() == 1);
}

TEST_CASE("A broken stream is cut off, not ended", "[RelayEngine]") {
  Relay Item;
  Item.request("/stream/x");
  Item.head(200);
  Item.bytes("id: 1\n\nid: 2\nha");
  CHECK(Item.Text == "id: 1\n\n");
  Item.fail(UpstreamFailure::Closed);
  CHECK(Item.Disconnected == 1);
  CHECK(Item.WholeStreams == 0);
}

TEST_CASE("A stream whose last event broke off is not complete",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/stream/x");
  Item.head(200);
  Item.bytes("id: 1\n\nid: 2\nha");
  Item.end();
  CHECK(Item.Disconnected == 1);
  CHECK(Item.WholeStreams == 0);
}

TEST_CASE("A resumable stream continues elsewhere as one answer",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/resume/x");
  Item.head(200);
  Item.bytes("id: 1\n\nid: 2\n\nid: 3\nha");
  Item.fail(UpstreamFailure::Closed);
  REQUIRE(Item.Calls.size() == 2);
  CHECK(*findHeader(Item.Calls[1].Headers, "Last") == "2");
  Item.head(200);
  Item.bytes("id: 3\n\n");
  Item.end();
  CHECK(Item.Text == "id: 1\n\nid: 2\n\nid: 3\n\n");
  CHECK(Item.Streams == 1);
  CHECK(Item.WholeStreams == 1);
}

TEST_CASE("The time left is handed on and kept", "[RelayEngine]") {
  Relay Item;
  Item.request("/get/x");
  CHECK(*findHeader(Item.Calls[0].Headers, "Left") == "6000");
  Item.wait(400ms);
  REQUIRE(Item.Calls.size() == 2);
  CHECK(*findHeader(Item.Calls[1].Headers, "Left") == "5600");
  Item.wait(5600ms);
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 504);
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("A caller that leaves stops its upstream", "[RelayEngine]") {
  Relay Item;
  const CallerTicket Ticket = Item.request("/stream/x");
  Item.Engine.onCallerGone(Ticket, Item.Now);
  REQUIRE(Item.Cancelled.size() == 1);
  CHECK(Item.Cancelled[0] == Item.Calls[0].Attempt);
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("Unknown routes and an empty fleet are refused truthfully",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/none/x");
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Item.Answers[0].Status == 404);
  Item.Engine.setUsable({}, Item.Now);
  Item.request("/post/x");
  REQUIRE(Item.Answers.size() == 2);
  CHECK(Relay::promisesNotRun(Item.Answers[1]));
  CHECK(Item.Calls.empty());
}

// Found by a hunt: with every instance of a zone stopping, callers kept coming
// and the last of them were cut when the time to stop was over.
TEST_CASE("A stopping instance refuses what it could not finish",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/stream/x");
  Item.Engine.stopAdmitting();
  Item.request("/stream/y");
  CHECK(Item.Calls.size() == 1);
  REQUIRE(Item.Answers.size() == 1);
  CHECK(Relay::promisesNotRun(Item.Answers[0]));
  CHECK(Item.Engine.inFlight() == 1);
}

// A content that crashes what runs it comes again with the same body.
TEST_CASE("A content that crashes upstreams is held back", "[RelayEngine]") {
  Relay Item;
  for (int Count = 1; Count <= 2; ++Count) {
    Item.request("/stream/x", "poison");
    Item.fail(UpstreamFailure::Closed);
    Item.Engine.setUsable(Relay::entries(std::chrono::seconds(Count)),
                          Item.Now);
  }
  const std::size_t Before = Item.Calls.size();
  Item.request("/stream/x", "poison");
  CHECK(Item.Calls.size() == Before);
  CHECK(Item.Answers.back().Status == 422);
  Item.request("/stream/x", "harmless");
  CHECK(Item.Calls.size() == Before + 1);
}

TEST_CASE("Connections that break put no content under quarantine",
          "[RelayEngine]") {
  Relay Item;
  for (int Count = 0; Count < 6; ++Count) {
    Item.request("/stream/x", "harmless");
    Item.fail(UpstreamFailure::Closed);
    Item.wait(5s);
  }
  CHECK(Item.Calls.size() == 6);
}

// Load pattern: most callers of a failure domain come to an instance whose own
// link is full, so that no connection opens in time, to whichever upstream.
TEST_CASE("A congested instance waits for its link instead of trying every "
          "upstream",
          "[RelayEngine]") {
  Relay Item;
  Item.addUpstreams(30);
  constexpr std::size_t Calls = 200;
  for (std::size_t Number = 0; Number < Calls; ++Number) {
    Item.request("/post/x");
    Item.wait(10ms);
    // Connections time out 300 ms after each was begun.
    while (Item.Calls.size() > Item.TimedOut + 30)
      Item.timeOutOldest();
  }
  // Calls are sent once; only those before the first signs are tried again.
  CHECK(Item.Calls.size() < Calls + 10);
  CHECK(Item.Calls.back().ConnectTimeout >= 2s);
  // Those that end are told so truly, with a time to come back.
  CHECK(Item.Answers.size() > Calls / 2);
  for (const Answer &Made : Item.Answers) {
    CHECK(Made.Status == 503);
    CHECK(findHeader(Made.Headers, "Retry-After") != nullptr);
  }
  // Once the link is free the next call is treated as any.
  Item.wait(1s);
  const std::size_t Before = Item.Calls.size();
  Item.request("/post/x");
  REQUIRE(Item.Calls.size() == Before + 1);
  CHECK(Item.Calls.back().ConnectTimeout <= 300ms);
  Item.head(200);
  Item.end();
  CHECK(Item.Answers.back().Status == 200);
}

// Load pattern: a quarter of the upstreams goes dark.
TEST_CASE("Dark upstreams do not make an instance count itself congested",
          "[RelayEngine]") {
  Relay Item;
  Item.addUpstreams(30);
  int Refused = 0;
  for (int Number = 0; Number < 400; ++Number) {
    const std::size_t Before = Item.Answers.size();
    Item.request("/post/x");
    Item.wait(10ms);
    while (Item.Answers.size() == Before) {
      const int Place = std::stoi(Item.Calls.back().Upstream.Value.substr(1));
      if (Place % 4 == 0) {
        Item.fail(UpstreamFailure::ConnectTimedOut);
        continue;
      }
      Item.head(200);
      Item.end();
    }
    Refused += Item.Answers.back().Status == 200 ? 0 : 1;
  }
  CHECK(Refused == 0);
}

constexpr std::size_t Mebibyte = std::size_t{1024} * 1024;

/// Feeds one answer without end until its call is cut, or a mebibyte is read.
std::size_t readEndless(Relay &Item, const std::string &Part) {
  std::size_t Read = 0;
  while (Read < Mebibyte && Item.Cancelled.empty()) {
    Item.bytes(Part.c_str());
    Read += Part.size();
  }
  return Read;
}

TEST_CASE("An event without end is cut, and its upstream's connection closed",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/stream/x");
  Item.head(200);
  Item.bytes("id: 1\ndata: a\n\n");
  CHECK(readEndless(Item, std::string(1000, 'x')) < Mebibyte);
  CHECK(Item.Cancelled.size() == 1);
  CHECK(Item.Disconnected == 1);
  CHECK(Item.Text == "id: 1\ndata: a\n\n");
}

TEST_CASE("A rejection whose body has no end is taken at its word",
          "[RelayEngine]") {
  Relay Item;
  Item.request("/post/x");
  Item.head(503, {{"Not-Run", "1"}});
  CHECK(readEndless(Item, std::string(1000, 'x')) < Mebibyte);
  REQUIRE(Item.Cancelled.size() == 1);
  // It did not run, so another upstream is asked.
  REQUIRE(Item.Calls.size() == 2);
  Item.head(200);
  Item.bytes("body");
  Item.end();
  CHECK(Item.Answers.at(0).Status == 200);
}

// Load pattern: a faulty upstream sends bytes without end to many calls.
TEST_CASE("Answers without end take a bounded memory together",
          "[RelayEngine]") {
  Relay Item;
  constexpr int Calls = 40;
  for (int Number = 0; Number < Calls; ++Number) {
    Item.request("/post/x");
    Item.head(200);
  }
  const std::string Part(std::size_t{64} * 1024, 'x');
  std::size_t Held = 0;
  std::size_t Most = 0;
  std::map<AttemptId, std::size_t> Read;
  for (int Round = 0; Round < 100; ++Round)
    for (const UpstreamCall &Call : Item.Calls) {
      if (std::count(Item.Cancelled.begin(), Item.Cancelled.end(),
                     Call.Attempt) > 0)
        continue;
      Item.Engine.onUpstreamBytes(Call.Attempt, Part, Item.Now);
      Read[Call.Attempt] += Part.size();
      Held = 0;
      for (const auto &[Attempt, Bytes] : Read)
        if (std::count(Item.Cancelled.begin(), Item.Cancelled.end(), Attempt) ==
            0)
          Held += Bytes;
      Most = std::max(Most, Held);
    }
  // The smallest instance has 88 MB.
  CHECK(Most <= 44 * Mebibyte);
}

} // namespace
} // namespace bronzeward
