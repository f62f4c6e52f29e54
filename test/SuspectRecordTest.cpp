#include "bronzeward/Router"

#include "test/support/EngineMocks.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace bronzeward {
namespace {

constexpr PartId Suspect = 7;
constexpr PartId Other = 8;
/// Time after which crashes count.
constexpr Duration ReviewTime = 800ms;

/// \brief A store that holds one record and counts its writes.
class RecordStore : public StorePort {
public:
  void send(StoreCallId Id, const StoreCall &Call) override {
    StoreReply Reply;
    Reply.Status = StoreStatus::Ok;
    if (const auto *Swap = std::get_if<CompareAndSwap>(&Call)) {
      Text = Swap->Value;
      ++Writes;
    } else if (!Text.empty()) {
      Reply.Entries.push_back({"", Text, 1, false});
    }
    Replies.emplace_back(Id, Reply);
  }

  std::string Text;
  int Writes = 0;
  std::vector<std::pair<StoreCallId, StoreReply>> Replies;
};

/// \brief The record of one instance.
class RecordFixture {
public:
  void crash(PartId Part, int Number) {
    Parts.onCrash(
        {{UpstreamName{"u" + std::to_string(Number)}, WallTime()}, Now, 10ms},
        {Part}, Now);
    Now += ReviewTime;
    Parts.review(Now);
  }
  /// Lets the record be read or written for some time.
  void run(Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += 100ms) {
      Record.update(Now);
      for (const auto &[Id, Reply] : std::exchange(Store.Replies, {}))
        Client.onReply(Id, Reply, Now);
    }
  }
  [[nodiscard]] std::vector<SuspectEvidence> recorded() const {
    return parseSuspects(Store.Text, Wall.wallNow()).value();
  }

  TimePoint Now{1h};
  RecordStore Store;
  TimerQueue Timers;
  Random Source{1};
  StoreClient Client{Store, Timers, Source, StorePolicy()};
  fakes::SilentLog Log;
  fakes::FixedClock Wall;
  PartQuarantine Parts;
  SuspectRecord Record{{Client, Source, Log, Wall, Parts}};
};

/// \returns a record with crashes of a suspect.
std::string recordOf(PartId Part, int Crashes) {
  SuspectEvidence Evidence;
  Evidence.Suspect = Part;
  for (int Number = 0; Number < Crashes; ++Number)
    Evidence.Crashes.push_back(
        {{UpstreamName{"v" + std::to_string(Number)}, WallTime()}, 1s});
  return encodeSuspects({Evidence}, WallTime(1h));
}

TEST_CASE("Nothing is written while nothing crashes", "[SuspectRecord]") {
  RecordFixture Fixture;
  Fixture.run(5s);
  CHECK(Fixture.Record.loaded());
  CHECK(Fixture.Store.Writes == 0);
  Fixture.crash(Suspect, 1);
  Fixture.run(5s);
  CHECK(Fixture.Store.Writes == 0);
}

TEST_CASE("Evidence is written when it changes", "[SuspectRecord]") {
  RecordFixture Fixture;
  Fixture.run(1s);
  for (int Number = 1; Number <= 3; ++Number) {
    Fixture.crash(Suspect, Number);
    Fixture.run(1s);
  }
  REQUIRE(Fixture.recorded().size() == 1);
  CHECK(Fixture.recorded().front().Crashes.size() == 3);
  CHECK(Fixture.recorded().front().QuarantineAge);
  Fixture.Parts.beginTrial(Suspect, Fixture.Now);
  Fixture.run(1s);
  CHECK(Fixture.recorded().front().TrialsMade == 1);
  CHECK(Fixture.Store.Writes == 3);
  Fixture.Parts.onAnswered({Suspect}, Fixture.Now);
  Fixture.run(1s);
  CHECK(Fixture.recorded().empty());
}

// Guards against instances that overwrite each other's evidence by turns.
TEST_CASE("Weaker evidence does not replace stronger", "[SuspectRecord]") {
  RecordFixture Fixture;
  Fixture.run(1s);
  Fixture.crash(Suspect, 1);
  Fixture.Now += 2s;
  Fixture.crash(Suspect, 2);
  Fixture.Store.Text = recordOf(Suspect, 4);
  Fixture.run(5s);
  CHECK(Fixture.Store.Writes == 0);
  REQUIRE(Fixture.recorded().size() == 1);
  CHECK(Fixture.recorded().front().Crashes.size() == 4);
}

TEST_CASE("Evidence of others stays in the record", "[SuspectRecord]") {
  RecordFixture Fixture;
  Fixture.run(1s);
  Fixture.Store.Text = recordOf(Other, 2);
  Fixture.crash(Suspect, 1);
  Fixture.Now += 2s;
  Fixture.crash(Suspect, 2);
  Fixture.run(5s);
  CHECK(Fixture.Store.Writes == 1);
  CHECK(Fixture.recorded().size() == 2);
}

TEST_CASE("Recorded evidence keeps its crashes, times and trials",
          "[SuspectRecord]") {
  RecordFixture Fixture;
  for (int Number = 1; Number <= 3; ++Number)
    Fixture.crash(Suspect, Number);
  PartQuarantine &Parts = Fixture.Parts;
  TimePoint Now = Fixture.Now + 5s;
  Parts.beginTrial(Suspect, Now);
  Now += 10s;
  const std::vector<SuspectEvidence> Before = Parts.lastingEvidence(Now);
  REQUIRE(Before.size() == 1);
  const WallTime Written(1h);
  const std::vector<SuspectEvidence> Read =
      parseSuspects(encodeSuspects(Before, Written), Written + 1min).value();
  REQUIRE(Read.size() == 1);
  CHECK(Read.front().Crashes.front().Age ==
        Before.front().Crashes.front().Age + 1min);
  PartQuarantine After;
  Now += 1min;
  After.restore(Read.front(), Now);
  CHECK(After.crashes(Suspect) == 3);
  CHECK(After.quarantined(Suspect, Now));
  REQUIRE(After.trialTurn(Suspect, Now));
  After.beginTrial(Suspect, Now);
  CHECK_FALSE(After.trialTurn(Suspect, Now + 1min));
  // An answer that is known refutes it.
  Parts.onAnswered({Suspect}, Now);
  Parts.restore(Read.front(), Now);
  CHECK_FALSE(Parts.quarantined(Suspect, Now));
  for (const char *Text : {"", "{}", "[1]", R"([{"suspect":"x","crashes":[]}])",
                           R"([{"suspect":"part-7","crashes":[["a"]]}])"})
    CHECK_FALSE(parseSuspects(Text, Written));
}

} // namespace
} // namespace bronzeward
