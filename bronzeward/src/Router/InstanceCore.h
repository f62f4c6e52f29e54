#pragma once

#include "bronzeward/Config"
#include "bronzeward/Request"
#include "bronzeward/src/Router/RouterStatus.h"

#include <optional>
#include <vector>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// \brief What an instance knows of itself from its settings.
struct RouterIdentity {
  InstanceId Instance;
  FailureDomain Domain;
  /// Address at which peers reach it, "ip:port".
  std::string PeerAddress;
  /// Seed of its random numbers.
  std::uint64_t Seed = 0;
  StorePolicy Store;
  /// Part of a core that it has.
  double Capacity = 1.0;
};

/// \brief Interfaces through which an instance reaches the outside.
struct RouterSurroundings {
  StorePort &Store;
  PeerPort &Peers;
  CallerPort &Callers;
  UpstreamPort &Upstreams;
  DecisionLog &Log;
  const Clock &Wall;
};

/// \returns the part of the status that does not depend on what an instance
/// serves.
/// \param NotReadyReason empty where the instance is ready.
[[nodiscard]] RouterStatus commonStatus(const RouterIdentity &Who,
                                        std::string NotReadyReason,
                                        const StoreClient &Store,
                                        const Membership &Members);

/// \brief Adds what the instance holds of budgets.
void noteBudgets(RouterStatus &Status, const BudgetAgent &Budgets);

/// \brief One instance without its sockets, driven by events under its owner's
/// clock.
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
  virtual void onLoadReport(const UpstreamName &Name, const LoadReport &Report,
                            bool Leaving) = 0;
  virtual void onStoreReply(StoreCallId Id, const StoreReply &Reply,
                            TimePoint Now) = 0;
  /// \brief A part of a long reply arrived.
  virtual void onStoreProgress(StoreCallId Id, TimePoint Now) = 0;
  virtual void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                             TimePoint Now) = 0;
  virtual void onPeerUnreachable(const InstanceId &Peer, TimePoint Now) = 0;

  /// \brief Begins a graceful stop: running requests finish, grants go back.
  virtual void drain(TimePoint Now) = 0;
  /// \brief Ends an operator's quarantine of a content.
  virtual void liftQuarantine(const ContentFingerprint &Content,
                              TimePoint Now) = 0;

  [[nodiscard]] virtual std::optional<TimePoint> nextTimer() const = 0;
  /// \returns whether callers' connections are to be closed after the answers
  /// under way.
  [[nodiscard]] virtual bool closing() const = 0;
  /// \returns whether nothing is left to do before a stop.
  [[nodiscard]] virtual bool drained() const = 0;
  [[nodiscard]] virtual RouterStatus status(TimePoint Now) const = 0;
  /// \returns upstreams whose load is to be read.
  [[nodiscard]] virtual std::vector<UpstreamSpec> polledUpstreams() const = 0;
  /// \returns every peer whose address is known.
  [[nodiscard]] virtual std::vector<Member> peers() const = 0;
  /// \returns limits on callers that the configuration sets, if it does.
  [[nodiscard]] virtual std::optional<CallerBounds> callerBounds() const = 0;
};

/// @}

} // namespace bronzeward
