#pragma once

#include "bronzeward/src/Relay/PermitIssuer.h"
#include "bronzeward/src/Relay/PermitStock.h"
#include "bronzeward/src/Relay/RateLimitTable.h"
#include "bronzeward/src/Request/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Receiver of notifications about permits.
class PermitListener {
public:
  virtual ~PermitListener() = default;
  /// \brief An upstream may accept calls earlier than was known, or it is known
  /// now when it does.
  virtual void onPermitsChanged(TimePoint Now) = 0;
};

/// \brief Interfaces through which a \ref RateLimitAgent reaches the outside.
struct RateLimitDependencies {
  PeerPort &Peers;
  TimerQueue &Timers;
  Random &Source;
  DecisionLog &Log;
};

/// \brief Keeps the calls of all instances together within the rate limits that
/// upstreams state. Exchanges limits and permits with the other instances.
class RateLimitAgent {
public:
  RateLimitAgent(InstanceId Own, RateLimitDependencies Dependencies);
  RateLimitAgent(const RateLimitAgent &) = delete;
  RateLimitAgent &operator=(const RateLimitAgent &) = delete;

  /// \brief Sets the receiver of notifications; it outlives the agent.
  void notify(PermitListener &Receiver) { Listener = &Receiver; }
  /// \brief As for \ref PermitIssuer.
  void onMembers(const std::vector<Member> &Members, Duration Settling,
                 TimePoint Now);
  /// \brief As for \ref PermitIssuer.
  void stopIssuingAt(TimePoint Time) { Issuer.stopAt(Time); }

  /// \brief Records the limit that an answer states; empty if it states none.
  /// \param SentAt when the answered call was sent.
  /// \param Request the caller's identifier of the call, for the log.
  void onAnswer(const UpstreamRun &Run, std::optional<CallRate> Stated,
                TimePoint SentAt, const std::string &Request, TimePoint Now);
  /// \brief Records a call that placement would send to a limited upstream, for
  /// which there is no permit, and requests permits if necessary.
  /// \returns whether a permit may arrive soon.
  bool onWanted(const UpstreamRun &Run, TimePoint Now);
  /// \returns whether a permit for the upstream is requested or on hand.
  [[nodiscard]] bool expectsPermit(const UpstreamRun &Run) const;
  /// \brief Records a call that is sent to an upstream.
  void onDispatched(const UpstreamRun &Run, TimePoint Now);

  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now);
  void onPeerUnreachable(const InstanceId &Peer);

  /// \returns the earliest time at which a call may be sent to the upstream;
  /// not after Now if one may be sent now.
  [[nodiscard]] TimePoint acceptsFrom(const UpstreamRun &Run, TimePoint Now);
  /// \returns whether the upstream states a limit.
  [[nodiscard]] bool isLimited(const UpstreamRun &Run) const {
    return Table.limitOf(Run).has_value();
  }
  /// \returns the number of upstreams that state a limit.
  [[nodiscard]] std::size_t limited() const { return Table.limited(); }
  /// \returns the limits that changed recently, for peers.
  [[nodiscard]] std::vector<RateLimitNotice> news(TimePoint Now) const {
    return Table.recentChanges(Now);
  }

private:
  /// \returns the rate at which calls are sent to the upstream; empty if it has
  /// no limit.
  [[nodiscard]] std::optional<CallRate> rateOf(const UpstreamRun &Run) const;
  PermitStock &stockOf(const UpstreamRun &Run);
  void onNotice(const RateLimitNotice &Notice, const InstanceId &From,
                TimePoint Now);
  void logLimit(const UpstreamRun &Run, const std::string &Source);
  /// Sends the requests that are due and schedules the next ones.
  void sendRequests(TimePoint Now);
  void scheduleRequests(const PermitStock &Stock);
  [[nodiscard]] PermitReply replyTo(const PermitRequest &Request,
                                    TimePoint Now);
  void applyReply(const InstanceId &From, const PermitReply &Reply,
                  TimePoint Now);
  void notifyListener(TimePoint Now);

  InstanceId Self;
  RateLimitDependencies Deps;
  PermitListener *Listener = nullptr;
  std::size_t Instances = 1;
  RateLimitTable Table;
  PermitIssuer Issuer;
  std::map<UpstreamRun, PermitStock> Stocks;
  /// When the next timer for requests is due.
  std::optional<TimePoint> NextRequests;
  std::uint64_t LastRequest = 0;
};

/// @}

} // namespace bronzeward
