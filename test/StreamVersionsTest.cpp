#include "bronzeward/src/Net/PeerCodec.h"
#include "test/support/FleetNetwork.h"

#include <algorithm>
#include <set>

#include <capnp/message.h>

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

constexpr std::size_t Instances = 8;
constexpr double LinkBytesPerSecond = 1.25e6;
/// Time until every instance knows a change of the list of upstreams and
/// streams begin at a version that it brought.
constexpr Duration ChangeTime = 5s;

/// \brief A fleet with resumable streams. The first letter of an upstream's
/// name is its version.
class VersionFixture {
public:
  explicit VersionFixture(std::size_t Size = Instances)
      : Fleet(Size, 3, LinkBytesPerSecond) {
    Fleet.restartWithRetries(100.0);
    Fleet.setAttempts(2);
    Fleet.setWritingTime(2s);
    Fleet.configure(1, 1);
    add("a");
    Fleet.runFor(8s);
  }

  void add(const std::string &Version) {
    for (const char *Number : {"1", "2", "3"})
      Fleet.writeUpstream(Version + Number, "d0", Version);
  }
  void remove(const std::string &Version) {
    for (const char *Number : {"1", "2", "3"})
      Fleet.removeUpstream(Version + Number);
  }
  /// Begins a stream and lets its first events arrive.
  std::uint64_t begin(std::size_t Instance) {
    const std::uint64_t Ticket =
        Fleet.request(Instance, {"part" + std::to_string(++LastPart)});
    Fleet.runFor(200ms);
    return Ticket;
  }
  /// Begins streams until one is at a version.
  std::uint64_t beginAt(const std::string &Version, std::size_t Instance) {
    std::uint64_t Ticket = begin(Instance);
    for (int Try = 0; Try < 100 && versionOf(Ticket) != Version; ++Try)
      Ticket = begin(Instance);
    REQUIRE(versionOf(Ticket) == Version);
    return Ticket;
  }
  std::uint64_t resume(std::size_t Instance, std::uint64_t First) {
    const std::uint64_t Ticket =
        Fleet.resume(Instance, std::to_string(First), 2);
    Fleet.runFor(400ms);
    return Ticket;
  }
  void restartAll() {
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      Fleet.kill(Index);
    for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
      Fleet.restart(Index);
    Fleet.runFor(3s);
  }

  /// \returns the versions at which a caller's request arrived, in one word.
  [[nodiscard]] std::string versionOf(std::uint64_t Ticket) const {
    std::set<char> Versions;
    for (const fakes::UpstreamArrival &Item : Fleet.arrivals())
      if (Item.Ticket == Ticket)
        Versions.insert(Item.Upstream.Value.front());
    return {Versions.begin(), Versions.end()};
  }
  /// \returns the upstream at which a caller's request arrived last.
  [[nodiscard]] UpstreamName upstreamOf(std::uint64_t Ticket) const {
    const auto Found =
        std::find_if(Fleet.arrivals().rbegin(), Fleet.arrivals().rend(),
                     [&](const fakes::UpstreamArrival &Item) {
                       return Item.Ticket == Ticket;
                     });
    REQUIRE(Found != Fleet.arrivals().rend());
    return Found->Upstream;
  }
  /// \returns the status of the answer to a caller's request; 0 if there is
  /// none.
  [[nodiscard]] int statusOf(std::uint64_t Ticket) const {
    for (const fakes::CallerAnswer &Item : Fleet.answers())
      if (Item.Ticket == Ticket)
        return Item.Status;
    return 0;
  }

  fakes::FleetNetwork Fleet;

private:
  int LastPart = 0;
};

TEST_CASE("A broken stream goes on at the version that began it",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  std::size_t Resumed = 0;
  for (std::size_t Round = 0; Round < 16; ++Round) {
    const std::uint64_t Ticket = Fixture.begin(Round % Instances);
    const std::size_t Before = Fixture.Fleet.arrivals().size();
    Fixture.Fleet.crash(Fixture.upstreamOf(Ticket));
    Fixture.Fleet.runFor(4s);
    Resumed += Fixture.Fleet.arrivals().size() - Before;
    CHECK(Fixture.versionOf(Ticket).size() == 1);
  }
  CHECK(Resumed >= 12);
}

