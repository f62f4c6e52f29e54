#include "bronzeward/Relay"

#include "test/support/RelayFixture.h"

#include <algorithm>
#include <map>

namespace bronzeward {
namespace {

using fakes::RelayFixture;
using fakes::routeOf;

TEST_CASE("An answer is passed on with its status, headers and body",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(Fixture.Calls[0].Target == "/post/x");
  Fixture.head(201, {{"Signature", "s"}});
  Fixture.bytes("body");
  Fixture.end();
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 201);
  CHECK(Fixture.Answers[0].Body == "body");
  CHECK(findHeader(Fixture.Answers[0].Headers, "Signature") != nullptr);
  CHECK(Fixture.Engine.inFlight() == 0);
}

TEST_CASE("A call that may have run is not reported as not run",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 502);
  CHECK(Fixture.Calls.size() == 1);
}

TEST_CASE("A rejected call is retried at other upstreams, then refused",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Fixture.head(503, {{"Not-Run", "1"}});
    Fixture.end();
  }
  REQUIRE(Fixture.Calls.size() == 3);
  CHECK(Fixture.Calls[0].Upstream != Fixture.Calls[1].Upstream);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 503);
  CHECK(findHeader(Fixture.Answers[0].Headers, "Retry-After") != nullptr);
}

TEST_CASE("Upstreams are required to name the call that they answer",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  CHECK(Fixture.Calls[0].MatchRequired);
  CHECK(Fixture.Calls[0].Match.Value == "call-1");
}

// Guards against a promise to callers that the upstream did not make: only the
// statement that a call has not run counts, whatever the status.
TEST_CASE("A status alone does not report a call as not run", "[RelayEngine]") {
  for (const std::uint16_t Status : {408, 429, 503})
    for (const char *Target : {"/post/x", "/stream/x"}) {
      RelayFixture Fixture;
      Fixture.request(Target);
      Fixture.head(Status, {{"Signature", "s"}});
      Fixture.bytes("busy");
      Fixture.end();
      CHECK(Fixture.Calls.size() == 1);
      REQUIRE(Fixture.Answers.size() == 1);
      CHECK(Fixture.Answers[0].Status == 502);
      CHECK(findHeader(Fixture.Answers[0].Headers, "Signature") == nullptr);
    }
}

TEST_CASE("A rejection whose body breaks off still counts as not run",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  Fixture.head(503, {{"Not-Run", "1"}});
  Fixture.bytes("bu");
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.head(200);
  Fixture.end();
  CHECK(Fixture.Answers.at(0).Status == 200);
}

TEST_CASE("A rejection of an attempt that has ended is ignored",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  const AttemptId Rejected = Fixture.Calls[0].Attempt;
  const auto Reject = [&] {
    Fixture.Engine.onUpstreamHead(Rejected, {503, {{"Not-Run", "1"}}},
                                  Fixture.Now);
    Fixture.Engine.onUpstreamEnd(Rejected, Fixture.Now);
    Fixture.Engine.onUpstreamFailure(Rejected, UpstreamFailure::Closed,
                                     Fixture.Now);
  };
  Reject();
  REQUIRE(Fixture.Calls.size() == 2);
  Reject();
  CHECK(Fixture.Calls.size() == 2);
  CHECK(Fixture.Answers.empty());
  Fixture.fail(UpstreamFailure::Closed);
  Reject();
  CHECK(Fixture.Calls.size() == 2);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 502);
}

// Load pattern: a service is replaced under load, and its registry entries are
// updated later than its upstreams announce their shutdown in answers.
TEST_CASE("An upstream that announces its shutdown gets no further call",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  const UpstreamName Leaving = Fixture.Calls[0].Upstream;
  Fixture.head(200, {{"Leaving", "1"}});
  Fixture.end();
  // Its entry expires and reappears with the same start time.
  std::vector<UpstreamEntry> Others = RelayFixture::entries(0ms);
  std::erase_if(Others, [&](const UpstreamEntry &Entry) {
    return Entry.Name == Leaving;
  });
  Fixture.Engine.setUsable(Others, Fixture.Now);
  Fixture.Engine.setUsable(RelayFixture::entries(0ms), Fixture.Now);
  for (int Count = 0; Count < 40; ++Count) {
    Fixture.wait(500ms);
    Fixture.request("/get/x");
    CHECK(Fixture.Calls.back().Upstream != Leaving);
    Fixture.head(200);
    Fixture.end();
  }
}

