#include "bronzeward/src/Net/Base64.h"
#include "platform/PlatformCallCodec.h"
#include "platform/PlatformDeploymentCodec.h"
#include "platform/PlatformStoreCodec.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/url.hpp>
#include <catch2/catch.hpp>

namespace bronzeward::platform {
namespace {

CallerRequest requestOf(std::vector<HeaderField> Headers) {
  CallerRequest Request;
  Request.Method = "POST";
  Request.Target = "/a/b?x=1";
  Request.Host = "h.example";
  Request.Headers = std::move(Headers);
  return Request;
}

const std::string *header(const std::vector<HeaderField> &Headers,
                          const char *Name) {
  return findHeader(Headers, Name);
}

TEST_CASE("A call's headers become typed fields", "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  const Result<RelayCall> Call =
      Codec.parseCall(requestOf({{"X-Attempt-Id", "a1"},
                                 {"X-Deadline-Ms", "1200"},
                                 {"X-Token-Count", "1460,80"},
                                 {"X-Prompt-Prefix", "5c:800,91:410"},
                                 {"Authorization", "Bearer secret"}}));
  REQUIRE(Call);
  CHECK(Call.value().CallerAttemptId == "a1");
  CHECK(Call.value().CallerTimeout == Duration(1200ms));
  CHECK(Call.value().PromptTokens == 1460);
  CHECK(Call.value().MaxOutputTokens == 80);
  REQUIRE(Call.value().Parts.size() == 2);
  CHECK(Call.value().Parts[1].Tokens == 410);
  CHECK(Call.value().ApiKey == "secret");
}

TEST_CASE("Missing, repeated and malformed headers are rejected",
          "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  CHECK_FALSE(Codec.parseCall(requestOf({})));
  CHECK_FALSE(Codec.parseCall(
      requestOf({{"X-Attempt-Id", "a"}, {"x-attempt-id", "b"}})));
  CHECK_FALSE(Codec.parseCall(
      requestOf({{"X-Attempt-Id", "a"}, {"X-Deadline-Ms", "soon"}})));
  CHECK_FALSE(Codec.parseCall(requestOf({{"X-Attempt-Id", "a"},
                                         {"X-Token-Count", "1,2"},
                                         {"X-Token-Count", "9,9"}})));
}

TEST_CASE("Headers that callers may not set are dropped or replaced",
          "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  const Result<RelayCall> Call =
      Codec.parseCall(requestOf({{"X-Attempt-Id", "a1"},
                                 {"Authorization", "Bearer secret"},
                                 {"X-Tenant", "forged"},
                                 {"X-Expect-Instance", "forged"},
                                 {"X-Hold", "1"},
                                 {"X-Pin-Ms", "4000"},
                                 {"X-Kv-Backup", "1.2.3.4:5"},
                                 {"Kv-From", "1.2.3.4:5/6"},
                                 {"Kv-Fetch", "1.2.3.4:5"},
                                 {"X-Request-Priority", "0"},
                                 {"Connection", "X-Extra, X-Attempt-Id"},
                                 {"X-Extra", "1"},
                                 {"X-Model", "m"}}));
  REQUIRE(Call);
  DispatchContext Terms;
  Terms.TimeLeft = 900ms;
  Terms.Upstream.Value = "i-1";
  Terms.Workspace.Value = "khan";
  Terms.Priority = 4;
  const std::vector<HeaderField> Out =
      Codec.dispatchHeaders(Call.value(), Terms);
  for (const char *Dropped : {"Authorization", "X-Hold", "X-Pin-Ms",
                              "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Extra"})
    CHECK(header(Out, Dropped) == nullptr);
  CHECK(*header(Out, "X-Tenant") == "khan");
  CHECK(*header(Out, "X-Expect-Instance") == "i-1");
  CHECK(*header(Out, "X-Request-Priority") == "4");
  CHECK(*header(Out, "X-Deadline-Ms") == "900");
  CHECK(*header(Out, "X-Attempt-Id") == "a1");
  CHECK(*header(Out, "X-Model") == "m");
}

// Sums of such numbers did not fit 64 bits: the time left and the cost became
// negative.
TEST_CASE("The largest numbers in headers neither overflow nor turn negative",
          "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  const std::string Largest = "9223372036854775807";
  const Result<RelayCall> Call = Codec.parseCall(
      requestOf({{"X-Attempt-Id", "a1"},
                 {"X-Deadline-Ms", Largest},
                 {"X-Token-Count", Largest + "," + Largest},
                 {"X-Prompt-Prefix", "5c:" + Largest + ",91:" + Largest}}));
  REQUIRE(Call);
  CHECK(Call.value().CallerTimeout > Duration(1h));
  CHECK(*Call.value().PromptTokens + *Call.value().MaxOutputTokens > 0);
  REQUIRE(Call.value().Parts.size() == 2);
  CHECK(Call.value().Parts[0].Tokens + Call.value().Parts[1].Tokens > 0);
  const RelayAnswerHead Head = Codec.parseAnswerHead(
      {200, {{"X-Server-Load", Largest + "," + Largest + ",8"}}});
  REQUIRE(Head.Load);
  CHECK(Head.Load->Running + Head.Load->Waiting > 0);
}

TEST_CASE("The fourth figure of a load report is the host's slowness",
          "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  const auto ParsedLoad = [&Codec](const std::string &Text) {
    return Codec.parseAnswerHead({200, {{"X-Server-Load", Text}}}).Load;
  };
  REQUIRE(ParsedLoad("3,1,8,250"));
  CHECK(ParsedLoad("3,1,8,250")->Running == 3);
  CHECK(ParsedLoad("3,1,8,250")->HostSlowness == 2.5);
  CHECK_FALSE(ParsedLoad("3,1,8")->HostSlowness);
  for (const std::string Malformed : {"0", "-1", "", "x", "1e9"}) {
    INFO(Malformed);
    REQUIRE(ParsedLoad("3,1,8," + Malformed));
    CHECK(ParsedLoad("3,1,8," + Malformed)->Waiting == 1);
    CHECK_FALSE(ParsedLoad("3,1,8," + Malformed)->HostSlowness);
  }
  const std::string Largest = "9223372036854775807";
  CHECK(*ParsedLoad("3,1,8," + Largest)->HostSlowness <= 10.0);
}

TEST_CASE("An answer's head shows whether the call ran", "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  CHECK(Codec.parseAnswerHead({503, {{"X-Not-Executed", "1"}}}).NotRun);
  CHECK(Codec.parseAnswerHead({421, {}}).Misdirected);
  CHECK_FALSE(Codec.parseAnswerHead({500, {}}).NotRun);
  const RelayAnswerHead Head =
      Codec.parseAnswerHead({200,
                             {{"X-Server-Load", "3,1,8"},
                              {"X-Response-Signature", "s"},
                              {"Content-Length", "3"}}});
  REQUIRE(Head.Load);
  CHECK(Head.Load->Waiting == 1);
  CHECK(header(Head.Forwarded, "X-Response-Signature") != nullptr);
  CHECK(header(Head.Forwarded, "Content-Length") == nullptr);
}

TEST_CASE("Leaving and Retry-After headers of an upstream are read",
          "[PlatformCodec]") {
  const platform::PlatformCallCodec Codec;
  CHECK(Codec.parseAnswerHead({200, {{"Server-Leaving", "1"}}}).Leaving);
  CHECK_FALSE(Codec.parseAnswerHead({200, {{"Server-Leaving", "0"}}}).Leaving);
  CHECK_FALSE(Codec.parseAnswerHead({200, {}}).Leaving);
  CHECK(Codec.parseAnswerHead({503, {{"Retry-After", "1.5"}}}).BackOff ==
        Duration(1500ms));
  // Only a 503 states a time for the upstream itself.
  CHECK_FALSE(Codec.parseAnswerHead({500, {{"Retry-After", "1.5"}}}).BackOff);
  for (const char *Bad : {"", "soon", "-1", "1x", "nan"})
    CHECK_FALSE(Codec.parseAnswerHead({503, {{"Retry-After", Bad}}}).BackOff);
  CHECK(Codec.parseAnswerHead({503, {{"Retry-After", "1e300"}}}).BackOff ==
        Duration(1h));
}

TEST_CASE("The rate limit that an upstream states is read", "[PlatformCodec]") {
  const PlatformCallCodec Codec;
  const auto Limit = [&](std::vector<HeaderField> Headers) {
    return Codec.parseAnswerHead({200, std::move(Headers)});
  };
  CHECK(Limit({{"Server-Limit", "1"}}).RateLimit == CallRate{1.0});
  CHECK(Limit({{"server-limit", "0.25"}}).RateLimit == CallRate{0.25});
  CHECK(Limit({{"Server-Limit", "0"}}).RateLimit == CallRate{0.0});
  // Of several limits the lowest is safe.
  CHECK(Limit({{"Server-Limit", "3"}, {"Server-Limit", "2"}}).RateLimit ==
        CallRate{2.0});
  CHECK(Limit({{"Server-Limit", "2, 3"}}).RateLimit == CallRate{2.0});
  CHECK(Limit({{"Server-Limit", "x"}, {"Server-Limit", "2"}}).RateLimit ==
        CallRate{2.0});
  for (const char *Bad : {"", "soon", "-1", "1x", "nan", "inf", "1e3"}) {
    CHECK_FALSE(Limit({{"Server-Limit", Bad}}).RateLimit);
    CHECK(Limit({{"Server-Limit", Bad}}).UnreadableRateLimit);
  }
  CHECK_FALSE(Limit({}).RateLimit);
  CHECK_FALSE(Limit({}).UnreadableRateLimit);
}

TEST_CASE("Store calls are encoded in the platform's format",
          "[PlatformCodec]") {
  const PlatformStoreCodec Codec;
  const std::optional<StoreHttpCall> List =
      Codec.encode(ListKeys{"servers/", "servers/i&1", true});
  REQUIRE(List);
  CHECK(List->Target == "/bronzeward/kv-range?prefix=servers/"
                        "&after=servers/i%261&allow_stale=1");
  const std::optional<StoreHttpCall> Swap =
      Codec.encode(CompareAndSwap{"k", "v", 3, StoreLeaseId{7}});
  REQUIRE(Swap);
  CHECK(Swap->Body == R"({"expected_rev":[{"key":"k","rev":3}],"writes":)"
                      R"([{"key":"k","value":"dg==","lease":7}],"remove":[]})");
}

/// \returns the value of a query's parameter.
/// \param SpaceAsPlus whether '+' is read as a blank, as form decoders do.
std::string parameterOf(const std::string &Target, const char *Name,
                        bool SpaceAsPlus) {
  const boost::urls::url_view View =
      boost::urls::parse_origin_form(Target).value();
  const boost::urls::encoding_opts Options(SpaceAsPlus);
  return (*View.params(Options).find(Name)).value;
}

// Guards against a page that begins with the entry that ended the page before:
// a store read "servers/a+b" as "servers/a b".
TEST_CASE("Keys in queries are read alike by all decoders", "[PlatformCodec]") {
  const PlatformStoreCodec Codec;
  std::string AllBytes;
  for (int Byte = 0; Byte < 256; ++Byte)
    AllBytes += static_cast<char>(Byte);
  for (const std::string &Key :
       {std::string("servers/a+b"), std::string("+"), std::string("a b"),
        std::string("a&after=z"), std::string("a#b"), std::string("a%zz"),
        std::string("a%2Bb"), AllBytes}) {
    INFO(Key);
    const auto Check = [&](const StoreCall &Call, const char *Name) {
      const std::string Target = Codec.encode(Call).value().Target;
      CHECK(parameterOf(Target, Name, false) == Key);
      CHECK(parameterOf(Target, Name, true) == Key);
    };
    Check(ReadKey{Key}, "key");
    Check(ListKeys{Key, ""}, "prefix");
    Check(ListKeys{"servers/", Key}, "after");
    Check(WatchKeys{Key, 1, 1ms}, "prefix");
  }
}

TEST_CASE("A store reply shows whether its call took effect",
          "[PlatformCodec]") {
  const PlatformStoreCodec Codec;
  const CompareAndSwap Swap{"k", "v", 3, {}};
  CHECK(Codec.parse(Swap, 412, "{}").Status == StoreStatus::Conflict);
  CHECK(Codec.parse(Swap, 503, "").Status == StoreStatus::Unavailable);
  CHECK(Codec.parse(Swap, 500, "").Status == StoreStatus::Unknown);
  CHECK(Codec.parse(Swap, 200, "not json").Status == StoreStatus::Unknown);
  CHECK_FALSE(Codec.parse(Swap, 200, "not json").Problem.empty());
  // Without its revision a written key could not be changed again.
  CHECK(Codec.parse(Swap, 200, "{}").Status == StoreStatus::Unknown);
  CHECK_FALSE(Codec.parse(Swap, 200, "{}").Problem.empty());
  CHECK(Codec.parse(Swap, 200, R"({"rev":9})").Revision == 9);
  CHECK(Codec.parse(ReadKey{"k"}, 404, "").Entries.empty());
  CHECK(Codec.parse(WatchKeys{"a", 1, 1ms}, 410, "").HistoryLost);
  const StoreReply Watched = Codec.parse(
      WatchKeys{"a", 1, 1ms}, 200,
      R"({"events":[{"key":"a/1","value":"dg==","rev":4},)"
      R"({"key":"a/2","rev":5,"deleted":true}],"store_revision":6})");
  REQUIRE(Watched.Entries.size() == 2);
  CHECK(Watched.Entries[0].Value == "v");
  CHECK(Watched.Entries[1].Deleted);
  CHECK(Watched.Revision == 6);
}

TEST_CASE("Malformed registry entries are rejected", "[PlatformCodec]") {
  const PlatformDeploymentCodec Codec;
  const auto Parse = [&](const char *Value) {
    return Codec.parseUpstream({"servers/i-1", Value, 1, false});
  };
  const std::string Unused =
      R"("version":"v1","warmup_left_ms":0,"sequence":1,)";
  const auto ParseFields = [&](const char *Fields) {
    return Parse(("{" + Unused + Fields).c_str());
  };
  const Result<UpstreamEntry> Good = ParseFields(
      R"("service":"s","address":"10.1.2.3:80","zone":"a","capacity":6,)"
      R"("state":"draining","born":1700000000000})");
  REQUIRE(Good);
  CHECK(Good.value().Draining);
  CHECK(Good.value().Port == 80);
  CHECK_FALSE(Parse("\x01\x02"));
  CHECK_FALSE(ParseFields(R"("service":"s"})"));
  CHECK_FALSE(ParseFields(R"("service":7,"address":"10.1.2.3:80","zone":"a",)"
                          R"("capacity":6,"state":"ready"})"));
  CHECK_FALSE(ParseFields(R"("service":"s","address":"10.1.2.3:80","zone":"a",)"
                          R"("capacity":6,"state":"asleep"})"));
  CHECK_FALSE(ParseFields(R"("service":"s","address":"nowhere","zone":"a",)"
                          R"("capacity":6,"state":"ready"})"));
}

TEST_CASE("A configuration is parsed into routes, services and workspaces",
          "[PlatformCodec]") {
  const PlatformDeploymentCodec Codec;
  const Result<FleetConfiguration> Text = Codec.parseConfiguration(
      R"({"version":7,"routes":[{"name":"r","host":"H.example",)"
      R"("prefix":"/a/","kind":"streaming","timeout_ms":6000,)"
      R"("target_latency_ms":800,"priority":1,"attempts":2,)"
      R"("stream_resume":true,"backends":[{"service":"s","weight":90},)"
      R"({"service":"t","weight":10}]},{"name":"q","host":"h.example",)"
      R"("prefix":"/a/b/","kind":"idempotent","service":"t","public":true}],)"
      R"("services":[{"name":"s","max_connections":360,)"
      R"("engine":{"stride":3,"kv_capacity":352359}},{"name":"t",)"
      R"("engine":{"kv_capacity":-1}}],)"
      R"("limits":{"max_header_bytes":9000},"tenants":[{"name":"khan",)"
      R"("api_keys":["k1"],"priority":1,"prepaid":500}]})");
  REQUIRE(Text);
  const RouteTable Table(Text.value());
  REQUIRE(Table.route("h.example", "/a/x?y=/z/") != nullptr);
  CHECK(Table.route("h.example", "/a/x")->Targets.size() == 2);
  CHECK(Table.route("h.example", "/a/b/c")->Name == "q");
  CHECK(Table.route("h.example", "/ab") == nullptr);
  CHECK(Table.service(ServiceName{"s"})->TokensPerEvent == 3);
  CHECK(Table.service(ServiceName{"s"})->MemoryTokens == 352'359);
  CHECK_FALSE(Table.service(ServiceName{"t"})->MemoryTokens);
  REQUIRE(Table.workspace("k1") != nullptr);
  CHECK(Table.workspace("k1")->Prepaid == Money(500));
  CHECK(Table.workspace("k2") == nullptr);
  CHECK_FALSE(Codec.parseConfiguration("{}"));
}

TEST_CASE("Numbers of a configuration are cut to what their types hold",
          "[PlatformCodec]") {
  const PlatformDeploymentCodec Codec;
  for (const char *Number : {"1e300", "1e999", "99999999999999999999"}) {
    INFO(Number);
    const Result<FleetConfiguration> Parsed =
        Codec.parseConfiguration(boost::algorithm::replace_all_copy(
            std::string(
                R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
                R"("prefix":"/a/","kind":"idempotent","timeout_ms":@,)"
                R"("target_latency_ms":@,"priority":@,"attempts":@,)"
                R"("backends":[{"service":"s","weight":@},)"
                R"({"service":"t","weight":-1}]}],"services":[{"name":"s",)"
                R"("max_connections":@,"engine":{"stride":@,"kv_capacity":@}}],)"
                R"("limits":{"max_header_bytes":@,"header_timeout_ms":@},)"
                R"("tenants":[{"name":"khan","api_keys":["k"],)"
                R"("prepaid":@}]})"),
            "@", Number));
    REQUIRE(Parsed);
    const RouteSpec &Route = Parsed.value().Routes[0];
    // Times are added to the present.
    CHECK(Route.Timeout > Duration(1h));
    CHECK(Route.Timeout < Duration(24h) * 365);
    CHECK(Route.Objective < Duration(24h) * 365);
    CHECK(Route.Priority > 0);
    CHECK(Route.Attempts > 0);
    CHECK(Route.Targets[0].Weight > 0);
    CHECK(Route.Targets[1].Weight == 0);
    CHECK(Parsed.value().Services[0].MaxConnections > 0);
    CHECK(Parsed.value().Services[0].TokensPerEvent > 0);
    CHECK(Parsed.value().Bounds.HeaderTimeout < Duration(24h) * 365);
    CHECK(Parsed.value().Workspaces[0].Prepaid > Money());
  }
}

} // namespace
} // namespace bronzeward::platform
