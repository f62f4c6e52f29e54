#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <functional>
#include <map>

namespace bronzeward {

/// \ingroup Store
/// \brief Limits on an instance's use of the platform's service.
struct StorePolicy {
  /// A call without a reply, or a further part of one, for this long counts as
  /// lost.
  Duration CallTimeout = 1s;
  std::size_t MaxInFlight = 64;
  /// Consecutive failures that open the circuit breaker.
  int FailuresToOpen = 3;
  /// First and longest time that the breaker stays open.
  Duration MinOpen = 200ms;
  Duration MaxOpen = 5s;
};

/// \ingroup Store
/// \brief Calls made, for the metrics and the benches.
struct StoreCounters {
  /// Reads of one key, of all keys with a prefix, and waits for changes.
  std::uint64_t Reads = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  /// Leases asked for, and extended.
  std::uint64_t Leases = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failures = 0;
  /// Failures for want of a reply in time.
  std::uint64_t Timeouts = 0;
  /// Calls refused by the breaker or the cap, which never left.
  std::uint64_t NotSent = 0;
};

/// \ingroup Store
/// \brief Calls the platform's service with a timeout, a cap on calls in
/// flight and a circuit breaker with jittered back-off.
class StoreClient {
public:
  using Handler = std::function<void(const StoreReply &, TimePoint)>;

  StoreClient(StorePort &Out, TimerQueue &Queue, Random &Source,
              StorePolicy Limits);

  /// \brief Sends a call, or answers Unavailable at once where the breaker is
  /// open or too many calls are in flight.
  void call(const StoreCall &Request, TimePoint Now, Handler Done);

  /// \brief Takes in a reply; a late one is dropped.
  void onReply(StoreCallId Id, const StoreReply &Reply, TimePoint Now);

  /// \brief A part of a long reply arrived: the call is not lost yet.
  void onProgress(StoreCallId Id, TimePoint Now);

  /// \returns whether a call made now would be sent.
  [[nodiscard]] bool available(TimePoint Now) const;
  /// \returns since when every call failed, where the last one failed.
  [[nodiscard]] std::optional<TimePoint> failingSince() const;
  /// \returns when a call was answered after others had failed; nothing where
  /// none ever did.
  [[nodiscard]] std::optional<TimePoint> regainedAt() const { return Regained; }
  [[nodiscard]] const StoreCounters &counters() const { return Counters; }

private:
  struct Pending {
    Handler Done;
    TimerQueue::Handle Timeout;
    /// When the reply counts as lost, however much of it arrived.
    TimePoint Latest;
    bool Changes = false;
  };

  void count(const StoreCall &Request);
  [[nodiscard]] TimerQueue::Handle expireAt(StoreCallId Id, TimePoint When);
  void expire(StoreCallId Id, TimePoint Now);
  void noteSuccess(TimePoint Now);
  void noteFailure(TimePoint Now);

  StorePort &Port;
  TimerQueue &Timers;
  Random &Jitter;
  StorePolicy Policy;
  std::map<StoreCallId, Pending> InFlight;
  std::uint64_t LastCall = 0;
  int ConsecutiveFailures = 0;
  Duration OpenFor{};
  TimePoint OpenUntil;
  bool Probing = false;
  std::optional<TimePoint> FailingSince;
  std::optional<TimePoint> Regained;
  StoreCounters Counters;
};

} // namespace bronzeward
