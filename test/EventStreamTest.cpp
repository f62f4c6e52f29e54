#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

TEST_CASE("Only complete events are returned", "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("id: 1\ndata: a\n").empty());
  CHECK(Stream.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Stream.incompleteEvent() == "id: 2\nda");
  CHECK(Stream.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Stream.incompleteEvent().empty());
  CHECK(Stream.events() == 2);
  CHECK(Stream.lastId() == "2");
}

TEST_CASE("A resumed stream returns each event once", "[EventStream]") {
  EventStream Stream;
  REQUIRE(Stream.feed("id: 1\n\nid: 2\n\nid: 3\nhal") == "id: 1\n\nid: 2\n\n");
  Stream.discardIncompleteEvent();
  CHECK(Stream.feed("id: 2\n\nid: 3\nwhole\n\n") == "id: 3\nwhole\n\n");
  CHECK(Stream.events() == 3);
}

TEST_CASE("Events with CRLF line endings are split as well", "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("id: 7\r\ndata: x\r\n\r\nid: 8") ==
        "id: 7\r\ndata: x\r\n\r\n");
  CHECK(Stream.lastId() == "7");
}

TEST_CASE("Events end at an empty line with any mix of line ends",
          "[EventStream]") {
  for (const std::string End :
       {"\n\n", "\r\n\r\n", "\r\r", "\r\n\n", "\n\r\n", "\n\r"}) {
    CAPTURE(End);
    EventStream Stream;
    CHECK(Stream.feed("id: 1" + End + "id: 2") == "id: 1" + End);
    CHECK(Stream.feed(End) == "id: 2" + End);
    CHECK(Stream.incompleteEvent().empty());
    CHECK(Stream.lastId() == "2");
    CHECK(Stream.events() == 2);
  }
}

TEST_CASE("Line ends are recognized wherever the bytes are split",
          "[EventStream]") {
  const std::string Bytes = "id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\rid: 3\n"
                            "data: c\n\n";
  for (std::size_t At = 0; At <= Bytes.size(); ++At) {
    CAPTURE(At);
    EventStream Stream;
    const std::string First = Stream.feed(Bytes.substr(0, At));
    CHECK(First + Stream.feed(Bytes.substr(At)) == Bytes);
    CHECK(Stream.incompleteEvent().empty());
    CHECK(Stream.events() == 3);
  }
}

TEST_CASE("An event is incomplete without the end of its last line",
          "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("id: 1\r\n\r").empty());
  CHECK(Stream.incompleteEvent() == "id: 1\r\n\r");
  CHECK(Stream.feed("\n") == "id: 1\r\n\r\n");
}

TEST_CASE("Comments and empty lines are passed on and are no events",
          "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("\n: ping\n\nid: 1\n\n\n") == "\n: ping\n\nid: 1\n\n\n");
  CHECK(Stream.incompleteEvent().empty());
  CHECK(Stream.events() == 1);
}

TEST_CASE("The id of an event is read as the format defines it",
          "[EventStream]") {
  const auto IdAfter = [](const std::string &Event) {
    EventStream Stream;
    CHECK(Stream.feed("id: 4\n\n" + Event) == "id: 4\n\n" + Event);
    return Stream.lastId();
  };
  CHECK(IdAfter("id:5\n\n") == "5");
  CHECK(IdAfter("data: x\rid: 5\r\r") == "5");
  CHECK(IdAfter("x-weight-versions: 9\nid: 5\n\n") == "5");
  // The last one counts, and one space before the value is no part of it.
  CHECK(IdAfter("id: 5\nid: 6\n\n") == "6");
  CHECK(IdAfter("id:  5\n\n") == "4");
  CHECK(IdAfter("id: 5a\n\n") == "4");
  CHECK(IdAfter("id: -5\n\n") == "4");
  CHECK(IdAfter("identity: 5\n\n") == "4");
  CHECK(IdAfter("data: x\ndata: id: 5\n\n") == "4");
}

TEST_CASE("A byte-order mark before the first event is not part of it",
          "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("\xEF\xBB\xBFid: 1\n\n") == "\xEF\xBB\xBFid: 1\n\n");
  CHECK(Stream.lastId() == "1");
  Stream.discardIncompleteEvent();
  CHECK(Stream.feed("\xEF\xBB\xBFid: 2\n\n") == "id: 2\n\n");
  CHECK(Stream.lastId() == "2");
}

} // namespace
} // namespace bronzeward