TEST_CASE("An upstream that shuts down gets no call even if no other is left",
          "[RelayEngine]") {
  RelayFixture Fixture;
  for (int Count = 0; Count < 3; ++Count) {
    Fixture.request("/post/x");
    Fixture.head(200, {{"Leaving", "1"}});
    Fixture.end();
  }
  REQUIRE(Fixture.Calls.size() == 3);
  Fixture.request("/post/x");
  CHECK(Fixture.Calls.size() == 3);
  CHECK(Fixture.Answers.back().Status == 503);
  // Restarted upstreams with the same names get calls again.
  Fixture.Engine.setUsable(RelayFixture::entries(5ms), Fixture.Now);
  Fixture.request("/post/x");
  CHECK(Fixture.Calls.size() == 4);
}

// Load pattern: every upstream asks this instance to back off.
TEST_CASE("Upstreams get no calls during the back-off they asked for",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Fixture.head(503, {{"Not-Run", "1"}, {"Back-Off", "2"}});
    Fixture.end();
  }
  REQUIRE(Fixture.Calls.size() == 3);
  for (int Count = 0; Count < 18; ++Count) {
    Fixture.wait(100ms);
    Fixture.request("/get/x");
    CHECK(Fixture.Answers.back().Status == 503);
  }
  CHECK(Fixture.Calls.size() == 3);
  Fixture.wait(300ms);
  Fixture.request("/get/x");
  CHECK(Fixture.Calls.size() == 4);
}

TEST_CASE("Retry-After of a refusal covers the back-off of the upstreams",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  for (int Count = 0; Count < 3; ++Count) {
    Fixture.head(503, {{"Not-Run", "1"}, {"Back-Off", "2"}});
    Fixture.end();
  }
  Fixture.request("/get/x");
  const std::string *After =
      findHeader(Fixture.Answers.back().Headers, "Retry-After");
  REQUIRE(After != nullptr);
  CHECK(std::stod(*After) >= 2.0);
}

// Load pattern: the only upstream of a service limits its rate.
TEST_CASE("A call waits briefly for a rate-limited upstream, or is refused "
          "with the time until it accepts calls",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(1);
  Fixture.request("/get/x");
  Fixture.head(200, {{"Rate-Limit", "10"}});
  Fixture.end();
  Fixture.request("/get/x");
  CHECK(Fixture.Calls.size() == 1);
  Fixture.wait(0ms);
  Fixture.wait(100ms);
  CHECK(Fixture.Calls.size() == 2);
  Fixture.head(200, {{"Rate-Limit", "0.5"}});
  Fixture.end();
  Fixture.wait(500ms);
  const std::size_t Before = Fixture.Answers.size();
  Fixture.request("/get/x");
  Fixture.wait(0ms);
  REQUIRE(Fixture.Answers.size() == Before + 1);
  CHECK(Fixture.Answers.back().Status == 503);
  CHECK(std::stod(*findHeader(Fixture.Answers.back().Headers, "Retry-After")) >=
        1.0);
  CHECK(Fixture.Calls.size() == 2);
}

TEST_CASE("Retries count against an upstream's rate limit", "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(2);
  for (int Count = 0; Count < 2; ++Count) {
    Fixture.request("/post/x");
    Fixture.head(200, {{"Rate-Limit", "0"}});
    Fixture.end();
  }
  REQUIRE(Fixture.Calls.size() == 2);
  REQUIRE(Fixture.Calls[0].Upstream != Fixture.Calls[1].Upstream);
  Fixture.wait(10s);
  Fixture.request("/get/x");
  Fixture.wait(10s);
  Fixture.request("/get/x");
  Fixture.wait(0ms);
  REQUIRE(Fixture.Calls.size() == 3);
  Fixture.head(500, {{"Rate-Limit", "0"}});
  Fixture.end();
  CHECK(Fixture.Calls.size() == 3);
}

