#include "bronzeward/Store"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

TEST_CASE("An unreadable reply is logged with its reason",
          "[UnreadableReplies]") {
  UnreadableReplies Replies;
  CHECK_FALSE(Replies.report("", Start));
  CHECK(Replies.report("no field rev", Start) ==
        "1 since the last line: no field rev");
}

// Load pattern: a store that answers every call with bytes that cannot be
// parsed.
TEST_CASE("Unreadable replies are logged at most once per second",
          "[UnreadableReplies]") {
  UnreadableReplies Replies;
  int Lines = 0;
  for (int Call = 0; Call < 1'000; ++Call)
    Lines += Replies.report("no field rev", Start + Call * 2ms) ? 1 : 0;
  CHECK(Lines == 2);
  CHECK(Replies.report("no field rev", Start + 2s) ==
        "500 since the last line: no field rev");
}

} // namespace
} // namespace bronzeward