TEST_CASE(
    "A caller's next attempt goes on at the version that began its stream",
    "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  std::set<std::string> Versions;
  for (std::size_t Round = 0; Round < 24; ++Round) {
    const std::uint64_t First = Fixture.begin(Round % Instances);
    Versions.insert(Fixture.versionOf(First));
    // The instance at which the stream began may be gone.
    if (Round % 3 == 0)
      Fixture.Fleet.kill(Round % Instances);
    for (const std::size_t Step : {3, 5}) {
      const std::uint64_t Next =
          Fixture.resume((Round + Step) % Instances, First);
      CHECK(Fixture.versionOf(Next) == Fixture.versionOf(First));
    }
    if (Round % 3 == 0) {
      Fixture.Fleet.restart(Round % Instances);
      Fixture.Fleet.runFor(4s);
    }
  }
  CHECK(Versions == std::set<std::string>{"a", "b"});
}

// Load pattern: an old version leaves and every instance is lost, so the list
// of upstreams shows one version only.
TEST_CASE("No stream of a version that left is joined after a loss of all "
          "instances",
          "[StreamVersions]") {
  VersionFixture Fixture;
  std::uint64_t First = 0;
  SECTION("Both versions served") {
    Fixture.add("b");
    Fixture.Fleet.runFor(ChangeTime);
    First = Fixture.beginAt("a", 0);
    Fixture.remove("a");
    Fixture.Fleet.runFor(2s);
  }
  SECTION("The new version came while no instance ran") {
    First = Fixture.begin(0);
    Fixture.remove("a");
    Fixture.add("b");
  }
  Fixture.restartAll();
  const std::uint64_t Next = Fixture.resume(3, First);
  CHECK(Fixture.versionOf(Next).empty());
  CHECK(Fixture.statusOf(Next) == 503);
  Fixture.Fleet.runFor(ChangeTime);
  CHECK(Fixture.versionOf(Fixture.begin(2)) == "b");
}

TEST_CASE("Streams go on after a loss of all instances if one version served",
          "[StreamVersions]") {
  VersionFixture Fixture;
  const std::uint64_t First = Fixture.begin(0);
  Fixture.restartAll();
  CHECK(Fixture.versionOf(Fixture.resume(3, First)) == "a");
  CHECK(Fixture.versionOf(Fixture.begin(2)) == "a");
}

// Load pattern: an instance without the store and its peers still lists the old
// version only.
TEST_CASE("An instance with an old list does not join streams",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.Fleet.setStoreUnreachable(5, true);
  Fixture.Fleet.setPeersUnreachable(5, true);
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  const std::uint64_t First = Fixture.beginAt("b", 0);
  const std::uint64_t Next = Fixture.resume(5, First);
  CHECK(Fixture.versionOf(Next).empty());
  CHECK(Fixture.statusOf(Next) == 503);
}

// Load pattern: an instance without the store learns of the new version from
// its peers, but cannot read what is recorded.
TEST_CASE("An instance without the store finds where streams began",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.Fleet.setStoreUnreachable(5, true);
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  for (const std::string Version : {"a", "b"}) {
    const std::uint64_t First = Fixture.beginAt(Version, 0);
    CHECK(Fixture.versionOf(Fixture.resume(5, First)) == Version);
  }
  // It begins streams at the new version too.
  Fixture.remove("a");
  Fixture.Fleet.runFor(2s);
  CHECK(Fixture.versionOf(Fixture.begin(5)) == "b");
}