TEST_CASE("An answer of another upstream neither limits nor stops the calls",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(1);
  Fixture.request("/post/x");
  Fixture.head(421, {{"Not-Run", "1"},
                     {"Misdirected", "1"},
                     {"Rate-Limit", "0"},
                     {"Leaving", "1"}});
  CHECK(Fixture.Limits.limited() == 0);
  Fixture.end();
  Fixture.wait(5s);
  Fixture.request("/post/x");
  CHECK(Fixture.Calls.size() == 2);
}

// Load pattern: a burst of calls at one of several instances, with upstreams
// that accept few connections from all instances together.
TEST_CASE("An instance stays within its share of an upstream's connections",
          "[RelayEngine]") {
  RelayFixture Fixture;
  FleetConfiguration Accepted;
  Accepted.Version = {2};
  Accepted.Routes = {routeOf("/post/", CallKind::NonIdempotent, 1)};
  Accepted.Services = {{ServiceName{"s"}, 20, 0}};
  Fixture.Engine.configure(std::move(Accepted), Fixture.Now);
  std::vector<Member> Fleet;
  Fleet.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Fleet.push_back({Incarnation{InstanceId{"i" + std::to_string(Index)}, 1},
                     FailureDomain{"a"}, "", false});
  Fixture.Members.update(Fleet);
  for (int Count = 0; Count < 30; ++Count)
    Fixture.request("/post/x");
  // Three upstreams with twenty connections each, shared by four instances.
  CHECK(Fixture.Calls.size() == 15);
  CHECK(Fixture.Answers.size() == 15);
  CHECK(Fixture.Answers.back().Status == 503);
}

TEST_CASE("A failed repeatable call is retried at another upstream",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/get/x");
  Fixture.head(500);
  Fixture.end();
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls[0].Upstream != Fixture.Calls[1].Upstream);
  Fixture.head(200);
  Fixture.bytes("ok");
  Fixture.end();
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Body == "ok");
}

TEST_CASE("A call is not attempted more often than its route allows",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/get/x");
  for (int Count = 0; Count < 2; ++Count) {
    Fixture.head(500, {{"Signature", "s"}});
    Fixture.end();
  }
  CHECK(Fixture.Calls.size() == 2);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 500);
}

TEST_CASE("A repeatable call is retried if its upstream stays silent",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/get/x");
  Fixture.wait(400ms);
  CHECK(Fixture.Calls.size() == 2);
  CHECK(Fixture.Cancelled.size() == 1);
  RelayFixture NonRepeatable;
  NonRepeatable.request("/post/x");
  NonRepeatable.wait(400ms);
  CHECK(NonRepeatable.Calls.size() == 1);
}

TEST_CASE("An interrupted stream disconnects its caller", "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x");
  Fixture.head(200);
  Fixture.bytes("id: 1\n\nid: 2\nha");
  CHECK(Fixture.Text == "id: 1\n\n");
  Fixture.fail(UpstreamFailure::Closed);
  CHECK(Fixture.Disconnected == 1);
  CHECK(Fixture.CompleteStreams == 0);
}

TEST_CASE("A stream that ends within an event disconnects its caller",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x");
  Fixture.head(200);
  Fixture.bytes("id: 1\n\nid: 2\nha");
  Fixture.end();
  CHECK(Fixture.Disconnected == 1);
  CHECK(Fixture.CompleteStreams == 0);
}

TEST_CASE("A resumable stream continues at another upstream as one answer",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/resume/x");
  Fixture.head(200);
  Fixture.bytes("id: 1\n\nid: 2\n\nid: 3\nha");
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(*findHeader(Fixture.Calls[1].Headers, "Last") == "2");
  Fixture.head(200);
  Fixture.bytes("id: 3\n\n");
  Fixture.end();
  CHECK(Fixture.Text == "id: 1\n\nid: 2\n\nid: 3\n\n");
  CHECK(Fixture.Streams == 1);
  CHECK(Fixture.CompleteStreams == 1);
}

