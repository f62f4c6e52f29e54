#include "bronzeward/Request"

#include "test/support/EngineMocks.h"
#include "test/support/FakeFleet.h"

namespace bronzeward {
namespace {

using fakes::FixedClock;
using fakes::MockCallers;
using fakes::MockUpstreams;
using fakes::SilentLog;
using trompeloeil::_;

/// Store whose replies are delivered on demand, and peers that never reply.
class ManualStore : public StorePort, public PeerPort {
public:
  void send(StoreCallId Id, const StoreCall &Call) override {
    Waiting.emplace_back(Id, Call);
  }
  void send(const InstanceId &, const PeerMessage &) override {}

  void answerAll(StoreClient &Client, TimePoint Now) {
    while (!Waiting.empty()) {
      const auto [Id, Call] = Waiting.front();
      Waiting.erase(Waiting.begin());
      Client.onReply(Id, Store.execute(Call), Now);
    }
  }

  fakes::FakeStore Store;
  std::vector<std::pair<StoreCallId, StoreCall>> Waiting;
};

const char *ConfigurationText = R"(
[deployment]
name = "test"
[[service]]
name = "draft"
kind = "model"
models = ["m"]
price = { input_token = 1, output_token = 2 }
max_output_tokens = 4
depends_on = ["permits"]
[[service]]
name = "permits"
kind = "plain"
route = "/permits"
price = { call = 7 }
[[upstream]]
name = "e1"
service = "draft"
address = "127.0.0.1:1"
failure_domain = "a"
[[upstream]]
name = "e2"
service = "draft"
address = "127.0.0.1:2"
failure_domain = "a"
[[upstream]]
name = "p1"
service = "permits"
address = "127.0.0.1:3"
failure_domain = "a"
[[workspace]]
name = "khan"
key_sha256 = [")";

/// One engine with its budget agent and mocked callers and upstreams. The test
/// advances the time.
class EngineFixture {
public:
  EngineFixture()
      : Client(Store, Timers, Source, StorePolicy()),
        Engine(OwnIncarnation, FailureDomain{"a"},
               {Callers, Upstreams, Log, Wall, Timers, Source}),
        Budgets(OwnIncarnation, FailureDomain{"a"}, Policy,
                {Client, Store, Timers, Source, Engine}) {
    Engine.attach(Budgets);
    auto Parsed =
        parseConfiguration(ConfigurationText + sha256Hex("key") + "\"]\n");
    REQUIRE(Parsed);
    Engine.configure({1}, std::move(Parsed).value());
    SlotLedger Ledger{SlotRecord()};
    Ledger.apply(
        TopUp{WorkspaceId{"khan"}, OperationId{"t"}, Money(1'000'000)});
    Store.Store.execute(
        CompareAndSwap{slotKey({0}), encodeSlotRecord(Ledger.record()), 0, {}});
  }

  CallerRequest chat(bool Streamed) {
    CallerRequest Result = plain("");
    Result.Target = "/v1/chat/completions";
    Result.Body = std::string("{\"model\":\"m\",\"stream\":") +
                  (Streamed ? "true" : "false") +
                  ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
    return Result;
  }

  CallerRequest plain(const std::string &Key) {
    CallerRequest Result;
    Result.Ticket.Number = ++LastTicket;
    Result.Method = "POST";
    Result.Target = "/permits/file";
    Result.Authorization = "Bearer key";
    Result.Key = Key;
    Result.Body = "{}";
    return Result;
  }

  void request(CallerRequest In) {
    Engine.onCallerRequest(std::move(In), Now);
    settle();
  }
  /// Delivers the store's replies and runs the timers due within 60 ms, in
  /// which bills are committed.
  void settle() {
    Store.answerAll(Client, Now);
    Now += 60ms;
    Timers.runDue(Now);
    Store.answerAll(Client, Now);
  }

  /// \returns the amount billed to the workspace.
  Money settled() {
    return findAccount(Store.Store.slot({0}), WorkspaceId{"khan"})->Settled;
  }

  const Incarnation OwnIncarnation{InstanceId{"i"}, 1 << RegistrationShift};
  BudgetPolicy Policy;
  ManualStore Store;
  TimerQueue Timers;
  Random Source{1};
  MockCallers Callers;
  MockUpstreams Upstreams;
  SilentLog Log;
  FixedClock Wall;
  StoreClient Client;
  RequestEngine Engine;
  BudgetAgent Budgets;
  TimePoint Now{1h};
  std::uint64_t LastTicket = 0;
};

/// \returns whether an answer's headers hold this outcome and reason.
bool refusedAs(const Answer &Received, const char *Outcome,
               const char *Reason) {
  bool HasOutcome = false;
  bool HasReason = false;
  for (const HeaderField &Field : Received.Headers) {
    HasOutcome = HasOutcome ||
                 (Field.Name == "Bronzeward-Outcome" && Field.Value == Outcome);
    HasReason = HasReason ||
                (Field.Name == "Bronzeward-Reason" && Field.Value == Reason);
  }
  return HasOutcome && HasReason;
}

const char *Token = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"},"
                    "\"finish_reason\":null}],\"usage\":{\"prompt_tokens\":5,"
                    "\"completion_tokens\":1}}\n\n";
const char *Stop = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":"
                   "\"stop\"}],\"usage\":{\"prompt_tokens\":5,"
                   "\"completion_tokens\":1}}\n\ndata: [DONE]\n\n";

TEST_CASE("The end of a stream is held back until its bill is durable",
          "[RequestEngine]") {
  EngineFixture Item;
  AttemptId Attempt;
  REQUIRE_CALL(Item.Upstreams, dispatch(_))
      .LR_SIDE_EFFECT(Attempt = _1.Attempt);
  Item.request(Item.chat(true));
  Item.Engine.onUpstreamHead(Attempt, 200, "text/event-stream", Item.Now);
  {
    REQUIRE_CALL(Item.Callers, beginStream(_, _));
    REQUIRE_CALL(Item.Callers, sendPart(_, Token));
    Item.Engine.onUpstreamBytes(Attempt, Token, Item.Now);
    Item.Engine.onUpstreamBytes(Attempt, Stop, Item.Now);
    Item.Engine.onUpstreamEnd(Attempt, Item.Now);
  }
  std::string End;
  REQUIRE_CALL(Item.Callers, endStream(_, _)).LR_SIDE_EFFECT(End = _2);
  Item.settle();
  CHECK(End.find("[DONE]") != std::string::npos);
  CHECK(Item.settled() == Money(7));
}

TEST_CASE("Usage beyond the reservation is capped and counted",
          "[RequestEngine]") {
  EngineFixture Item;
  AttemptId Attempt;
  REQUIRE_CALL(Item.Upstreams, dispatch(_))
      .LR_SIDE_EFFECT(Attempt = _1.Attempt);
  REQUIRE_CALL(Item.Callers, answer(_, _));
  CallerRequest In = Item.chat(false);
  const std::int64_t Bytes = static_cast<std::int64_t>(In.Body.size());
  Item.request(std::move(In));
  Item.Engine.onUpstreamHead(Attempt, 200, "application/json", Item.Now);
  Item.Engine.onUpstreamBytes(Attempt,
                              "{\"usage\":{\"prompt_tokens\":9000,"
                              "\"completion_tokens\":9000}}",
                              Item.Now);
  Item.Engine.onUpstreamEnd(Attempt, Item.Now);
  Item.settle();
  CHECK(Item.settled() == Money(Bytes + 8));
  CHECK(Item.Engine.counters().OverReported == 1);
}

TEST_CASE("A repeatable request is retried at another upstream after a failure",
          "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  Item.request(Item.chat(true));
  Item.Engine.onUpstreamFailure(Calls.at(0).Attempt, UpstreamFailure::Closed,
                                Item.Now);
  REQUIRE(Calls.size() == 2);
  CHECK(Calls[0].Upstream != Calls[1].Upstream);
}

TEST_CASE("A running request survives a configuration without its service",
          "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  Answer Received;
  REQUIRE_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Received = _2);
  Item.request(Item.chat(true));
  Configuration Empty;
  Item.Engine.configure({2}, std::move(Empty));
  Item.Engine.onUpstreamFailure(Calls.at(0).Attempt, UpstreamFailure::Closed,
                                Item.Now);
  CHECK(refusedAs(Received, "unknown", "no-upstream"));
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("A late answer of a failed attempt is dropped", "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  Item.request(Item.chat(true));
  Item.Engine.onUpstreamFailure(Calls.at(0).Attempt, UpstreamFailure::Closed,
                                Item.Now);
  FORBID_CALL(Item.Callers, sendPart(_, _));
  Item.Engine.onUpstreamBytes(Calls.at(0).Attempt, Token, Item.Now);
}

TEST_CASE("A content that crashed two upstreams is refused as not-run",
          "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  std::vector<Answer> Answers;
  ALLOW_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Answers.push_back(_2));
  Item.request(Item.chat(true));
  Item.Engine.onUpstreamFailure(Calls.at(0).Attempt, UpstreamFailure::Closed,
                                Item.Now);
  Item.Engine.onUpstreamFailure(Calls.at(1).Attempt, UpstreamFailure::Closed,
                                Item.Now);
  REQUIRE(Answers.size() == 1);
  CHECK(refusedAs(Answers[0], "unknown", "quarantined"));
  Item.request(Item.chat(true));
  REQUIRE(Answers.size() == 2);
  CHECK(refusedAs(Answers[1], "not-run", "quarantined"));
  CHECK(Calls.size() == 2);
}

TEST_CASE("A call that may not be repeated is not sent twice",
          "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  std::vector<Answer> Answers;
  ALLOW_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Answers.push_back(_2));
  Item.request(Item.plain("k1"));
  REQUIRE(Calls.size() == 1);
  // Connections are not reused: a reused one may turn out closed.
  CHECK(Calls[0].MaxIdle == Duration());
  Item.Engine.onUpstreamFailure(Calls[0].Attempt, UpstreamFailure::Closed,
                                Item.Now);
  REQUIRE(Answers.size() == 1);
  CHECK(refusedAs(Answers[0], "unknown", "upstream-failed"));
  Item.request(Item.plain("k1"));
  CHECK(refusedAs(Answers.at(1), "unknown", "already-started"));
  CHECK(Calls.size() == 1);
}

TEST_CASE("An upstream's refusal does not report a call as not run",
          "[RequestEngine]") {
  for (const std::uint16_t Status : {408, 421, 429, 503}) {
    EngineFixture Item;
    std::vector<UpstreamCall> Calls;
    ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
    std::vector<Answer> Answers;
    ALLOW_CALL(Item.Callers, answer(_, _))
        .LR_SIDE_EFFECT(Answers.push_back(_2));
    Item.request(Item.plain("k1"));
    REQUIRE(Calls.size() == 1);
    Item.Engine.onUpstreamHead(Calls[0].Attempt, Status, "", Item.Now);
    Item.Engine.onUpstreamEnd(Calls[0].Attempt, Item.Now);
    Item.settle();
    REQUIRE(Answers.size() == 1);
    const std::string *Reported =
        findHeader(Answers[0].Headers, "Bronzeward-Outcome");
    REQUIRE(Reported != nullptr);
    CHECK(*Reported == "ran");
    // The call is not sent again under the same key.
    Item.request(Item.plain("k1"));
    CHECK(Calls.size() == 1);
  }
}

TEST_CASE("A call that was never sent releases its claim", "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  std::vector<Answer> Answers;
  ALLOW_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Answers.push_back(_2));
  Item.request(Item.plain("k1"));
  Item.Engine.onUpstreamFailure(Calls.at(0).Attempt, UpstreamFailure::NotSent,
                                Item.Now);
  Item.settle();
  CHECK(refusedAs(Answers.at(0), "not-run", "no-upstream"));
  Item.request(Item.plain("k1"));
  CHECK(Calls.size() == 2);
}

