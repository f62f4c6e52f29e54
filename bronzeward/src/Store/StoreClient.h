#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief Limits on an instance's use of the store.
struct StorePolicy {
  /// A call fails when neither its reply nor a further part of it arrives for
  /// this long.
  Duration CallTimeout = 1s;
  std::size_t MaxInFlight = 64;
  /// Number of consecutive failures that open the circuit breaker.
  int FailuresToOpen = 3;
  /// First and longest time for which the breaker stays open.
  Duration MinOpen = 200ms;
  Duration MaxOpen = 5s;
};

/// \ingroup Store
/// \brief How a call of the store failed.
enum class StoreFailureKind {
  /// The store or the connection refused the call, which had no effect.
  Refused,
  /// The connection broke before the reply was complete.
  ReplyLost,
  /// No reply arrived in time.
  TimedOut,
};

/// \ingroup Store
/// \brief A failed call, for the log.
struct StoreFailure {
  /// Name of the call, such as "renewal".
  const char *Call = "";
  StoreFailureKind Kind = StoreFailureKind::Refused;
  /// Time from the call to its failure.
  Duration After{};
};

/// \ingroup Store
/// \returns a description such as "renewal timed out after 900 ms".
[[nodiscard]] std::string describe(const StoreFailure &Failure);

/// \ingroup Store
/// \brief Counts of calls by kind and outcome.
struct StoreCounters {
  /// Reads of one key, reads of all keys with a prefix, and watches.
  std::uint64_t Reads = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  /// Leases requested, and extended.
  std::uint64_t Leases = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failures = 0;
  /// Failures because no reply arrived in time.
  std::uint64_t Timeouts = 0;
  /// Failures because the connection broke before the reply was complete.
  std::uint64_t RepliesLost = 0;
  /// Calls that were not sent since the breaker was open or too many calls were
  /// in flight.
  std::uint64_t NotSent = 0;
};

/// \ingroup Store
/// \brief Calls the store with a timeout, a limit on calls in flight and a
/// circuit breaker with jittered backoff.
class StoreClient {
public:
  using Handler = std::function<void(const StoreReply &, TimePoint)>;

  StoreClient(StorePort &Out, TimerQueue &Queue, Random &RandomSource,
              StorePolicy Limits);

  /// \brief Sends a call, or calls Done with Unavailable at once where the
  /// breaker is open or too many calls are in flight.
  /// \returns the call's number.
  StoreCallId call(const StoreCall &Request, TimePoint Now, Handler Done);

  /// \brief Completes a call; a reply after its timeout is ignored.
  void onReply(StoreCallId Id, const StoreReply &Reply, TimePoint Now);

  /// \brief Restarts the timeout of a call when a part of its reply arrives.
  /// Each page of a list has its own deadline.
  void onProgress(StoreCallId Id, TimePoint Now,
                  StoreProgress Arrived = StoreProgress::Bytes);

  /// \brief Gives up a call that changes nothing: its reply is ignored, and
  /// that it failed says nothing about the store.
  void abandon(StoreCallId Id);

  /// \returns whether parts of a call's reply have arrived.
  [[nodiscard]] bool replyBegun(StoreCallId Id) const;
  /// \returns whether a call made now would be sent.
  [[nodiscard]] bool available(TimePoint Now) const;
  /// \returns the time of the first of the latest consecutive failures; nothing
  /// where the latest call succeeded.
  [[nodiscard]] std::optional<TimePoint> failingSince() const;
  /// \returns the first of the latest consecutive failures; empty if the latest
  /// call succeeded.
  [[nodiscard]] const std::optional<StoreFailure> &firstFailure() const {
    return FirstFailure;
  }
  /// \returns when a call last failed; empty if the latest call succeeded.
  [[nodiscard]] std::optional<TimePoint> lastFailureAt() const {
    return LastFailureAt;
  }
  /// \returns when a call last succeeded after one or more had failed; nothing
  /// where none ever did.
  [[nodiscard]] std::optional<TimePoint> recoveredAt() const {
    return RecoveredAt;
  }
  [[nodiscard]] const StoreCounters &counters() const { return Counters; }

private:
  struct Pending {
    Handler Done;
    const char *Name = "";
    TimePoint SentAt;
    TimerQueue::Handle Timeout;
    /// Time at which the call fails however many bytes of its reply, or of the
    /// current page of it, arrived.
    TimePoint Deadline;
    bool ReplyBegun = false;
    bool ChangesState = false;
  };

  void count(const StoreCall &Request);
  [[nodiscard]] TimerQueue::Handle expireAt(StoreCallId Id, TimePoint When);
  void expire(StoreCallId Id, TimePoint Now);
  void recordSuccess(TimePoint Now);
  void recordFailure(const Pending &Failed, StoreFailureKind Kind,
                     TimePoint Now);

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
  std::optional<StoreFailure> FirstFailure;
  std::optional<TimePoint> LastFailureAt;
  std::optional<TimePoint> RecoveredAt;
  StoreCounters Counters;
};

} // namespace bronzeward