// Instances of a large fleet that do not watch the store have no recent list of
// their own.
TEST_CASE("Streams go on at every instance of a large fleet",
          "[StreamVersions]") {
  constexpr std::size_t Size = 40;
  VersionFixture Fixture(Size);
  std::vector<std::uint64_t> Streams;
  while (Streams.size() < Size)
    Streams.push_back(Fixture.begin(0));
  Fixture.Fleet.kill(0);
  Fixture.Fleet.runFor(1s);
  std::size_t Resumed = 0;
  for (std::size_t Index = 1; Index < Size; ++Index)
    Resumed +=
        Fixture.versionOf(Fixture.resume(Index, Streams[Index])) == "a" ? 1 : 0;
  CHECK(Resumed == Size - 1);
}

// Failure: instances that had stood still confirmed each other's old list, and
// streams of a version that they had not seen were joined.
TEST_CASE("Instances that stood still do not join streams of a new version",
          "[StreamVersions]") {
  for (const Duration StoreDelay :
       {Duration(0ms), Duration(100ms), Duration(400ms), Duration(2s)}) {
    VersionFixture Fixture;
    const auto SetInStep = [&Fixture](bool IsInStep) {
      for (std::size_t Index = 0; Index + 1 < Instances; ++Index)
        Fixture.Fleet.setPaused(Index, !IsInStep);
    };
    const auto SetStore = [&Fixture](bool IsReachable) {
      for (std::size_t Index = 0; Index + 1 < Instances; ++Index)
        Fixture.Fleet.setStoreUnreachable(Index, !IsReachable);
    };
    SetInStep(false);
    SetStore(false);
    Fixture.add("b");
    Fixture.Fleet.runFor(ChangeTime);
    std::vector<std::uint64_t> Streams;
    while (Streams.size() < 8)
      Streams.push_back(Fixture.beginAt("b", Instances - 1));
    Fixture.Fleet.kill(Instances - 1);
    SetInStep(true);
    std::vector<std::uint64_t> Next;
    for (std::size_t Index = 0; Index < Streams.size(); ++Index) {
      Next.push_back(Fixture.Fleet.resume(Index % (Instances - 1),
                                          std::to_string(Streams[Index]), 2));
      Fixture.Fleet.runFor(StoreDelay / 8);
    }
    SetStore(true);
    Fixture.Fleet.runFor(3s);
    CAPTURE(StoreDelay.count());
    for (const std::uint64_t Ticket : Next)
      CHECK((Fixture.versionOf(Ticket).empty() ||
             Fixture.versionOf(Ticket) == "b"));
  }
}

// Failure: a version that came and went unseen was missing in what an instance
// knew of the record, and it joined the version's streams to another.
TEST_CASE("An instance that missed a version does not join its streams",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.Fleet.setStoreUnreachable(5, true);
  Fixture.Fleet.setPaused(5, true);
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  std::vector<std::uint64_t> Streams;
  while (Streams.size() < 6)
    Streams.push_back(Fixture.beginAt("b", Streams.size() % 5));
  Fixture.remove("b");
  Fixture.Fleet.runFor(1s);
  Fixture.Fleet.setStoreUnreachable(5, false);
  Fixture.Fleet.setPaused(5, false);
  for (const std::uint64_t First : Streams) {
    Fixture.Fleet.runFor(100ms);
    const std::uint64_t Next = Fixture.resume(5, First);
    CHECK(Fixture.versionOf(Next).empty());
  }
}

TEST_CASE("A chain of attempts keeps its version while a third one rolls out",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  const std::uint64_t First = Fixture.beginAt("a", 0);
  CHECK(Fixture.versionOf(Fixture.resume(3, First)) == "a");
  Fixture.add("c");
  Fixture.Fleet.runFor(ChangeTime);
  CHECK(Fixture.versionOf(Fixture.resume(5, First)) == "a");
  Fixture.remove("b");
  Fixture.Fleet.runFor(2s);
  CHECK(Fixture.versionOf(Fixture.resume(6, First)) == "a");
}

