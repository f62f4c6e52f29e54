#pragma once

#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/PermitSchedule.h"

#include <optional>
#include <vector>

namespace bronzeward {

/// \ingroup Relay
/// \brief This instance's permits to send calls to one upstream, and its
/// requests for more.
///
/// A permit lapses soon after the time it was issued for, measured from the
/// request. So a late reply or a suspended process does not add calls to a
/// later window. While the issuer does not reply, the instance uses a small
/// equal share of the rate.
class PermitStock {
public:
  /// \param Phase random fraction, 0 to 1; spreads the shares of instances
  /// whose issuer stops replying at the same time.
  explicit PermitStock(double Phase) : SharePhase(Phase) {}

  /// \brief Records a call that placement would send to the upstream.
  /// \returns whether a permit may arrive soon.
  bool onWanted(TimePoint Now);
  /// \returns whether a permit is requested or on hand.
  [[nodiscard]] bool expectsPermit() const {
    return Open || Wanted > 0 || !Permits.empty();
  }
  /// \brief Uses a permit for a call.
  void onDispatched(CallRate Rate, std::size_t Instances, TimePoint Now);

  /// \returns the number of permits to request now; zero if none are wanted or
  /// a request is not due. Ends a request that got no reply in time.
  [[nodiscard]] std::uint32_t dueRequest(TimePoint Now);
  void onRequested(std::uint64_t Number, TimePoint Now);
  /// \returns whether the reply is that to the latest request.
  bool onReply(const PermitReply &Reply, std::size_t Instances, TimePoint Now);
  /// \brief Ends the request under way, which gets no reply.
  void onUnreachable();

  /// \returns the earliest time at which a call may be sent; in the past or
  /// now if one may be sent now.
  [[nodiscard]] TimePoint acceptsFrom(CallRate Rate, std::size_t Instances,
                                      TimePoint Now);
  /// \returns when \ref dueRequest should be called; empty if nothing is
  /// wanted.
  [[nodiscard]] std::optional<TimePoint> nextRequest() const;

private:
  struct Permit {
    TimePoint UsableFrom;
    TimePoint Expires;
  };
  struct Request {
    std::uint64_t Number = 0;
    TimePoint SentAt;
  };

  void dropExpired(TimePoint Now);
  [[nodiscard]] static CallRate shareOf(CallRate Rate, std::size_t Instances);

  double SharePhase;
  /// Sorted by time.
  std::vector<Permit> Permits;
  /// Calls since the last request that were or would be sent to the upstream.
  std::uint32_t Wanted = 0;
  TimePoint LastDispatch;
  std::optional<Request> Open;
  TimePoint NextRequestAt;
  /// Earliest time for which the issuer had no permit issued yet.
  TimePoint NextFree;
  /// Whether the issuer does not reply or does not issue permits.
  bool Unserved = false;
  /// Empty until the share is first used.
  std::optional<PermitSchedule> Share;
};

} // namespace bronzeward
