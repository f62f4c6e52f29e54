#pragma once

#include "bronzeward/Relay"

#include "test/support/EngineMocks.h"

#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace bronzeward::fakes {

using trompeloeil::_;

/// Minimal codec: "Id" identifies the attempt, and "Not-Run", "Leaving",
/// "Back-Off", "Misdirected" and "Rate-Limit" in an answer set the field of
/// that name.
class MinimalCodec : public CallCodec {
public:
  [[nodiscard]] Result<RelayCall> parseCall(CallerRequest In) const override {
    RelayCall Call;
    Call.Ticket = In.Ticket;
    Call.Method = In.Method;
    Call.Target = In.Target;
    Call.Host = In.Host;
    Call.Body = In.Body;
    Call.CallerAttemptId = "call-" + std::to_string(In.Ticket.Number);
    if (const std::string *Last = findHeader(In.Headers, "Last-Event-Id"))
      Call.LastEventId = *Last;
    if (const std::string *Parts = findHeader(In.Headers, "Parts")) {
      std::istringstream List(*Parts);
      for (std::string Part; std::getline(List, Part, ',');)
        Call.Parts.push_back({hash64(Part), 100});
    }
    return Call;
  }
  [[nodiscard]] std::vector<HeaderField>
  dispatchHeaders(const RelayCall &,
                  const DispatchContext &Terms) const override {
    return {{"Left", std::to_string(Terms.TimeLeft.count())},
            {"Last", Terms.LastEventId}};
  }
  [[nodiscard]] HeaderField
  matchingHeader(const RelayCall &Call) const override {
    return {"Id", Call.CallerAttemptId};
  }
  [[nodiscard]] RelayAnswerHead
  parseAnswerHead(const HttpHead &Head) const override {
    RelayAnswerHead Response;
    Response.Status = Head.Status;
    Response.NotRun = findHeader(Head.Headers, "Not-Run") != nullptr;
    Response.Leaving = findHeader(Head.Headers, "Leaving") != nullptr;
    if (findHeader(Head.Headers, "Back-Off") != nullptr)
      Response.BackOff = 2s;
    Response.Misdirected = findHeader(Head.Headers, "Misdirected") != nullptr;
    if (const std::string *Limit = findHeader(Head.Headers, "Rate-Limit"))
      Response.RateLimit = CallRate{std::stod(*Limit)};
    Response.Forwarded = Head.Headers;
    return Response;
  }
};

inline RouteSpec routeOf(const char *Prefix, CallKind Kind, int Attempts,
                         bool Resumable = false) {
  RouteSpec Route;
  Route.Name = Route.Prefix = Prefix;
  Route.Host = "h";
  Route.Kind = Kind;
  Route.Targets = {{ServiceName{"s"}, 1}};
  Route.Timeout = 6s;
  Route.Objective = 500ms;
  Route.Attempts = Attempts;
  Route.Resumable = Resumable;
  return Route;
}

/// \brief An engine with three upstreams, whose clock and upstreams the test
/// controls.
class RelayFixture {
public:
  RelayFixture() {
    Dispatch = NAMED_ALLOW_CALL(Upstreams, dispatch(_))
                   .LR_SIDE_EFFECT(Calls.push_back(_1));
    Cancel = NAMED_ALLOW_CALL(Upstreams, cancel(_))
                 .LR_SIDE_EFFECT(Cancelled.push_back(_1));
    Probe = NAMED_ALLOW_CALL(Upstreams, probe(_))
                .LR_SIDE_EFFECT(Probes.push_back(_1.Upstream));
    FullAnswer = NAMED_ALLOW_CALL(Callers, answer(_, _))
                     .LR_SIDE_EFFECT(Answers.push_back(_2));
    StreamBegin =
        NAMED_ALLOW_CALL(Callers, beginStream(_, _)).LR_SIDE_EFFECT(++Streams);
    StreamPart =
        NAMED_ALLOW_CALL(Callers, sendPart(_, _)).LR_SIDE_EFFECT(Text += _2);
    StreamEnd = NAMED_ALLOW_CALL(Callers, endStream(_, _))
                    .LR_SIDE_EFFECT(++CompleteStreams);
    Disconnect =
        NAMED_ALLOW_CALL(Callers, disconnect(_)).LR_SIDE_EFFECT(++Disconnected);
    FleetConfiguration Accepted;
    Accepted.Version = {1};
    Accepted.Routes = {routeOf("/post/", CallKind::NonIdempotent, 1),
                       routeOf("/get/", CallKind::Idempotent, 2),
                       routeOf("/stream/", CallKind::Stream, 1),
                       routeOf("/resume/", CallKind::Stream, 2, true)};
    Accepted.Services = {{ServiceName{"s"}, 100, 0}};
    Engine.configure(std::move(Accepted), Now);
    Engine.setUsable(entries(0ms), Now);
  }

