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

} // namespace
} // namespace bronzeward
