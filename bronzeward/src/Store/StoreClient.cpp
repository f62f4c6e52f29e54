#include "bronzeward/src/Store/StoreClient.h"

#include <algorithm>
#include <array>

namespace bronzeward {

/// Multiple of the call's timeout within which a whole reply, or a page of a
/// list, has to arrive. It suffices for the longest value of a store, 1 MiB as
/// text, over a link of 10 Mbit/s that other calls share.
constexpr int MaxReplyTimeouts = 4;

static bool changesState(const StoreCall &Request) {
  return !std::holds_alternative<ReadKey>(Request) &&
         !std::holds_alternative<ListKeys>(Request) &&
         !std::holds_alternative<WatchKeys>(Request);
}

static const char *nameOf(const StoreCall &Request) {
  // In the order of the alternatives of StoreCall.
  constexpr std::array<const char *, std::variant_size_v<StoreCall>> Names{
      "read", "list", "watch", "write", "deletion", "lease", "renewal"};
  return Names.at(Request.index());
}

std::string describe(const StoreFailure &Failure) {
  const std::chrono::milliseconds After =
      std::chrono::duration_cast<std::chrono::milliseconds>(Failure.After);
  const char *What = "was refused";
  if (Failure.Kind == StoreFailureKind::ReplyLost)
    What = "lost its reply";
  else if (Failure.Kind == StoreFailureKind::TimedOut)
    What = "timed out";
  return std::string(Failure.Call) + " " + What + " after " +
         std::to_string(After.count()) + " ms";
}

StoreClient::StoreClient(StorePort &Out, TimerQueue &Queue,
                         Random &RandomSource, StorePolicy Limits)
    : Port(Out), Timers(Queue), Jitter(RandomSource), Policy(Limits),
      OpenFor(Limits.MinOpen) {}

StoreCallId StoreClient::call(const StoreCall &Request, TimePoint Now,
                              Handler Done) {
  if (!available(Now)) {
    ++Counters.NotSent;
    Done(StoreReply{}, Now);
    return {};
  }
  const bool HalfOpen = ConsecutiveFailures >= Policy.FailuresToOpen;
  Probing = Probing || HalfOpen;
  count(Request);
  const StoreCallId Id{++LastCall};
  Pending Entry;
  Entry.Done = std::move(Done);
  Entry.Name = nameOf(Request);
  Entry.SentAt = Now;
  Entry.ChangesState = changesState(Request);
  Duration Timeout = Policy.CallTimeout;
  if (const WatchKeys *Watch = std::get_if<WatchKeys>(&Request))
    Timeout += Watch->Wait;
  Entry.Timeout = expireAt(Id, Now + Timeout);
  Entry.Deadline = Now + Timeout + (MaxReplyTimeouts - 1) * Policy.CallTimeout;
  InFlight.emplace(Id, std::move(Entry));
  Port.send(Id, Request);
  return Id;
}

bool StoreClient::replyBegun(StoreCallId Id) const {
  const auto Found = InFlight.find(Id);
  return Found != InFlight.end() && Found->second.ReplyBegun;
}

void StoreClient::onReply(StoreCallId Id, const StoreReply &Reply,
                          TimePoint Now) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  const Pending Entry = std::move(Found->second);
  InFlight.erase(Found);
  Timers.cancel(Entry.Timeout);
  if (Reply.Status == StoreStatus::Unavailable)
    recordFailure(Entry, StoreFailureKind::Refused, Now);
  else if (Reply.Status == StoreStatus::Unknown)
    recordFailure(Entry, StoreFailureKind::ReplyLost, Now);
  else
    recordSuccess(Now);
  Entry.Done(Reply, Now);
}

void StoreClient::abandon(StoreCallId Id) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  Timers.cancel(Found->second.Timeout);
  InFlight.erase(Found);
  ++Counters.Timeouts;
  // Another call may test whether the store answers again.
  Probing = false;
}

void StoreClient::onProgress(StoreCallId Id, TimePoint Now,
                             StoreProgress Arrived) {
  const auto Found = InFlight.find(Id);
  if (Found == InFlight.end())
    return;
  Pending &Entry = Found->second;
  Entry.ReplyBegun = true;
  if (Arrived == StoreProgress::Page)
    Entry.Deadline = Now + MaxReplyTimeouts * Policy.CallTimeout;
  Timers.cancel(Entry.Timeout);
  Entry.Timeout =
      expireAt(Id, std::min(Now + Policy.CallTimeout, Entry.Deadline));
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
  recordFailure(Entry, StoreFailureKind::TimedOut, Now);
  StoreReply Reply;
  Reply.Status =
      Entry.ChangesState ? StoreStatus::Unknown : StoreStatus::Unavailable;
  Entry.Done(Reply, Now);
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

void StoreClient::recordSuccess(TimePoint Now) {
  if (FailingSince)
    RecoveredAt = Now;
  ConsecutiveFailures = 0;
  OpenFor = Policy.MinOpen;
  Probing = false;
  FailingSince.reset();
  FirstFailure.reset();
  LastFailureAt.reset();
}

void StoreClient::recordFailure(const Pending &Failed, StoreFailureKind Kind,
                                TimePoint Now) {
  ++Counters.Failures;
  Counters.Timeouts += Kind == StoreFailureKind::TimedOut ? 1 : 0;
  Counters.RepliesLost += Kind == StoreFailureKind::ReplyLost ? 1 : 0;
  ++ConsecutiveFailures;
  Probing = false;
  LastFailureAt = Now;
  if (!FailingSince) {
    FailingSince = Now;
    FirstFailure = StoreFailure{Failed.Name, Kind, Now - Failed.SentAt};
  }
  if (ConsecutiveFailures < Policy.FailuresToOpen)
    return;
  // Half of the delay is random, so that instances do not retry in step.
  const double Fraction = 0.5 + 0.5 * Jitter.unit();
  OpenUntil = Now + std::chrono::duration_cast<Duration>(OpenFor * Fraction);
  OpenFor = std::min(2 * OpenFor, Policy.MaxOpen);
}

} // namespace bronzeward
