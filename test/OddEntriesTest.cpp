#include "bronzeward/src/Net/Base64.h"
#include "bronzeward/src/Net/PeerCodec.h"
#include "platform/PlatformDeploymentCodec.h"
#include "platform/PlatformStoreCodec.h"
#include "test/support/FleetNetwork.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/json.hpp>
#include <capnp/message.h>
#include <catch2/catch.hpp>

namespace bronzeward::platform {
namespace {

const std::string SoundValue =
    R"({"service":"s","address":"10.1.2.3:80","zone":"a","version":"v3",)"
    R"("capacity":6,"state":"ready","warmup_left_ms":0,"sequence":9,)"
    R"("born":1700000000000})";

std::string item(const std::string &Key, const std::string &Value,
                 std::uint64_t Revision) {
  return R"({"key":")" + Key + R"(","value":")" + encodeBase64(Value) +
         R"(","rev":)" + std::to_string(Revision) + "}";
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// \returns items of a reply that name no entry, or none that can be read.
std::vector<std::string> oddItems() {
  const std::string Deep = nested(100'000);
  return {"null",
          "7",
          "{}",
          Deep,
          R"({"key":7,"value":"dg==","rev":4})",
          R"({"value":"dg==","rev":4})",
          R"({"key":"servers/o","value":"dg=="})",
          R"({"key":"servers/o","value":"dg==","rev":-4})",
          R"({"key":"servers/o","value":"dg==","rev":4.5})",
          R"({"key":"servers/o","value":"dg==","rev":1e999})",
          R"({"key":"servers/o","value":"dg==","rev":99999999999999999999})",
          R"({"key":"servers/o","value":"dg==","rev":4,"deleted":"no"})",
          R"({"key":"servers/o","value":7,"rev":4})",
          R"({"key":"servers/o","value":"%%%%","rev":4})",
          R"({"key":"servers/o","value":"==","rev":4})",
          R"({"key":"servers/o","value":)" + Deep + R"(,"rev":4})",
          R"({"key":"servers/\ud800","value":"dg==","rev":4})",
          "{\"key\":\"servers/\xff\",\"value\":\"dg==\",\"rev\":4}"};
}

std::string replyBody(const char *Name, const std::string &Items) {
  return std::string(R"({")") + Name + R"(":[)" + Items +
         R"(],"store_revision":6,"has_more":false})";
}

void checkSoundItems(const StoreReply &Reply) {
  CHECK(Reply.Status == StoreStatus::Ok);
  CHECK(Reply.Revision == 6);
  std::vector<std::string> Readable;
  for (const StoreEntry &Entry : Reply.Entries)
    if (Entry.Value == SoundValue)
      Readable.push_back(Entry.Key);
  CHECK(Readable == std::vector<std::string>{"servers/a", "servers/z"});
}

// Guards against followers that repeat a list for ever, since each reply holds
// the same odd item.
TEST_CASE("An item that cannot be read does not hide the others",
          "[OddEntries]") {
  const PlatformStoreCodec Codec;
  for (const std::string &Odd : oddItems()) {
    INFO(Odd.substr(0, 80));
    for (std::ptrdiff_t Position = 0; Position < 3; ++Position) {
      std::vector<std::string> Listed{item("servers/a", SoundValue, 2),
                                      item("servers/z", SoundValue, 5)};
      Listed.insert(Listed.begin() + Position, Odd);
      const std::string Items = boost::algorithm::join(Listed, ",");
      checkSoundItems(Codec.parse(ListKeys{"servers/", "", false}, 200,
                                  replyBody("items", Items)));
      checkSoundItems(Codec.parse(WatchKeys{"servers/", 1, 1s}, 200,
                                  replyBody("events", Items)));
    }
  }
}

TEST_CASE("An item that cannot be read is reported", "[OddEntries]") {
  const PlatformStoreCodec Codec;
  for (const std::string &Odd : oddItems()) {
    INFO(Odd.substr(0, 80));
    CHECK_FALSE(Codec
                    .parse(ListKeys{"servers/", "", false}, 200,
                           replyBody("items", Odd))
                    .Problem.empty());
  }
}

/// \returns the key after which a list's next page begins.
std::string lastKey(const std::string &Items) {
  return PlatformStoreCodec()
      .parse(ListKeys{"servers/", ""}, 200, replyBody("items", Items))
      .LastKey;
}

// Guards against a list that ends at a page of such items, so that the entries
// of all later pages are taken for gone.
TEST_CASE("An item that cannot be read has its place in the list",
          "[OddEntries]") {
  const std::string Sound = item("servers/a", SoundValue, 2);
  for (const char *Odd :
       {R"({"key":"servers/o","value":"dg=="})",
        R"({"key":"servers/o","value":7,"rev":4})",
        R"({"key":"servers/o","value":"%%%%","rev":4})",
        "{\"key\":\"servers/o\",\"value\":\"\xff\",\"rev\":4}"}) {
    INFO(Odd);
    CHECK(lastKey(Odd) == "servers/o");
    CHECK(lastKey(Sound + "," + Odd) == "servers/o");
    CHECK(lastKey(Odd + ("," + Sound)) == "servers/a");
  }
  CHECK(lastKey("{\"key\":\"servers/\xff\",\"value\":\"dg==\",\"rev\":4}") ==
        "servers/\xff");
  CHECK(lastKey(R"({"key":"servers/a\u0000b","rev":4})") ==
        std::string("servers/a\0b", 11));
  for (const char *Keyless : {"7", "{}", R"({"key":7,"rev":4})",
                              R"({"key":"servers/\ud800","rev":4})"}) {
    CHECK(lastKey(Keyless).empty());
    CHECK(lastKey(Sound + "," + Keyless) == "servers/a");
  }
}

// A record that was taken for an empty one would be written anew.
TEST_CASE("A key whose value cannot be decoded has no known value",
          "[OddEntries]") {
  const PlatformStoreCodec Codec;
  for (const char *Value : {"%%%%", "=", "dg", "dg==dg"}) {
    const StoreReply Reply =
        Codec.parse(ReadKey{"k"}, 200,
                    std::string(R"({"key":"k","rev":4,"value":")") + Value +
                        R"(","store_revision":6})");
    CHECK(Reply.Status == StoreStatus::Unknown);
  }
}

TEST_CASE("A key that holds a NUL does not stand for a shorter one",
          "[OddEntries]") {
  const PlatformStoreCodec Codec;
  const StoreReply Reply = Codec.parse(
      WatchKeys{"servers/", 1, 1s}, 200,
      replyBody("events",
                R"({"key":"servers/a\u0000b","rev":5,"deleted":true})"));
  REQUIRE(Reply.Entries.size() == 1);
  CHECK(Reply.Entries[0].Key == std::string("servers/a\0b", 11));

  UpstreamList Sent;
  Sent.Entries = Reply.Entries;
  capnp::MallocMessageBuilder Built;
  internal::write(Built.initRoot<schema::PeerMessage>(), InstanceId{"i"}, Sent);
  const PeerMessage Received =
      internal::read(Built.getRoot<schema::PeerMessage>().asReader());
  const auto *List = std::get_if<UpstreamList>(&Received);
  REQUIRE(List != nullptr);
  REQUIRE(List->Entries.size() == 1);
  CHECK(List->Entries[0].Key == Reply.Entries[0].Key);
}

/// \brief Generates values of registry entries with one or more odd fields.
class OddValues {
public:
  explicit OddValues(std::uint64_t Seed) : Source(Seed) {}

  std::string next() {
    std::string Value = R"({"version":"v1","warmup_left_ms":0,"sequence":9)";
    for (const char *Field :
         {"service", "address", "zone", "capacity", "state", "born"}) {
      Value += ",\"" + std::string(Field) + "\":" + pick(Field);
    }
    Value += '}';
    if (Source.below(8) == 0)
      Value.resize(Source.below(Value.size()));
    if (Source.below(8) == 0 && !Value.empty())
      Value[Source.below(Value.size())] = static_cast<char>(Source.below(256));
    return Value;
  }

private:
  std::string pick(const std::string &Field) {
    if (Source.below(3) == 0)
      return Odd[Source.below(Odd.size())];
    if (Field == "address")
      return '"' + Addresses[Source.below(Addresses.size())] + '"';
    if (Field == "capacity" || Field == "born")
      return Numbers[Source.below(Numbers.size())];
    return Field == "state" ? R"("ready")" : R"("s")";
  }

  Random Source;
  std::vector<std::string> Addresses{"10.1.2.3:80",
                                     "10.1.2.3:0",
                                     "10.1.2.3:65536",
                                     "10.1.2.3:99999999999",
                                     "10.1.2.3:+8",
                                     "10.1.2.3:8x",
                                     "10.1.2.3:-1",
                                     ":80",
                                     "::1:80",
                                     "[::1]:80",
                                     "host:80",
                                     "10.1.2.3",
                                     "",
                                     R"(1.2.3.4\u0000:8)",
                                     R"(1.2.3.4:80\u00009)"};
  std::vector<std::string> Numbers{"6",
                                   "0",
                                   "-1",
                                   "-0",
                                   "1.5",
                                   "6.0",
                                   "1e18",
                                   "9223372036854775807",
                                   "9223372036854775808",
                                   "9223372036854775808.0",
                                   "18446744073709551616",
                                   "-9223372036854775809",
                                   "1e308",
                                   "1e999",
                                   "1e-999",
                                   "1700000000000"};
  std::vector<std::string> Odd{"null",
                               "true",
                               "{}",
                               "7",
                               "1e999",
                               "NaN",
                               R"("")",
                               R"("\ud800")",
                               R"("\u0000")",
                               "\"\xff\"",
                               nested(31),
                               nested(200'000),
                               std::string(200'000, '{'),
                               '"' + std::string(1'000'000, 'x') + '"'};
};

TEST_CASE("An odd registry entry is rejected or within bounds",
          "[OddEntries]") {
  const PlatformDeploymentCodec Codec;
  OddValues Values(7);
  int Accepted = 0;
  for (int Round = 0; Round < 5'000; ++Round) {
    const std::string Value = Values.next();
    const Result<UpstreamEntry> Parsed =
        Codec.parseUpstream({"servers/o", Value, 1, false});
    if (!Parsed) {
      CHECK(describe(Parsed.error()).size() < 300);
      continue;
    }
    ++Accepted;
    INFO(Value.substr(0, 300));
    CHECK(Parsed.value().Slots > 0);
    CHECK(Parsed.value().Port > 0);
    CHECK(Parsed.value().Host.find('\0') == std::string::npos);
  }
  CHECK(Accepted > 0);
}

// Guards against calls to addresses where there is no upstream: entries that
// had all fields in use were taken for sound ones.
TEST_CASE("An entry with a missing field or one of another type is rejected",
          "[OddEntries]") {
  namespace json = boost::json;
  const PlatformDeploymentCodec Codec;
  const json::object Sound = json::parse(SoundValue).as_object();
  const auto Accepts = [&](const json::object &Value) {
    return Codec.parseUpstream({"servers/o", json::serialize(Value), 1, false})
        .has_value();
  };
  REQUIRE(Accepts(Sound));
  for (const json::key_value_pair &Field : Sound) {
    const std::string Name = Field.key();
    INFO(Name);
    json::object Value = Sound;
    // Not every upstream states when it started.
    if (Name != "born") {
      Value.erase(Name);
      CHECK_FALSE(Accepts(Value));
    }
    const json::value OtherType =
        Field.value().is_string() ? json::value(7) : json::value("7");
    for (const json::value &Odd :
         {json::value(), json::value(true), json::value(json::array()),
          json::value(json::object()), OtherType}) {
      Value[Name] = Odd;
      CHECK_FALSE(Accepts(Value));
    }
  }
}

TEST_CASE("A key that is no name of an upstream is rejected", "[OddEntries]") {
  const PlatformDeploymentCodec Codec;
  for (const std::string &Key :
       {std::string("servers/"), std::string("op/config-of-another"),
        std::string("servers/a\r\nX-Tenant: b"),
        std::string("servers/a\0b", 11), std::string()}) {
    INFO(Key);
    CHECK_FALSE(Codec.parseUpstream({Key, SoundValue, 1, false}));
  }
  CHECK(Codec.parseUpstream({"servers/i-1", SoundValue, 1, false}));
}

std::vector<std::size_t> upstreamsOf(const fakes::FleetNetwork &Fleet) {
  std::vector<std::size_t> Counts;
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    Counts.push_back(Fleet.upstreams(Node));
  return Counts;
}

constexpr std::size_t Instances = 8;
constexpr double Link = 1.25e6;

// Guards against instances that disagree: those that read the list no longer
// used the upstream, those that watched still did.
TEST_CASE("An upstream whose entry is overwritten with bytes that cannot be "
          "read is not used until it is written again",
          "[OddEntries]") {
  fakes::FleetNetwork Fleet(Instances, 4, Link);
  Fleet.configure(1, 1);
  for (const char *Name : {"a", "b", "c", "d", "e", "f"})
    Fleet.writeUpstream(Name);
  Fleet.runFor(8s);
  REQUIRE(upstreamsOf(Fleet) == std::vector<std::size_t>(Instances, 6));
  for (const std::string &Odd :
       {nested(100'000), std::string("\x01\xff"), std::string()}) {
    Fleet.writeEntry("c", Odd);
    Fleet.runFor(3s);
    CHECK(upstreamsOf(Fleet) == std::vector<std::size_t>(Instances, 5));
    Fleet.writeUpstream("c");
    Fleet.runFor(3s);
    CHECK(upstreamsOf(Fleet) == std::vector<std::size_t>(Instances, 6));
  }
}

// Guards against a link that is full of bytes that no instance can read.
TEST_CASE("Entries that cannot be read are not sent to peers in full",
          "[OddEntries]") {
  constexpr std::size_t Large = 24;
  fakes::FleetNetwork Fleet(Large, 4, Link);
  Fleet.configure(1, 1);
  Fleet.writeUpstream("a");
  Fleet.runFor(8s);
  for (std::size_t Node = 0; Node < Large; Node += 3)
    Fleet.setStoreUnreachable(Node, true);
  Fleet.runFor(4s);
  std::vector<std::size_t> Before;
  for (std::size_t Node = 0; Node < Large; ++Node)
    Before.push_back(Fleet.bytesFromPeers(Node));
  Fleet.writeEntry("odd", std::string(1'000'000, '['));
  Fleet.writeUpstream("b");
  Fleet.runFor(4s);
  CHECK(upstreamsOf(Fleet) == std::vector<std::size_t>(Large, 2));
  for (std::size_t Node = 0; Node < Large; ++Node)
    CHECK(Fleet.bytesFromPeers(Node) - Before[Node] < 100'000);
}

TEST_CASE("Many odd entries cause few log lines", "[OddEntries]") {
  fakes::FleetNetwork Fleet(2, 1, Link);
  Fleet.configure(1, 1);
  Fleet.writeUpstream("a");
  Fleet.runFor(4s);
  for (int Round = 0; Round < 100; ++Round)
    for (int Index = 0; Index < 10; ++Index)
      Fleet.writeEntry("odd" + std::to_string(Index), std::to_string(Round));
  Fleet.runFor(1s);
  CHECK(Fleet.logged("upstream-entry-skipped") > 0);
  // One line each second at each instance.
  CHECK(Fleet.logged("upstream-entry-skipped") <= 4);
}

} // namespace
} // namespace bronzeward::platform