// Guards against a stream that looks complete although its resumption failed.
TEST_CASE("A stream whose resumption is refused disconnects its caller",
          "[RelayEngine]") {
  for (const std::uint16_t Status : {404, 408, 429, 500, 503}) {
    RelayFixture Fixture;
    Fixture.request("/resume/x");
    Fixture.head(200);
    Fixture.bytes("id: 1\n\n");
    Fixture.fail(UpstreamFailure::Closed);
    REQUIRE(Fixture.Calls.size() == 2);
    Fixture.head(Status);
    Fixture.end();
    CHECK(Fixture.CompleteStreams == 0);
    CHECK(Fixture.Disconnected == 1);
    CHECK(Fixture.Answers.empty());
  }
}

TEST_CASE("The remaining time is sent to the upstream and enforced",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/get/x");
  CHECK(*findHeader(Fixture.Calls[0].Headers, "Left") == "6000");
  Fixture.wait(400ms);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(*findHeader(Fixture.Calls[1].Headers, "Left") == "5600");
  Fixture.wait(5600ms);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 504);
  CHECK(Fixture.Engine.inFlight() == 0);
}

TEST_CASE("A call is cancelled at its upstream if the caller disconnects",
          "[RelayEngine]") {
  RelayFixture Fixture;
  const CallerTicket Ticket = Fixture.request("/stream/x");
  Fixture.Engine.onCallerGone(Ticket, Fixture.Now);
  REQUIRE(Fixture.Cancelled.size() == 1);
  CHECK(Fixture.Cancelled[0] == Fixture.Calls[0].Attempt);
  CHECK(Fixture.Engine.inFlight() == 0);
}

// Guards against faults that are held against an upstream to which nothing was
// sent, and against a retry for a caller that has left.
TEST_CASE("A call whose caller left before it was sent ends without a retry",
          "[RelayEngine]") {
  RelayFixture Fixture;
  for (const char *Target : {"/get/x", "/post/x", "/stream/x", "/resume/x"}) {
    const std::size_t Before = Fixture.Calls.size();
    Fixture.request(Target);
    Fixture.fail(UpstreamFailure::CallerLeft);
    CHECK(Fixture.Calls.size() == Before + 1);
    CHECK(Fixture.Engine.inFlight() == 0);
  }
  CHECK(Fixture.Answers.empty());
  CHECK(Fixture.Disconnected == 4);
  CHECK(Fixture.Engine.counters().CallersGone == 4);
  CHECK(Fixture.Engine.counters().Retries == 0);
}

// Guards against late requests at an upstream that left while the connection
// for a call was opened.
TEST_CASE("A call that is not sent yet moves when its upstream is removed",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  REQUIRE(Fixture.Calls.size() == 1);
  const UpstreamCall First = Fixture.Calls[0];
  CHECK_FALSE(First.Availability->withdrawn());
  std::vector<UpstreamEntry> Left = RelayFixture::entries(0ms);
  std::erase_if(Left, [&](const UpstreamEntry &Entry) {
    return Entry.Name == First.Upstream;
  });
  Fixture.Engine.setUsable(Left, Fixture.Now);
  CHECK(First.Availability->withdrawn());
  Fixture.fail(UpstreamFailure::Withdrawn);
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(Fixture.Calls[1].Upstream != First.Upstream);
  CHECK_FALSE(Fixture.Calls[1].Availability->withdrawn());
  CHECK(Fixture.Answers.empty());
}

/// \brief Presence that the test controls.
class ManualPresence : public CallerPresence {
public:
  [[nodiscard]] bool hasLeft() const override { return Left; }
  bool Left = false;
};

TEST_CASE("The caller's presence is checked before each attempt",
          "[RelayEngine]") {
  RelayFixture Fixture;
  const std::shared_ptr<ManualPresence> Presence =
      std::make_shared<ManualPresence>();
  const auto Request = [&](const char *Target) {
    CallerRequest In;
    In.Ticket = CallerTicket{++Fixture.LastTicket};
    In.Method = "POST";
    In.Target = Target;
    In.Host = "h";
    In.Presence = Presence;
    Fixture.Engine.onCallerRequest(std::move(In), Fixture.Now);
  };
  for (const char *Target : {"/get/x", "/resume/x"}) {
    Presence->Left = false;
    Request(Target);
    CHECK(Fixture.Calls.back().Presence == Presence);
    const std::size_t Sent = Fixture.Calls.size();
    Presence->Left = true;
    Fixture.fail(UpstreamFailure::Closed);
    Request(Target);
    CHECK(Fixture.Calls.size() == Sent);
    CHECK(Fixture.Engine.inFlight() == 0);
  }
  CHECK(Fixture.Disconnected == 4);
  CHECK(Fixture.Answers.empty());
}

