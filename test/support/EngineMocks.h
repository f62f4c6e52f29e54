#pragma once

#include "bronzeward/Request"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace bronzeward::fakes {

/// Expects what is sent to callers.
class MockCallers : public CallerPort {
public:
  MAKE_MOCK2(answer, void(CallerTicket, const Answer &), override);
  MAKE_MOCK2(beginStream, void(CallerTicket, const Answer &), override);
  MAKE_MOCK2(sendPart, void(CallerTicket, const std::string &), override);
  MAKE_MOCK2(endStream, void(CallerTicket, const std::string &), override);
  MAKE_MOCK1(disconnect, void(CallerTicket), override);
};

/// Expects what is sent to upstreams.
class MockUpstreams : public UpstreamPort {
public:
  MAKE_MOCK1(dispatch, void(const UpstreamCall &), override);
  MAKE_MOCK1(cancel, void(AttemptId), override);
  MAKE_MOCK1(probe, void(const UpstreamProbe &), override);
};

/// Discards all log entries.
class SilentLog : public DecisionLog {
public:
  void onChoice(const ChoiceRecord &) override {}
  void onEnd(const RequestId &, const WorkspaceId &, std::uint16_t,
             const std::string &, const std::string &) override {}
  void onEvent(const std::string &, const std::string &) override {}
};

/// Discards all messages to peers.
class SilentPeers : public PeerPort {
public:
  void send(const InstanceId &, const PeerMessage &) override {}
};

/// Clock that stands still.
class FixedClock : public Clock {
public:
  [[nodiscard]] TimePoint now() const override { return TimePoint(1h); }
  [[nodiscard]] WallTime wallNow() const override { return WallTime(); }
};

} // namespace bronzeward::fakes