  static std::vector<UpstreamEntry> entries(std::chrono::milliseconds Started) {
    std::vector<UpstreamEntry> All;
    for (const char *Name : {"u1", "u2", "u3"}) {
      UpstreamEntry Entry;
      Entry.Name.Value = Name;
      Entry.Service.Value = "s";
      Entry.Host = "10.0.0.1";
      Entry.Port = 80;
      Entry.Slots = 6;
      Entry.Started = WallTime(Started);
      All.push_back(Entry);
    }
    return All;
  }

  CallerTicket request(const char *Target, const char *Body = "",
                       std::vector<HeaderField> Headers = {}) {
    CallerRequest In;
    In.Headers = std::move(Headers);
    In.Ticket = CallerTicket{++LastTicket};
    In.Method = "POST";
    In.Target = Target;
    In.Host = "h";
    In.Body = Body;
    Engine.onCallerRequest(std::move(In), Now);
    return CallerTicket{LastTicket};
  }
  void head(std::uint16_t Status, std::vector<HeaderField> Headers = {}) {
    Engine.onUpstreamHead(Calls.back().Attempt, {Status, std::move(Headers)},
                          Now);
  }
  void bytes(const char *Bytes) {
    Engine.onUpstreamBytes(Calls.back().Attempt, Bytes, Now);
  }
  void end() { Engine.onUpstreamEnd(Calls.back().Attempt, Now); }
  void fail(UpstreamFailure How) {
    Engine.onUpstreamFailure(Calls.back().Attempt, How, Now);
  }
  void wait(Duration Time) {
    Now += Time;
    Timers.runDue(Now);
  }
  /// Replaces the upstreams by Count new ones.
  void addUpstreams(int Count) {
    std::vector<UpstreamEntry> All;
    for (int Index = 0; Index < Count; ++Index) {
      All.push_back(entries(0ms).front());
      All.back().Name.Value = "u" + std::to_string(Index);
    }
    Engine.setUsable(All, Now);
  }
  /// Reports a connect timeout for the oldest call that has not timed out yet.
  void timeOutOldest() {
    Engine.onUpstreamFailure(Calls[TimedOut++].Attempt,
                             UpstreamFailure::ConnectTimedOut, Now);
  }
  [[nodiscard]] static bool promisesNotRun(const Answer &Response) {
    return Response.Status == 503 || Response.Status == 429 ||
           Response.Status == 408 || Response.Status == 421;
  }

  TimePoint Now{1h};
  MockCallers Callers;
  MockUpstreams Upstreams;
  std::vector<UpstreamCall> Calls;
  std::size_t TimedOut = 0;
  std::vector<AttemptId> Cancelled;
  std::vector<UpstreamName> Probes;
  std::vector<Answer> Answers;
  int Streams = 0;
  int CompleteStreams = 0;
  int Disconnected = 0;
  std::string Text;
  std::unique_ptr<trompeloeil::expectation> Dispatch, Cancel, Probe, FullAnswer,
      StreamBegin, StreamPart, StreamEnd, Disconnect;
  SilentLog Log;
  FixedClock Wall;
  TimerQueue Timers;
  Random Source{1};
  MinimalCodec Codec;
  Membership Members;
  fakes::SilentPeers Peers;
  RateLimitAgent Limits{InstanceId{"i0"}, {Peers, Timers, Source, Log}};
  RelayEngine Engine{
      FailureDomain{"a"},
      {0.2, 54.0, 10s},
      {Callers, Upstreams, Log, Wall, Timers, Source, Codec, Members, Limits}};
  std::uint64_t LastTicket = 0;
};

} // namespace bronzeward::fakes
