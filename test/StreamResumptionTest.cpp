#include "bronzeward/Relay"

#include "test/support/RelayFixture.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace bronzeward {
namespace {

using fakes::RelayFixture;

/// Begins a resumable stream that breaks after two events.
void breakAfterTwoEvents(RelayFixture &Fixture) {
  Fixture.request("/resume/x");
  Fixture.head(200, {{"Content-Type", "text/event-stream"}});
  Fixture.bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  Fixture.fail(UpstreamFailure::Closed);
  REQUIRE(Fixture.Calls.size() == 2);
}

/// Checks that the caller has just the first two events and sees that its
/// stream was cut.
void checkCutAfterTwoEvents(const RelayFixture &Fixture) {
  CHECK(Fixture.Text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Fixture.CompleteStreams == 0);
  CHECK(Fixture.Disconnected == 1);
  CHECK(Fixture.Answers.empty());
  CHECK(Fixture.Engine.inFlight() == 0);
}

// Guards against a stream without its tail that looks complete: the upstream
// that is asked to resume it answers with an error.
TEST_CASE("An error in answer to a resumption cuts the stream",
          "[StreamResumption]") {
  for (const std::uint16_t Status : {302, 400, 404, 409, 500, 503}) {
    CAPTURE(Status);
    RelayFixture Fixture;
    breakAfterTwoEvents(Fixture);
    Fixture.head(Status, {{"Content-Type", "text/plain"}});
    Fixture.bytes("id: 3\ndata: error\n\n");
    Fixture.end();
    checkCutAfterTwoEvents(Fixture);
  }
}

TEST_CASE("An answer that is no event stream does not resume one",
          "[StreamResumption]") {
  RelayFixture Fixture;
  breakAfterTwoEvents(Fixture);
  SECTION("Another content type") {
    Fixture.head(200, {{"Content-Type", "text/html"}});
    Fixture.bytes("id: 3\ndata: <p>\n\n");
  }
  SECTION("A content coding") {
    Fixture.head(200, {{"Content-Type", "text/event-stream"},
                       {"Content-Encoding", "gzip"}});
    Fixture.bytes("id: 3\ndata: c\n\n");
  }
  SECTION("Another status") {
    Fixture.head(206, {{"Content-Type", "text/event-stream"}});
    Fixture.bytes("id: 3\ndata: c\n\n");
  }
  Fixture.end();
  checkCutAfterTwoEvents(Fixture);
}

TEST_CASE("Parameters of the content type do not prevent a resumption",
          "[StreamResumption]") {
  RelayFixture Fixture;
  breakAfterTwoEvents(Fixture);
  Fixture.head(200, {{"Content-Type", "Text/Event-Stream ; charset=utf-8"}});
  Fixture.bytes("id: 3\n\n");
  Fixture.end();
  CHECK(Fixture.CompleteStreams == 1);
}

/// Lets the second upstream send a text and end whole.
void resumeWith(RelayFixture &Fixture, const char *Text) {
  Fixture.head(200, {{"Content-Type", "text/event-stream"}});
  Fixture.bytes(Text);
  Fixture.end();
}

// Guards against a hole: the upstream that resumes a stream starts too late.
TEST_CASE("A resumption that starts too late cuts the stream",
          "[StreamResumption]") {
  RelayFixture Fixture;
  breakAfterTwoEvents(Fixture);
  SECTION("One event late") { resumeWith(Fixture, "id: 4\ndata: d\n\n"); }
  SECTION("After events that the caller has, without the last of them") {
    resumeWith(Fixture, "id: 1\ndata: a\n\nid: 4\ndata: d\n\n");
  }
  SECTION("Past the end") { resumeWith(Fixture, ""); }
  SECTION("At the start, and ends before the last event that was sent") {
    resumeWith(Fixture, "id: 1\ndata: a\n\n");
  }
  checkCutAfterTwoEvents(Fixture);
}

// Guards against events that come twice: without an id it cannot be told
// whether the caller has them.
TEST_CASE("A resumption without usable ids cuts the stream",
          "[StreamResumption]") {
  for (const char *Id : {"", "id:\n", "id: 3x\n", "id: -3\n", "id: three\n",
                         "id: 99999999999999999999\n", "id\n"}) {
    CAPTURE(Id);
    RelayFixture Fixture;
    breakAfterTwoEvents(Fixture);
    resumeWith(Fixture, (std::string(Id) + "data: c\n\n").c_str());
    checkCutAfterTwoEvents(Fixture);
  }
}

TEST_CASE("A stream whose last event has no usable id is not resumed",
          "[StreamResumption]") {
  for (const char *Last :
       {"data: c\n\n", "id: 99999999999999999999\ndata: c\n\n",
        "id: 3\nid:\ndata: c\n\n"}) {
    CAPTURE(Last);
    RelayFixture Fixture;
    Fixture.request("/resume/x");
    Fixture.head(200);
    Fixture.bytes("id: 1\n\nid: 2\n\n");
    Fixture.bytes(Last);
    Fixture.fail(UpstreamFailure::Closed);
    CHECK(Fixture.Calls.size() == 1);
    CHECK(Fixture.Text == std::string("id: 1\n\nid: 2\n\n") + Last);
    CHECK(Fixture.Disconnected == 1);
  }
}

TEST_CASE("A resumption may repeat events that the caller has",
          "[StreamResumption]") {
  RelayFixture Fixture;
  breakAfterTwoEvents(Fixture);
  SECTION("All") {
    resumeWith(Fixture, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n");
  }
  SECTION("The last") { resumeWith(Fixture, "id: 2\ndata: b\n\nid: 3\n\n"); }
  SECTION("The last, and then goes on in a larger step") {
    resumeWith(Fixture, "id: 2\ndata: b\n\nid: 5\n\n");
  }
  CHECK(Fixture.CompleteStreams == 1);
  CHECK(Fixture.Disconnected == 0);
}

TEST_CASE("Ids that rise by more than one are joined at the same step",
          "[StreamResumption]") {
  const auto ResumeAt = [](const char *Text) {
    RelayFixture Fixture;
    Fixture.request("/resume/x");
    Fixture.head(200);
    Fixture.bytes("id: 4\n\nid: 8\n\n");
    Fixture.fail(UpstreamFailure::Closed);
    Fixture.head(200);
    Fixture.bytes(Text);
    Fixture.end();
    return Fixture.CompleteStreams;
  };
  CHECK(ResumeAt("id: 12\n\nid: 14\n\n") == 1);
  CHECK(ResumeAt("id: 10\n\n") == 1);
  CHECK(ResumeAt("id: 16\n\n") == 0);
}

// An upstream's own stream only has to have increasing ids.
TEST_CASE("A stream whose ids rise unevenly is passed on",
          "[StreamResumption]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x");
  Fixture.head(200);
  Fixture.bytes("id: 0\n\nid: 7\n\n: comment\n\nid: 8\n\ndata: end\n\n");
  Fixture.end();
  CHECK(Fixture.Text ==
        "id: 0\n\nid: 7\n\n: comment\n\nid: 8\n\ndata: end\n\n");
  CHECK(Fixture.CompleteStreams == 1);
}

// Guards against an event that is dropped in silence: the ids of one run
// repeat or fall, so that two runs were joined or an event has a wrong number.
TEST_CASE("A stream whose ids do not rise is cut", "[StreamResumption]") {
  for (const char *Next : {"id: 2\ndata: other\n\n", "id: 1\ndata: a\n\n"}) {
    CAPTURE(Next);
    RelayFixture Fixture;
    Fixture.request("/stream/x");
    Fixture.head(200);
    Fixture.bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    Fixture.bytes(Next);
    Fixture.bytes("id: 3\ndata: c\n\n");
    Fixture.end();
    checkCutAfterTwoEvents(Fixture);
  }
}

// Guards against a hole: whole events that arrive together with the start of
// one that is too long count as sent.
TEST_CASE("Events before one that is too long are passed on",
          "[StreamResumption]") {
  RelayFixture Fixture;
  Fixture.request("/resume/x");
  Fixture.head(200);
  const std::string Long(std::size_t{300} * 1024, 'x');
  Fixture.bytes(("id: 1\n\nid: 2\n\nid: 3\ndata: " + Long).c_str());
  REQUIRE(Fixture.Calls.size() == 2);
  CHECK(*findHeader(Fixture.Calls[1].Headers, "Last") == "2");
  CHECK(Fixture.Text == "id: 1\n\nid: 2\n\n");
}

// Guards against events that come twice: a caller resumes a stream, and the
// upstream begins before the event that the caller names.
TEST_CASE("Events up to a caller's own last event are omitted",
          "[StreamResumption]") {
  RelayFixture Fixture;
  Fixture.request("/resume/x", "", {{"Last-Event-Id", "2"}});
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(*findHeader(Fixture.Calls[0].Headers, "Last") == "2");
  SECTION("In one answer") {
    Fixture.head(200);
    Fixture.bytes("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    Fixture.end();
  }
  SECTION("Also if the first upstream breaks") {
    Fixture.fail(UpstreamFailure::Closed);
    REQUIRE(Fixture.Calls.size() == 2);
    CHECK(*findHeader(Fixture.Calls[1].Headers, "Last") == "2");
    Fixture.head(200);
    Fixture.bytes("id: 2\n\nid: 3\n\nid: 4\n\n");
    Fixture.end();
  }
  CHECK(Fixture.Text == "id: 3\n\nid: 4\n\n");
  CHECK(Fixture.CompleteStreams == 1);
}

// The upstream begins such a stream anew, and all of it is one run.
TEST_CASE("Nothing is omitted from a stream that may not be resumed",
          "[StreamResumption]") {
  RelayFixture Fixture;
  Fixture.request("/stream/x", "", {{"Last-Event-Id", "2"}});
  Fixture.head(200);
  Fixture.bytes("id: 1\n\nid: 2\n\nid: 3\n\n");
  Fixture.end();
  CHECK(Fixture.Text == "id: 1\n\nid: 2\n\nid: 3\n\n");
  CHECK(Fixture.CompleteStreams == 1);
}

/// \brief A stream that upstreams break, resume wrongly or answer with errors.
class UnreliableStream {
public:
  explicit UnreliableStream(std::uint64_t Seed) : Source(Seed) {
    FleetConfiguration Accepted;
    Accepted.Version = {2};
    Accepted.Routes = {fakes::routeOf("/resume/", CallKind::Stream, 4, true)};
    Accepted.Services = {{ServiceName{"s"}, 100, 0}};
    Fixture.Engine.configure(std::move(Accepted), Fixture.Now);
    Fixture.addUpstreams(5);
    const std::size_t Count = 2 + Source.below(9);
    const std::size_t FirstId = Source.below(5);
    const std::size_t Step = 1 + Source.below(3);
    const std::string End =
        std::vector<std::string>{"\n", "\r\n", "\r"}[Source.below(3)];
    for (std::size_t Index = 0; Index < Count; ++Index)
      Events.push_back(std::string("id: ")
                           .append(std::to_string(FirstId + Index * Step))
                           .append(End)
                           .append("data: t")
                           .append(std::to_string(Index))
                           .append(End)
                           .append(End));
  }

  void run() {
    Fixture.request("/resume/x");
    while (Fixture.Engine.inFlight() > 0) {
      const std::size_t Calls = Fixture.Calls.size();
      answer();
      if (Fixture.Calls.size() == Calls && Fixture.Engine.inFlight() > 0)
        Fixture.fail(UpstreamFailure::Closed);
    }
  }
  [[nodiscard]] std::string whole() const { return text(0, Events.size()); }

  RelayFixture Fixture;

private:
  [[nodiscard]] std::string text(std::size_t From, std::size_t To) const {
    std::string Text;
    for (std::size_t Index = From; Index < To; ++Index)
      Text += Events[Index];
    return Text;
  }
  /// \returns the number of events that the caller has.
  [[nodiscard]] std::size_t received() const {
    std::size_t Count = 0;
    while (Count < Events.size() && text(0, Count).size() < Fixture.Text.size())
      ++Count;
    return Count;
  }
  void send(const std::string &Bytes) {
    const AttemptId Attempt = Fixture.Calls.back().Attempt;
    for (std::size_t At = 0; At < Bytes.size();) {
      const std::size_t Length = 1 + Source.below(24);
      Fixture.Engine.onUpstreamBytes(Attempt, Bytes.substr(At, Length),
                                     Fixture.Now);
      At += Length;
    }
  }
  void begin() { Fixture.head(200, {{"Content-Type", "text/event-stream"}}); }
  void endAttempt(AttemptId Attempt) {
    Fixture.Engine.onUpstreamEnd(Attempt, Fixture.Now);
  }
  /// Sends events from an index on, up to the last one or a break.
  void sendFrom(std::size_t From) {
    const AttemptId Attempt = Fixture.Calls.back().Attempt;
    const std::string Rest = text(From, Events.size());
    if (Source.below(3) == 0) {
      send(Rest);
      endAttempt(Attempt);
      return;
    }
    send(Rest.substr(0, Source.below(Rest.size() + 1)));
    Fixture.Engine.onUpstreamFailure(Attempt, UpstreamFailure::Closed,
                                     Fixture.Now);
  }
  void answer() {
    switch (Source.below(4)) {
    case 0:
      answerWithError();
      return;
    case 1:
      if (!Fixture.Text.empty()) {
        answerWrongly();
        return;
      }
      [[fallthrough]];
    default:
      begin();
      sendFrom(Source.below(2) == 0 ? received()
                                    : Source.below(received() + 1));
    }
  }
  void answerWithError() {
    const AttemptId Attempt = Fixture.Calls.back().Attempt;
    switch (Source.below(3)) {
    case 0:
      Fixture.fail(UpstreamFailure::NotSent);
      return;
    case 1:
      Fixture.head(503, {{"Not-Run", "1"}});
      break;
    default:
      Fixture.head(Source.below(2) == 0 ? 404 : 500);
      send("id: 1\ndata: error\n\n");
    }
    endAttempt(Attempt);
  }
  /// Resumes a begun stream in a way that would corrupt it.
  void answerWrongly() {
    const AttemptId Attempt = Fixture.Calls.back().Attempt;
    const std::size_t Next = received();
    switch (Source.below(5)) {
    case 0: // Late, maybe past the end.
      begin();
      send(text(std::min(Next + 1 + Source.below(3), Events.size()),
                Events.size()));
      break;
    case 1: // Without ids.
      begin();
      send("data: t0\n\ndata: t1\n\n");
      break;
    case 2: // Repeats an event, then goes on.
      begin();
      send(Events[Next - 1] + Events[Next - 1] + text(Next, Events.size()));
      break;
    case 3: // Falls back to the first event.
      begin();
      send(text(Next, Events.size()) + text(0, Events.size()));
      break;
    default: // No event stream.
      Fixture.head(Source.below(2) == 0 ? 204 : 200,
                   {{"Content-Type", "text/html"}});
      send(text(Next, Events.size()));
    }
    endAttempt(Attempt);
  }

  Random Source;
  std::vector<std::string> Events;
};

// BRONZEWARD_SEED=N runs only that seed.
std::vector<std::uint64_t> seeds() {
  if (const char *SeedText = std::getenv("BRONZEWARD_SEED"))
    return {std::strtoull(SeedText, nullptr, 10)};
  std::vector<std::uint64_t> All(1000);
  std::iota(All.begin(), All.end(), std::uint64_t{1});
  return All;
}

TEST_CASE("A caller has a prefix of the true stream, and all of it if it ends",
          "[StreamResumption]") {
  int Complete = 0;
  int Cut = 0;
  int Resumed = 0;
  for (const std::uint64_t Seed : seeds()) {
    CAPTURE(Seed);
    UnreliableStream Stream(Seed);
    Stream.run();
    const RelayFixture &Seen = Stream.Fixture;
    CAPTURE(Seen.Text, Stream.whole());
    REQUIRE(Stream.whole().starts_with(Seen.Text));
    REQUIRE(Seen.CompleteStreams + Seen.Disconnected +
                static_cast<int>(Seen.Answers.size()) ==
            1);
    REQUIRE(Seen.Streams == (Seen.Text.empty() ? 0 : 1));
    if (Seen.CompleteStreams > 0)
      REQUIRE(Seen.Text == Stream.whole());
    Complete += Seen.CompleteStreams;
    Cut += Seen.Disconnected;
    if (Seen.CompleteStreams > 0 && Seen.Calls.size() > 1)
      ++Resumed;
  }
  // One seed need not show each outcome.
  if (seeds().size() == 1)
    return;
  CHECK(Complete > 0);
  CHECK(Cut > 0);
  CHECK(Resumed > 0);
}

} // namespace
} // namespace bronzeward
