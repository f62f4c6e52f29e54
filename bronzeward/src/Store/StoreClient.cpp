#include "bronzeward/src/Store/StoreClient.h"

#include <algorithm>

namespace bronzeward {

/// Multiple of the call's timeout for which a reply may go on arriving: the
/// longest value of a store, 1 MiB as text, over 10 Mbit/s that calls share.
constexpr int LongestReply = 4;

static bool changesState(const StoreCall &Request) {
  return !std::holds_alternative<ReadKey>(Request) &&
         !std::holds_alternative<ListKeys>(Request) &&
         !std::holds_alternative<WatchKeys>(Request);
}

StoreClient::StoreClient(StorePort &Out, TimerQueue &Queue, Random &Source,
                         StorePolicy Limits)
    : Port(Out), Timers(Queue), Jitter(Source), Policy(Limits),
      OpenFor(Limits.MinOpen) {}

void StoreClient::call(const StoreCall &Request, TimePoint Now, Handler Done) {
  if (!available(Now)) {
    ++Counters.NotSent;
    Done(StoreReply{}, Now);
    return;
  }
  const bool HalfOpen = ConsecutiveFailures >= Policy.FailuresToOpen;
  Probing = Probing || HalfOpen;
  count(Request);
  const StoreCallId Id{++LastCall};
  Pending Entry;
  Entry.Done = std::move(Done);
  Entry.Changes = changesState(Request);
  Duration Limit = Policy.CallTimeout;
  if (const WatchKeys *Watch = std::get_if<WatchKeys>(&Request))
    Limit += Watch->Wait;
  Entry.Timeout = expireAt(Id, Now + Limit);
  Entry.Latest = Now + Limit + (LongestReply - 1) * Policy.CallTimeout;
  InFlight.emplace(Id, std::move(Entry));
  Port.send(Id, Request);
}

void StoreClient::onReply(StoreCallId Id, const StoreReply &Reply,
                          TimePoint Now) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  const Pending Entry = std::move(Found->second);
  InFlight.erase(Found);
  Timers.cancel(Entry.Timeout);
  const bool Failed = Reply.Status == StoreStatus::Unavailable ||
                      Reply.Status == StoreStatus::Unknown;
  if (Failed)
    noteFailure(Now);
  else
    noteSuccess(Now);
  Entry.Done(Reply, Now);
}

void StoreClient::onProgress(StoreCallId Id, TimePoint Now) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  Pending &Entry = Found->second;
  Timers.cancel(Entry.Timeout);
  Entry.Timeout =
      expireAt(Id, std::min(Now + Policy.CallTimeout, Entry.Latest));
}

TimerQueue::Handle StoreClient::expireAt(StoreCallId Id, TimePoint When) {
  return Timers.schedule(When, [this, Id](TimePoint At) { expire(Id, At); });
}

void StoreClient::expire(StoreCallId Id, TimePoint Now) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  const Pending Entry = std::move(Found->second);
  InFlight.erase(Found);
  ++Counters.Timeouts;
  noteFailure(Now);
  StoreReply Lost;
  Lost.Status = Entry.Changes ? StoreStatus::Unknown : StoreStatus::Unavailable;
  Entry.Done(Lost, Now);
}

bool StoreClient::available(TimePoint Now) const {
  if (InFlight.size() >= Policy.MaxInFlight)
    return false;
  if (ConsecutiveFailures < Policy.FailuresToOpen)
    return true;
  return Now >= OpenUntil && !Probing;
}

std::optional<TimePoint> StoreClient::failingSince() const {
  return FailingSince;
}

void StoreClient::count(const StoreCall &Request) {
  if (std::holds_alternative<ReadKey>(Request))
    ++Counters.Reads;
  else if (std::holds_alternative<ListKeys>(Request))
    ++Counters.Lists;
  else if (std::holds_alternative<WatchKeys>(Request))
    ++Counters.Watches;
  else if (std::holds_alternative<GrantLease>(Request))
    ++Counters.Leases;
  else if (std::holds_alternative<KeepAlive>(Request))
    ++Counters.Renewals;
  else
    ++Counters.Writes;
}

void StoreClient::noteSuccess(TimePoint Now) {
  if (FailingSince)
    Regained = Now;
  ConsecutiveFailures = 0;
  OpenFor = Policy.MinOpen;
  Probing = false;
  FailingSince.reset();
}

void StoreClient::noteFailure(TimePoint Now) {
  ++Counters.Failures;
  ++ConsecutiveFailures;
  Probing = false;
  if (!FailingSince)
    FailingSince = Now;
  if (ConsecutiveFailures < Policy.FailuresToOpen)
    return;
  // Half fixed, half random, so that instances do not return together.
  const double Share = 0.5 + 0.5 * Jitter.unit();
  OpenUntil = Now + std::chrono::duration_cast<Duration>(OpenFor * Share);
  OpenFor = std::min(2 * OpenFor, Policy.MaxOpen);
}

} // namespace bronzeward