TEST_CASE("A stream whose resumption was not sent disconnects its caller",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/resume/x");
  Fixture.head(200);
  Fixture.bytes("id: 1\n\n");
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.fail(UpstreamFailure::CallerLeft);
  CHECK(Fixture.CompleteStreams == 0);
  CHECK(Fixture.Disconnected == 1);
  CHECK(Fixture.Engine.inFlight() == 0);
}

TEST_CASE("Calls without a route or an upstream are refused as not run",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/none/x");
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(Fixture.Answers[0].Status == 404);
  Fixture.Engine.setUsable({}, Fixture.Now);
  Fixture.request("/post/x");
  REQUIRE(Fixture.Answers.size() == 2);
  CHECK(RelayFixture::promisesNotRun(Fixture.Answers[1]));
  CHECK(Fixture.Calls.empty());
}

// Guards against calls that are cut off at shutdown: while all instances of a
// failure domain stop, callers continue to connect, and calls admitted late
// were still running when the shutdown timeout ended.
TEST_CASE("A stopping instance refuses new calls", "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x");
  Fixture.Engine.admitOnlyUntil(Fixture.Now);
  Fixture.request("/stream/y");
  CHECK(Fixture.Calls.size() == 1);
  REQUIRE(Fixture.Answers.size() == 1);
  CHECK(RelayFixture::promisesNotRun(Fixture.Answers[0]));
  CHECK(Fixture.Engine.inFlight() == 1);
}

// A request whose content crashes upstreams is sent again with the same body.
TEST_CASE("A content that crashes upstreams is quarantined", "[RelayEngine]") {
  RelayFixture Fixture;
  for (int Count = 1; Count <= 3; ++Count) {
    Fixture.request("/stream/x", "poison");
    Fixture.fail(UpstreamFailure::Closed);
    Fixture.Engine.setUsable(RelayFixture::entries(std::chrono::seconds(Count)),
                             Fixture.Now);
    Fixture.wait(1s);
    Fixture.Engine.reviewParts(Fixture.Now);
  }
  const std::size_t Before = Fixture.Calls.size();
  Fixture.request("/stream/x", "poison");
  CHECK(Fixture.Calls.size() == Before);
  CHECK(Fixture.Answers.back().Status == 422);
  Fixture.request("/stream/x", "harmless");
  CHECK(Fixture.Calls.size() == Before + 1);
}

TEST_CASE("Broken connections without a crash quarantine no content",
          "[RelayEngine]") {
  RelayFixture Fixture;
  for (int Count = 0; Count < 6; ++Count) {
    Fixture.request("/stream/x", "harmless");
    Fixture.fail(UpstreamFailure::Closed);
    Fixture.wait(5s);
  }
  CHECK(Fixture.Calls.size() == 6);
}

// Load pattern: most callers of a failure domain connect to an instance whose
// own link is saturated, so that connections to all upstreams time out.
TEST_CASE("A congested instance waits for its link instead of retrying at "
          "other upstreams",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(30);
  constexpr std::size_t Calls = 200;
  for (std::size_t Number = 0; Number < Calls; ++Number) {
    Fixture.request("/post/x");
    Fixture.wait(10ms);
    // Each connection times out after 300 ms.
    while (Fixture.Calls.size() > Fixture.TimedOut + 30)
      Fixture.timeOutOldest();
  }
  // Calls are sent once. Only those before congestion is detected are retried.
  CHECK(Fixture.Calls.size() < Calls + 10);
  CHECK(Fixture.Calls.back().ConnectTimeout >= 2s);
  // Calls that fail are refused as not run, with a Retry-After header.
  CHECK(Fixture.Answers.size() > Calls / 2);
  for (const Answer &Response : Fixture.Answers) {
    CHECK(Response.Status == 503);
    CHECK(findHeader(Response.Headers, "Retry-After") != nullptr);
  }
  // Once the link is free, the next call has the normal connect timeout.
  Fixture.wait(1s);
  const std::size_t Before = Fixture.Calls.size();
  Fixture.request("/post/x");
  REQUIRE(Fixture.Calls.size() == Before + 1);
  CHECK(Fixture.Calls.back().ConnectTimeout <= 300ms);
  Fixture.head(200);
  Fixture.end();
  CHECK(Fixture.Answers.back().Status == 200);
}

