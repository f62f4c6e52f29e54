#include "bronzeward/src/Relay/RateLimitAgent.h"

#include <algorithm>

namespace bronzeward {

/// Lowest rate at which calls are sent to a limited upstream, in calls per
/// second. Only an answer shows that the limit was lifted.
constexpr CallRate MinCallRate{0.1};

RateLimitAgent::RateLimitAgent(InstanceId Own,
                               RateLimitDependencies Dependencies)
    : Self(std::move(Own)), Deps(Dependencies), Issuer(Self) {}

void RateLimitAgent::onMembers(const std::vector<Member> &Members,
                               Duration Settling, TimePoint Now) {
  Instances = std::max<std::size_t>(1, Members.size());
  Issuer.onMembers(Members, Settling, Now);
}

std::optional<CallRate> RateLimitAgent::rateOf(const UpstreamRun &Run) const {
  const std::optional<CallRate> Limit = Table.limitOf(Run);
  return Limit ? std::max(*Limit, MinCallRate) : Limit;
}

PermitStock &RateLimitAgent::stockOf(const UpstreamRun &Run) {
  return Stocks.try_emplace(Run, Deps.Source.unit()).first->second;
}

// Limits.

void RateLimitAgent::onAnswer(const UpstreamRun &Run,
                              std::optional<CallRate> Stated, TimePoint SentAt,
                              const std::string &Request, TimePoint Now) {
  if (Table.onAnswer(Run, Stated, SentAt, Now))
    logLimit(Run, "in answer to request " + Request);
}

void RateLimitAgent::onNotice(const RateLimitNotice &Notice,
                              const InstanceId &From, TimePoint Now) {
  if (Table.onNotice(Notice, Now))
    logLimit(Notice.Upstream, "from peer " + From.Value);
}

void RateLimitAgent::logLimit(const UpstreamRun &Run,
                              const std::string &Source) {
  const std::optional<CallRate> Limit = Table.limitOf(Run);
  if (!Limit)
    Stocks.erase(Run);
  Deps.Log.onEvent(
      "upstream-limit",
      "upstream " + Run.Name.Value + " " + Source + ": " +
          (Limit ? std::to_string(Limit->PerSecond) + " calls/s" : "none"));
}

// Calls.

TimePoint RateLimitAgent::acceptsFrom(const UpstreamRun &Run, TimePoint Now) {
  const std::optional<CallRate> Rate = rateOf(Run);
  return Rate ? stockOf(Run).acceptsFrom(*Rate, Instances, Now) : TimePoint();
}

bool RateLimitAgent::onWanted(const UpstreamRun &Run, TimePoint Now) {
  PermitStock &Stock = stockOf(Run);
  if (!Stock.onWanted(Now))
    return false;
  scheduleRequests(Stock);
  return true;
}

bool RateLimitAgent::expectsPermit(const UpstreamRun &Run) const {
  const auto Found = Stocks.find(Run);
  return Found != Stocks.end() && Found->second.expectsPermit();
}

void RateLimitAgent::onDispatched(const UpstreamRun &Run, TimePoint Now) {
  const std::optional<CallRate> Rate = rateOf(Run);
  if (!Rate)
    return;
  PermitStock &Stock = stockOf(Run);
  Stock.onDispatched(*Rate, Instances, Now);
  scheduleRequests(Stock);
}

// Permits.

void RateLimitAgent::scheduleRequests(const PermitStock &Stock) {
  const std::optional<TimePoint> Due = Stock.nextRequest();
  if (!Due || (NextRequests && *NextRequests <= *Due))
    return;
  NextRequests = Due;
  Deps.Timers.schedule(*Due, [this](TimePoint At) { sendRequests(At); });
}

void RateLimitAgent::sendRequests(TimePoint Now) {
  if (!NextRequests || Now < *NextRequests)
    return;
  NextRequests.reset();
  std::erase_if(Stocks, [this](const auto &Item) {
    return !Table.limitOf(Item.first).has_value();
  });
  bool Changed = false;
  for (auto &[Run, Stock] : Stocks) {
    const std::uint32_t Wanted = Stock.dueRequest(Now);
    if (Wanted > 0) {
      const PermitRequest Request{++LastRequest, Table.noticeOf(Run, Now),
                                  Wanted};
      Stock.onRequested(Request.Number, Now);
      const InstanceId To = Issuer.issuerOf(Run);
      if (To == Self)
        applyReply(Self, replyTo(Request, Now), Now);
      else
        Deps.Peers.send(To, Request);
      Changed = Changed || To == Self;
    }
    scheduleRequests(Stock);
  }
  if (Changed)
    notifyListener(Now);
}

PermitReply RateLimitAgent::replyTo(const PermitRequest &Request,
                                    TimePoint Now) {
  const UpstreamRun &Run = Request.Known.Upstream;
  PermitReply Reply;
  Reply.Number = Request.Number;
  Reply.Known = Table.noticeOf(Run, Now);
  const std::optional<CallRate> Rate = rateOf(Run);
  if (!Rate)
    return Reply;
  const IssuedPermits Issued = Issuer.issue(Run, *Rate, Request.Wanted, Now);
  Reply.Issuing = Issued.Issuing;
  for (const TimePoint UsableFrom : Issued.UsableFrom)
    Reply.Delays.push_back(
        std::chrono::ceil<std::chrono::milliseconds>(UsableFrom - Now));
  Reply.UntilNextFree =
      std::chrono::ceil<std::chrono::milliseconds>(Issued.NextFree - Now);
  return Reply;
}

void RateLimitAgent::applyReply(const InstanceId &From,
                                const PermitReply &Reply, TimePoint Now) {
  onNotice(Reply.Known, From, Now);
  const auto Found = Stocks.find(Reply.Known.Upstream);
  if (Found != Stocks.end() && Found->second.onReply(Reply, Instances, Now))
    scheduleRequests(Found->second);
}

void RateLimitAgent::notifyListener(TimePoint Now) {
  if (Listener != nullptr)
    Listener->onPermitsChanged(Now);
}

// Peers.

void RateLimitAgent::onPeerMessage(const InstanceId &From,
                                   const PeerMessage &Message, TimePoint Now) {
  if (const auto *Request = std::get_if<PermitRequest>(&Message)) {
    onNotice(Request->Known, From, Now);
    Deps.Peers.send(From, replyTo(*Request, Now));
  } else if (const auto *Reply = std::get_if<PermitReply>(&Message)) {
    applyReply(From, *Reply, Now);
    notifyListener(Now);
  } else if (const auto *Digest = std::get_if<PeerDigest>(&Message)) {
    for (const RateLimitNotice &Notice : Digest->RateLimits)
      onNotice(Notice, From, Now);
  }
}

void RateLimitAgent::onPeerUnreachable(const InstanceId &Peer) {
  for (auto &[Run, Stock] : Stocks)
    if (Issuer.issuerOf(Run) == Peer)
      Stock.onUnreachable();
}

} // namespace bronzeward
