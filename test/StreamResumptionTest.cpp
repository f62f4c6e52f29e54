#include "bronzeward/Relay"

#include "test/support/RelayFixture.h"

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

} // namespace
} // namespace bronzeward