// Load pattern: a quarter of the upstreams becomes unreachable.
TEST_CASE("Unreachable upstreams are not taken for local congestion",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(30);
  int Refused = 0;
  for (int Number = 0; Number < 400; ++Number) {
    const std::size_t Before = Fixture.Answers.size();
    Fixture.request("/post/x");
    Fixture.wait(10ms);
    while (Fixture.Answers.size() == Before) {
      const int Index =
          std::stoi(Fixture.Calls.back().Upstream.Value.substr(1));
      if (Index % 4 == 0) {
        Fixture.fail(UpstreamFailure::ConnectTimedOut);
        continue;
      }
      Fixture.head(200);
      Fixture.end();
    }
    Refused += Fixture.Answers.back().Status == 200 ? 0 : 1;
  }
  CHECK(Refused == 0);
}

constexpr std::size_t Mebibyte = std::size_t{1024} * 1024;

/// Feeds an endless answer until its call is cancelled or a mebibyte was read.
/// \returns the number of bytes fed.
std::size_t feedEndless(RelayFixture &Fixture, const std::string &StreamPart) {
  std::size_t Read = 0;
  while (Read < Mebibyte && Fixture.Cancelled.empty()) {
    Fixture.bytes(StreamPart.c_str());
    Read += StreamPart.size();
  }
  return Read;
}

TEST_CASE("An endless event is aborted and its upstream's connection closed",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x");
  Fixture.head(200);
  Fixture.bytes("id: 1\ndata: a\n\n");
  CHECK(feedEndless(Fixture, std::string(1000, 'x')) < Mebibyte);
  CHECK(Fixture.Cancelled.size() == 1);
  CHECK(Fixture.Disconnected == 1);
  CHECK(Fixture.Text == "id: 1\ndata: a\n\n");
}

TEST_CASE("A rejection with an endless body still counts as not run",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/post/x");
  Fixture.head(503, {{"Not-Run", "1"}});
  CHECK(feedEndless(Fixture, std::string(1000, 'x')) < Mebibyte);
  REQUIRE(Fixture.Cancelled.size() == 1);
  // The call did not run, so it is sent to another upstream.
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.head(200);
  Fixture.bytes("body");
  Fixture.end();
  CHECK(Fixture.Answers.at(0).Status == 200);
}

// Load pattern: a faulty upstream sends endless answers to many calls.
TEST_CASE("The memory of all buffered answers together is bounded",
          "[RelayEngine]") {
  RelayFixture Fixture;
  constexpr int Calls = 40;
  for (int Number = 0; Number < Calls; ++Number) {
    Fixture.request("/post/x");
    Fixture.head(200);
  }
  const std::string StreamPart(std::size_t{64} * 1024, 'x');
  std::size_t Buffered = 0;
  std::size_t MaxBuffered = 0;
  std::map<AttemptId, std::size_t> Read;
  for (int Round = 0; Round < 100; ++Round)
    for (const UpstreamCall &Call : Fixture.Calls) {
      if (std::count(Fixture.Cancelled.begin(), Fixture.Cancelled.end(),
                     Call.Attempt) > 0)
        continue;
      Fixture.Engine.onUpstreamBytes(Call.Attempt, StreamPart, Fixture.Now);
      Read[Call.Attempt] += StreamPart.size();
      Buffered = 0;
      for (const auto &[Attempt, Bytes] : Read)
        if (std::count(Fixture.Cancelled.begin(), Fixture.Cancelled.end(),
                       Attempt) == 0)
          Buffered += Bytes;
      MaxBuffered = std::max(MaxBuffered, Buffered);
    }
  // The smallest instance has 88 MB.
  CHECK(MaxBuffered <= 44 * Mebibyte);
}

