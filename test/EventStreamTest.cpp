#include "bronzeward/Relay"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

TEST_CASE("Only complete events are returned", "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("id: 1\ndata: a\n").empty());
  CHECK(Stream.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Stream.rest() == "id: 2\nda");
  CHECK(Stream.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(Stream.rest().empty());
  CHECK(Stream.events() == 2);
  CHECK(Stream.lastId() == "2");
}

TEST_CASE("A resumed stream returns each event once", "[EventStream]") {
  EventStream Stream;
  REQUIRE(Stream.feed("id: 1\n\nid: 2\n\nid: 3\nhal") == "id: 1\n\nid: 2\n\n");
  Stream.continueElsewhere();
  CHECK(Stream.feed("id: 2\n\nid: 3\nwhole\n\n") == "id: 3\nwhole\n\n");
  CHECK(Stream.events() == 3);
}

TEST_CASE("Events with CRLF line endings are split as well", "[EventStream]") {
  EventStream Stream;
  CHECK(Stream.feed("id: 7\r\ndata: x\r\n\r\nid: 8") ==
        "id: 7\r\ndata: x\r\n\r\n");
  CHECK(Stream.lastId() == "7");
}

} // namespace
} // namespace bronzeward