TEST_CASE("A refusal as not-run names the unavailable dependency",
          "[RequestEngine]") {
  EngineFixture Item;
  Item.Engine.upstreams().onLeaving(UpstreamName{"p1"}, true);
  Answer Received;
  REQUIRE_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Received = _2);
  FORBID_CALL(Item.Upstreams, dispatch(_));
  Item.request(Item.chat(true));
  CHECK(refusedAs(Received, "not-run", "dependency-unavailable"));
  CHECK(Received.Body.find("permits") != std::string::npos);
}

TEST_CASE("A leaving upstream gets no new work", "[RequestEngine]") {
  EngineFixture Item;
  Item.Engine.upstreams().onLeaving(UpstreamName{"e1"}, true);
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  for (int Number = 0; Number < 20; ++Number)
    Item.request(Item.chat(true));
  REQUIRE(Calls.size() == 20);
  for (const UpstreamCall &Call : Calls)
    CHECK(Call.Upstream.Value == "e2");
}

TEST_CASE("A caller that disconnects is billed for the generated tokens",
          "[RequestEngine]") {
  EngineFixture Item;
  AttemptId Attempt;
  CallerRequest In = Item.chat(true);
  const CallerTicket Ticket = In.Ticket;
  REQUIRE_CALL(Item.Upstreams, dispatch(_))
      .LR_SIDE_EFFECT(Attempt = _1.Attempt);
  REQUIRE_CALL(Item.Upstreams, cancel(_));
  REQUIRE_CALL(Item.Callers, beginStream(_, _));
  REQUIRE_CALL(Item.Callers, sendPart(_, _));
  Item.request(std::move(In));
  Item.Engine.onUpstreamHead(Attempt, 200, "text/event-stream", Item.Now);
  Item.Engine.onUpstreamBytes(Attempt, Token, Item.Now);
  Item.Engine.onCallerGone(Ticket, Item.Now);
  Item.settle();
  CHECK(Item.settled() == Money(7));
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("The caller's presence is passed on with each attempt",
          "[RequestEngine]") {
  class Absent : public CallerPresence {
    [[nodiscard]] bool hasLeft() const override { return true; }
  };
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  CallerRequest In = Item.chat(true);
  In.Presence = std::make_shared<Absent>();
  const std::shared_ptr<const CallerPresence> Presence = In.Presence;
  Item.request(std::move(In));
  REQUIRE(Calls.size() == 1);
  CHECK(Calls[0].Presence == Presence);
}

// Guards against a claim that blocks the key of a request that was never sent.
TEST_CASE("A request whose caller left before it was sent releases its claim",
          "[RequestEngine]") {
  EngineFixture Item;
  std::vector<UpstreamCall> Calls;
  ALLOW_CALL(Item.Upstreams, dispatch(_)).LR_SIDE_EFFECT(Calls.push_back(_1));
  ALLOW_CALL(Item.Callers, disconnect(_));
  Item.request(Item.plain("k1"));
  REQUIRE(Calls.size() == 1);
  Item.Engine.onUpstreamFailure(Calls.back().Attempt,
                                UpstreamFailure::CallerLeft, Item.Now);
  Item.settle();
  CHECK(Item.Engine.inFlight() == 0);
  CHECK(Item.settled() == Money());
  // The same request can be sent again under its key.
  Item.request(Item.plain("k1"));
  CHECK(Calls.size() == 2);
}

TEST_CASE("A request that exceeds its deadline ends with outcome unknown",
          "[RequestEngine]") {
  EngineFixture Item;
  ALLOW_CALL(Item.Upstreams, dispatch(_));
  REQUIRE_CALL(Item.Upstreams, cancel(_));
  Answer Received;
  REQUIRE_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Received = _2);
  Item.request(Item.chat(true));
  Item.Now += 61s;
  Item.Timers.runDue(Item.Now);
  CHECK(refusedAs(Received, "unknown", "deadline-exceeded"));
  CHECK(Item.Engine.inFlight() == 0);
}