/// \returns how many streams that began at the last instance go on at others
/// after it is killed.
std::size_t resumedElsewhere(VersionFixture &Fixture,
                             const std::vector<std::uint64_t> &Streams) {
  Fixture.Fleet.kill(Fixture.Fleet.size() - 1);
  std::size_t Resumed = 0;
  for (std::size_t Index = 0; Index < Streams.size(); ++Index) {
    const std::uint64_t Next =
        Fixture.resume(Index % (Fixture.Fleet.size() - 1), Streams[Index]);
    Resumed += Fixture.versionOf(Next) == Fixture.versionOf(Streams[Index]);
  }
  return Resumed;
}

// Failure: streams were refused after restarts one by one, since a restarted
// instance was not told again which streams it has to remember.
TEST_CASE("Streams go on after restarts of the instances one by one",
          "[StreamVersions]") {
  const auto [Size, Pause] =
      GENERATE(std::pair<std::size_t, Duration>(8, 300ms), std::pair(8, 1s),
               std::pair(8, 3s), std::pair(40, 100ms));
  VersionFixture Fixture(Size);
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  std::vector<std::uint64_t> Streams;
  while (Streams.size() < 12)
    Streams.push_back(Fixture.begin(Size - 1));
  for (std::size_t Index = 0; Index + 1 < Size; ++Index) {
    Fixture.Fleet.restart(Index);
    Fixture.Fleet.runFor(Pause);
  }
  Fixture.Fleet.runFor(1s);
  CHECK(resumedElsewhere(Fixture, Streams) == Streams.size());
}

// Failure: instances that remember a stream were lost one after the other, and
// those that took their place did not know it.
TEST_CASE("Streams go on after the loss of every instance that was told first",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  std::vector<std::uint64_t> Streams;
  while (Streams.size() < 12)
    Streams.push_back(Fixture.begin(Instances - 1));
  const bool Drained = GENERATE(false, true);
  for (std::size_t Index = 0; Index < 4; ++Index) {
    if (Drained) {
      Fixture.Fleet.drain(Index);
      Fixture.Fleet.runFor(5s);
    }
    Fixture.Fleet.kill(Index);
    Fixture.Fleet.expireEntry(Index);
    Fixture.Fleet.runFor(5s);
  }
  Fixture.Fleet.kill(Instances - 1);
  std::size_t Resumed = 0;
  for (std::size_t Index = 0; Index < Streams.size(); ++Index) {
    const std::uint64_t Next = Fixture.resume(4 + Index % 3, Streams[Index]);
    Resumed += Fixture.versionOf(Next) == Fixture.versionOf(Streams[Index]);
  }
  CHECK(Resumed == Streams.size());
}

TEST_CASE("An unknown attempt is refused at once where versions differ",
          "[StreamVersions]") {
  VersionFixture Fixture;
  Fixture.add("b");
  Fixture.Fleet.runFor(ChangeTime);
  for (const std::string &Named :
       {std::string("never"), std::string(), std::string(1'000'000, 'x')}) {
    const std::uint64_t Next = Fixture.Fleet.resume(2, Named, 2);
    Fixture.Fleet.runFor(300ms);
    CHECK(Fixture.versionOf(Next).empty());
    CHECK(Fixture.statusOf(Next) == 503);
  }
}

UpstreamEntry entryOf(std::uint64_t Version) {
  UpstreamEntry Entry;
  Entry.Name.Value = "u" + std::to_string(Version);
  Entry.Service.Value = "s";
  Entry.Version = VersionId{Version};
  return Entry;
}

/// \brief An agent with one peer, whose messages the test reads.
class AgentFixture : public PeerPort {
public:
  AgentFixture() {
    for (const char *Name : {"own", "peer"})
      Listed.push_back({Incarnation{InstanceId{Name}, 1}, {}, "", false});
    History.onListed({entryOf(1)}, Now);
    History.onRecord({{Service, {VersionId{1}}}}, Now);
    History.onRecordRead(History.doubts());
    History.onComplete(Now);
  }
  void send(const InstanceId &, const PeerMessage &Message) override {
    Sent.push_back(Message);
  }
  void list() {
    Members.update(Listed);
    Agent.onMembersChanged(Now);
  }
  /// \returns the reply to a search for a stream that is not known.
  StreamOriginReply ask() {
    Agent.onPeerMessage(InstanceId{"peer"},
                        StreamOriginRequest{1, Service, StreamKey{7}}, Now);
    return std::get<StreamOriginReply>(Sent.back());
  }