// Load pattern: connections that merely break, beside upstreams that crash.
TEST_CASE("A broken answer is a crash only if the upstream refuses connections",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x", "", {{"Parts", "p,own"}});
  Fixture.head(200);
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Probes ==
          std::vector<UpstreamName>{Fixture.Calls.back().Upstream});
  CHECK_FALSE(Fixture.Engine.partQuarantine().hasUnsent());
  Fixture.Engine.onUpstreamRefused(Fixture.Probes.back(), Fixture.Now);
  const PartNews News = Fixture.Engine.partQuarantine().takeUnsent(Fixture.Now);
  REQUIRE(News.Crashes.size() == 1);
  CHECK(News.Crashes.front().Upstream.Name == Fixture.Probes.back());
  // The last part belongs to the call; the content is a suspect of its own.
  const std::vector<PartId> &Suspects = News.Crashes.front().Parts;
  REQUIRE(Suspects.size() == 2);
  CHECK(isContent(Suspects[0]));
  CHECK_FALSE(isContent(Suspects[1]));
}

// Failure: an upstream that crashed in silence and whose address had a new
// occupant was not known to have crashed if its registry entry lived on.
TEST_CASE("Another upstream at the address proves that a silent one crashed",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(1);
  Fixture.request("/post/x", "same");
  Fixture.wait(6s);
  REQUIRE(Fixture.Answers.size() == 1);
  Fixture.request("/post/y");
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.head(421, {{"Not-Run", "1"}, {"Misdirected", "1"}});
  Fixture.bytes("of another");
  const PartNews News = Fixture.Engine.partQuarantine().takeUnsent(Fixture.Now);
  REQUIRE(News.Crashes.size() == 1);
  CHECK(News.Crashes.front().Upstream.Name == Fixture.Calls.front().Upstream);
  CHECK(News.Crashes.front().Parts.size() == 1);
}

TEST_CASE("An upstream that announced its shutdown did not crash",
          "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.addUpstreams(1);
  Fixture.request("/post/x", "same");
  Fixture.wait(6s);
  Fixture.request("/post/y");
  REQUIRE(Fixture.Calls.size() == 2);
  Fixture.Engine.setUsable({}, Fixture.Now);
  Fixture.head(421, {{"Not-Run", "1"}, {"Misdirected", "1"}});
  CHECK_FALSE(Fixture.Engine.partQuarantine().hasUnsent());
}

// Guards against a part that crashes upstreams late in their answers.
TEST_CASE("A call is a suspect at any time of its answer", "[RelayEngine]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x", "", {{"Parts", "p,own"}});
  Fixture.head(200);
  Fixture.bytes("id: 1\n\n");
  Fixture.wait(400ms);
  Fixture.bytes("id: 2\n\n");
  Fixture.fail(UpstreamFailure::Closed);
  Fixture.Engine.onUpstreamRefused(Fixture.Calls.back().Upstream, Fixture.Now);
  const PartNews News = Fixture.Engine.partQuarantine().takeUnsent(Fixture.Now);
  REQUIRE(News.Crashes.size() == 1);
  CHECK(News.Crashes.front().Parts.size() == 2);
}

TEST_CASE("Calls of one content at one crash count once", "[RelayEngine]") {
  RelayFixture Fixture;
  for (int Count = 0; Count < 6; ++Count)
    Fixture.request("/stream/x", "same");
  for (const UpstreamCall &Call : std::vector<UpstreamCall>(Fixture.Calls))
    Fixture.Engine.onUpstreamFailure(Call.Attempt, UpstreamFailure::Closed,
                                     Fixture.Now);
  for (const UpstreamCall &Call : std::vector<UpstreamCall>(Fixture.Calls))
    Fixture.Engine.onUpstreamRefused(Call.Upstream, Fixture.Now);
  Fixture.wait(1s);
  Fixture.Engine.reviewParts(Fixture.Now);
  CHECK(Fixture.Engine.partQuarantine().quarantinedParts(Fixture.Now).empty());
}

} // namespace
} // namespace bronzeward