TEST_CASE("Invalid requests are refused as not-run", "[RequestEngine]") {
  EngineFixture Item;
  FORBID_CALL(Item.Upstreams, dispatch(_));
  std::vector<Answer> Answers;
  ALLOW_CALL(Item.Callers, answer(_, _)).LR_SIDE_EFFECT(Answers.push_back(_2));
  CallerRequest WrongKey = Item.chat(false);
  WrongKey.Authorization = "Bearer other";
  CallerRequest BadJson = Item.chat(false);
  BadJson.Body = "{";
  CallerRequest UnknownModel = Item.chat(false);
  UnknownModel.Body = "{\"model\":\"none\",\"messages\":[]}";
  CallerRequest UnknownRoute = Item.plain("k");
  UnknownRoute.Target = "/elsewhere";
  CallerRequest NoLimit = Item.chat(false);
  NoLimit.Body = "{\"model\":\"m\",\"max_tokens\":0,\"messages\":[]}";
  for (const CallerRequest &In :
       {WrongKey, BadJson, UnknownModel, UnknownRoute, NoLimit, Item.plain("")})
    Item.request(In);
  REQUIRE(Answers.size() == 6);
  CHECK(refusedAs(Answers[0], "not-run", "wrong-key"));
  CHECK(refusedAs(Answers[1], "not-run", "invalid-request"));
  CHECK(refusedAs(Answers[2], "not-run", "unknown-model"));
  CHECK(refusedAs(Answers[3], "not-run", "unknown-route"));
  CHECK(refusedAs(Answers[4], "not-run", "invalid-request"));
  CHECK(refusedAs(Answers[5], "not-run", "idempotency-key-required"));
}

} // namespace
} // namespace bronzeward
