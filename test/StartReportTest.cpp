#include "bronzeward/Router"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

TEST_CASE("A start that waits names the missing steps at growing intervals",
          "[StartReport]") {
  const TimePoint Began{1h};
  StartReport Report(Began);
  Report.complete(StartStep::Registered, Began + 20ms);
  CHECK_FALSE(Report.takeLine(Began + 900ms));
  const std::optional<std::string> Line = Report.takeLine(Began + 1s);
  REQUIRE(Line);
  CHECK(Line->find("registered 20 ms, listed waited for") == 0);
  CHECK_FALSE(Report.takeLine(Began + 1900ms));
  CHECK(Report.takeLine(Began + 2s));
  CHECK_FALSE(Report.takeLine(Began + 3900ms));
  for (const StartStep Step :
       {StartStep::Listed, StartStep::Configured, StartStep::UpstreamsKnown,
        StartStep::FirstGrant, StartStep::Ready})
    Report.complete(Step, Began + 2500ms);
  CHECK(Report.takeLine(Began + 2600ms)->find("ready 2500 ms") !=
        std::string::npos);
  CHECK(Report.reported());
  CHECK_FALSE(Report.takeLine(Began + 1h));
}

} // namespace
} // namespace bronzeward