  const ServiceName Service{"s"};
  TimePoint Now{1h};
  std::vector<Member> Listed;
  std::vector<PeerMessage> Sent;
  TimerQueue Timers;
  Membership Members;
  VersionHistory History;
  StreamOriginAgent Agent{InstanceId{"own"}, {*this, Timers, Members, History}};
};

// Failure: an instance that listed a further version, but had not read that it
// was recorded, vouched for the only version that it knew as recorded.
TEST_CASE("An instance vouches for a version only if it relies on it itself",
          "[StreamVersions]") {
  AgentFixture Fixture;
  CHECK(Fixture.ask().Uncertainty == 0ms);
  Fixture.History.onListed({entryOf(1), entryOf(2)}, Fixture.Now);
  CHECK_FALSE(Fixture.ask().Uncertainty);
  // After a gap, the record may lack a version, also if none is listed now.
  Fixture.History.onListed({}, Fixture.Now);
  Fixture.History.onComplete(Fixture.Now + VersionHistory::SettlingTime);
  CHECK_FALSE(Fixture.ask().Uncertainty);
}

TEST_CASE("Nothing is asked after a start while one version serves",
          "[StreamVersions]") {
  AgentFixture Fixture;
  Fixture.list();
  Fixture.Agent.onVersionsChanged(Fixture.Now);
  CHECK(Fixture.Sent.empty());
  Fixture.History.onListed({entryOf(1), entryOf(2)}, Fixture.Now);
  SECTION("A second version appears, streams from before may run") {
    Fixture.Agent.onVersionsChanged(Fixture.Now);
    Fixture.Agent.onVersionsChanged(Fixture.Now + 1s);
    REQUIRE(Fixture.Sent.size() == 1);
    CHECK(std::holds_alternative<StreamOriginRecall>(Fixture.Sent.front()));
  }
  SECTION("All streams from before the start have ended") {
    Fixture.Agent.onVersionsChanged(Fixture.Now +
                                    VersionHistory::StreamLifetime);
    CHECK(Fixture.Sent.empty());
  }
}

TEST_CASE("A further version gets streams once older lists are invalid",
          "[StreamVersions]") {
  const ServiceName Service{"s"};
  const TimePoint Start{1h};
  VersionHistory History;
  History.onListed({entryOf(1)}, Start);
  CHECK(History.startable(Service, Start).empty());
  CHECK(History.unrecorded() == std::vector<ServiceName>{Service});
  History.onRecord(History.dueRecord(), Start);
  CHECK(History.startable(Service, Start) ==
        std::vector<VersionId>{VersionId{1}});
  CHECK(History.sole(Service) == VersionId{1});
  History.onListed({entryOf(1), entryOf(2)}, Start);
  // Another instance may have recorded it, and begun streams.
  CHECK_FALSE(History.sole(Service));
  CHECK(History.unrecorded() == std::vector<ServiceName>{Service});
  History.onRecord(History.dueRecord(), Start);
  CHECK_FALSE(History.sole(Service));
  CHECK(History.startable(Service, Start).size() == 1);
  CHECK(
      History.startable(Service, Start + VersionHistory::SettlingTime).size() ==
      2);
  // A list that is relied on is more recent than the first stream at it.
  CHECK(VersionHistory::ListValidity < VersionHistory::SettlingTime);
}

