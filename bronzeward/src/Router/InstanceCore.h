#pragma once

#include "bronzeward/Config"
#include "bronzeward/Request"
#include "bronzeward/src/Router/RouterStatus.h"

#include <optional>
#include <vector>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief Identity and limits of an instance, from its settings.
struct RouterIdentity {
  InstanceId Instance;
  FailureDomain Domain;
  /// Address at which peers reach the instance, "ip:port".
  std::string PeerAddress;
  /// Seed of the instance's random numbers.
  std::uint64_t Seed = 0;
  StorePolicy Store;
  /// Processor cores available to the instance; may be a fraction.
  double Capacity = 1.0;
};

/// \brief Interfaces through which an instance communicates.
struct RouterDependencies {
  StorePort &Store;
  PeerPort &Peers;
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
};

/// \returns a status with the fields that every kind of instance has in common.
/// \param NotReadyReason empty where the instance is ready.
[[nodiscard]] RouterStatus commonStatus(const RouterIdentity &Who,
                                        std::string NotReadyReason,
                                        const StoreClient &Store,
                                        const Membership &Members);

/// \brief Fills in the fields of the status that describe budgets.
void addBudgetStatus(RouterStatus &Status, const BudgetAgent &Budgets);

/// \brief One router instance without its sockets, driven by events and the
/// clock of its owner.
class InstanceCore {
public:
  virtual ~InstanceCore() = default;

  virtual void start(TimePoint Now) = 0;
  /// \brief Runs every timer due at Now.
  virtual void runTimers(TimePoint Now) = 0;

  virtual void onCallerRequest(CallerRequest In, TimePoint Now) = 0;
  virtual void onCallerGone(CallerTicket Ticket, TimePoint Now) = 0;
  virtual void onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                              TimePoint Now) = 0;
  virtual void onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                               TimePoint Now) = 0;
  virtual void onUpstreamEnd(AttemptId Attempt, TimePoint Now) = 0;
  virtual void onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                                 TimePoint Now) = 0;
  /// \brief Called when an upstream refused the connection of a probe.
  virtual void onUpstreamRefused(const UpstreamName &Name, TimePoint Now) = 0;
  virtual void onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                            bool Leaving) = 0;
  virtual void onStoreReply(StoreCallId Id, const StoreReply &Reply,
                            TimePoint Now) = 0;
  /// \brief Called when a part of a long reply arrives.
  virtual void onStoreProgress(StoreCallId Id, StoreProgress Arrived,
                               TimePoint Now) = 0;
  virtual void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                             TimePoint Now) = 0;
  virtual void onPeerUnreachable(const InstanceId &Peer, TimePoint Now) = 0;

  /// \brief Begins a graceful stop: running requests finish, and grants are
  /// returned.
  virtual void drain(TimePoint Now) = 0;
  /// \brief Ends the quarantine of a content on an operator's request.
  virtual void liftQuarantine(const ContentFingerprint &Content,
                              TimePoint Now) = 0;

  [[nodiscard]] virtual std::optional<TimePoint> nextTimer() const = 0;
  /// \returns whether callers' connections must be closed after the answers in
  /// progress.
  [[nodiscard]] virtual bool closing() const = 0;
  /// \returns whether the graceful stop is complete.
  [[nodiscard]] virtual bool drained() const = 0;
  [[nodiscard]] virtual RouterStatus status(TimePoint Now) const = 0;
  /// \returns the upstreams whose load must be polled.
  [[nodiscard]] virtual std::vector<UpstreamSpec> polledUpstreams() const = 0;
  /// \returns every peer whose address is known.
  [[nodiscard]] virtual std::vector<Member> peers() const = 0;
  /// \returns the limits on callers' requests from the configuration; nothing
  /// where it sets none.
  [[nodiscard]] virtual std::optional<CallerBounds> callerBounds() const = 0;
};

/// @}

} // namespace bronzeward
