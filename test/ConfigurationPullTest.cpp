#include "bronzeward/Router"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};
const InstanceId First{"a"};
const InstanceId Second{"b"};

// Guards against several copies of one text on a small link: seven peers offer
// the same long text four times a second.
TEST_CASE("Only one configuration is requested at a time",
          "[ConfigurationPull]") {
  ConfigurationPull Pull;
  int Requests = 0;
  for (Duration At{}; At < 900ms; At += 30ms) {
    const InstanceId Peer{std::to_string(At / 30ms % 7)};
    if (!Pull.mayAsk(Peer, Start + At))
      continue;
    Pull.onAsked(Peer, Start + At);
    ++Requests;
  }
  CHECK(Requests == 1);
}

TEST_CASE("Another peer is asked when a configuration does not arrive in time",
          "[ConfigurationPull]") {
  ConfigurationPull Pull;
  Pull.onAsked(First, Start);
  CHECK_FALSE(Pull.mayAsk(Second, Start + 900ms));
  CHECK(Pull.mayAsk(Second, Start + 1s));
  CHECK_FALSE(Pull.mayAsk(First, Start + 1s));
  CHECK(Pull.mayAsk(First, Start + 2s));
  CHECK_FALSE(Pull.unanswered(Start + 1s));
  Pull.onArrived(Second);
  CHECK_FALSE(Pull.mayAsk(First, Start + 1s));
  Pull.onArrived(First);
  CHECK(Pull.mayAsk(First, Start + 1s));
}

TEST_CASE("The store is read after two peers did not reply",
          "[ConfigurationPull]") {
  ConfigurationPull Pull;
  Pull.onAsked(First, Start);
  CHECK_FALSE(Pull.unanswered(Start + 1s));
  Pull.onAsked(Second, Start + 1s);
  CHECK_FALSE(Pull.unanswered(Start + 1900ms));
  CHECK(Pull.unanswered(Start + 2s));
  Pull.onAccepted();
  CHECK_FALSE(Pull.unanswered(Start + 2s));
}

} // namespace
} // namespace bronzeward