TEST_CASE("A version is forgotten once its streams have ended",
          "[StreamVersions]") {
  const ServiceName Service{"s"};
  TimePoint Now{1h};
  VersionHistory History;
  History.onListed({entryOf(1), entryOf(2)}, Now);
  History.onRecord(History.dueRecord(), Now);
  History.onListed({entryOf(2)}, Now);
  Now += VersionHistory::StreamLifetime;
  CHECK_FALSE(History.sole(Service));
  // The list may miss the version because it is old.
  History.onConfirmed(Now - 1s);
  CHECK_FALSE(History.sole(Service));
  History.onConfirmed(Now);
  CHECK(History.sole(Service) == VersionId{2});
  CHECK(History.dueRecord().at(Service) ==
        std::vector<VersionId>{VersionId{2}});
}

TEST_CASE("The recorded versions of a service are bounded",
          "[StreamVersions]") {
  VersionHistory History;
  std::vector<UpstreamEntry> Listed;
  for (std::uint64_t Version = 1; Version <= 100; ++Version)
    Listed.push_back(entryOf(Version));
  History.onListed(Listed, TimePoint{1h});
  const RecordedVersions Due = History.dueRecord();
  CHECK(Due.at(ServiceName{"s"}).size() == VersionHistory::MaxVersions);
  CHECK(parseVersions(encodeVersions(Due)).value() == Due);
  for (const char *Text : {"", "[]", R"({"s":1})", R"({"s":["x"]})",
                           R"({"s":["123456789abcdef01"]})"})
    CHECK_FALSE(parseVersions(Text));
}

TEST_CASE("The table of streams drops the oldest ones", "[StreamVersions]") {
  StreamOriginTable Table(60s, 2);
  const TimePoint Now{1h};
  for (std::uint64_t Stream = 1; Stream <= 3; ++Stream)
    Table.add({StreamKey{Stream}, VersionId{Stream}}, Now);
  CHECK(Table.size() == 2);
  CHECK_FALSE(Table.find(StreamKey{1}, Now));
  CHECK(Table.find(StreamKey{3}, Now) == VersionId{3});
  CHECK_FALSE(Table.find(StreamKey{3}, Now + 60s));
}

TEST_CASE("Messages about streams arrive as they were sent",
          "[StreamVersions]") {
  const auto Transfer = [](const PeerMessage &Message) {
    capnp::MallocMessageBuilder Built;
    internal::write(Built.initRoot<schema::PeerMessage>(), InstanceId{"i1"},
                    Message);
    return internal::read(Built.getRoot<schema::PeerMessage>().asReader());
  };
  const StreamOriginNotice Notice = std::get<StreamOriginNotice>(
      Transfer(StreamOriginNotice{{{StreamKey{7}, VersionId{8}, 9ms}}}));
  REQUIRE(Notice.Streams.size() == 1);
  CHECK(Notice.Streams.front().Stream == StreamKey{7});
  CHECK(Notice.Streams.front().Version == VersionId{8});
  CHECK(Notice.Streams.front().Age == 9ms);
  CHECK(std::holds_alternative<StreamOriginRecall>(
      Transfer(StreamOriginRecall{})));
  const StreamOriginRequest Request = std::get<StreamOriginRequest>(
      Transfer(StreamOriginRequest{5, ServiceName{"s"}, StreamKey{7}}));
  CHECK(Request.Number == 5);
  CHECK(Request.Service == ServiceName{"s"});
  CHECK(Request.Stream == StreamKey{7});
  for (const std::optional<VersionId> Origin :
       {std::optional<VersionId>(), std::optional<VersionId>(VersionId{8})}) {
    const StreamOriginReply Reply = std::get<StreamOriginReply>(Transfer(
        StreamOriginReply{5, ServiceName{"s"}, Origin, {VersionId{8}}, 9ms}));
    CHECK(Reply.Number == 5);
    CHECK(Reply.Service == ServiceName{"s"});
    CHECK(Reply.Origin == Origin);
    CHECK(Reply.Possible == std::vector<VersionId>{VersionId{8}});
    CHECK(Reply.Uncertainty == 9ms);
  }
}

} // namespace
} // namespace bronzeward
