#include "bronzeward/src/Router/RouterCore.h"

#include "bronzeward/src/Request/AnswerText.h"

namespace bronzeward {

/// Time between two digests to peers.
constexpr Duration DigestPeriod = 500ms;
/// Number of peers that receive each digest.
constexpr std::size_t DigestFanout = 3;
/// Most quarantined contents in one digest.
constexpr std::size_t MaxDigestSuspects = 16;
/// Time between two checks whether a drain is complete.
constexpr Duration DrainCheckPeriod = 50ms;
/// Time for the load balancer to notice that the instance is not ready.
constexpr Duration UnreadyNoticePeriod = 500ms;

RouterCore::RouterCore(RouterIdentity Who, RouterDependencies Dependencies)
    : Identity(std::move(Who)), Deps(Dependencies), RandomSource(Identity.Seed),
      Store(Dependencies.Store, Timers, RandomSource, Identity.Store),
      Registry(Member{Incarnation{Identity.Instance, 0}, Identity.Domain,
                      Identity.PeerAddress, false},
               Store, Timers, RandomSource),
      Follower(Identity.Instance, Identity.Domain, Members, Store,
               Dependencies.Peers, Timers) {}

void RouterCore::start(TimePoint Now) {
  Registry.start(
      Now,
      [this](const Incarnation &Registered, TimePoint At) {
        onRegistered(Registered, At);
      },
      [this](std::vector<Member> Listed, TimePoint At) {
        onMembersListed(std::move(Listed), At);
      });
  Follower.start(Now, [this](ConfigurationVersion Version, Configuration Config,
                             TimePoint At) {
    onConfiguration(Version, std::move(Config), At);
  });
  sendDigests(Now);
}

void RouterCore::onRegistered(const Incarnation &Registered, TimePoint Now) {
  OwnIncarnation = Registered;
  startEngine(Now);
}

void RouterCore::onMembersListed(std::vector<Member> Listed, TimePoint Now) {
  Members.update(Listed);
  if (Budgets)
    Budgets->onMembers(std::move(Listed), Now);
}

void RouterCore::onConfiguration(ConfigurationVersion Version,
                                 Configuration Config, TimePoint Now) {
  // Accounts are distributed over the slots, so that the number of slots must
  // not change.
  if (Accepted)
    Config.Budget.Slots = Policy.Slots;
  Policy = Config.Budget;
  Accepted = Config;
  if (Engine)
    Engine->configure(Version, std::move(Config));
  startEngine(Now);
}

void RouterCore::startEngine(TimePoint Now) {
  if (Engine || !OwnIncarnation || !Accepted)
    return;
  Engine = std::make_unique<RequestEngine>(
      *OwnIncarnation, Identity.Domain,
      RequestDependencies{Deps.Callers, Deps.Upstreams, Deps.Log, Deps.Wall,
                          Timers, RandomSource});
  Budgets = std::make_unique<BudgetAgent>(
      *OwnIncarnation, Identity.Domain, Policy,
      BudgetDependencies{Store, Deps.Peers, Timers, RandomSource, *Engine});
  Engine->attach(*Budgets);
  Engine->configure(Follower.version(), *Accepted);
  Budgets->onMembers(Members.members(), Now);
}

void RouterCore::sendDigests(TimePoint Now) {
  PeerDigest Digest;
  Digest.Configuration = Follower.version();
  Digest.Draining = Draining;
  if (Engine) {
    Digest.Suspects = Engine->quarantine().quarantinedContents(Now);
    if (Digest.Suspects.size() > MaxDigestSuspects)
      Digest.Suspects.resize(MaxDigestSuspects);
  }
  std::vector<InstanceId> Peers;
  for (const Member &Item : Members.members())
    if (Item.Identity.Instance != Identity.Instance)
      Peers.push_back(Item.Identity.Instance);
  for (std::size_t Sent = 0; Sent < DigestFanout && !Peers.empty(); ++Sent) {
    const std::size_t Index = RandomSource.below(Peers.size());
    Deps.Peers.send(Peers[Index], Digest);
    Peers.erase(Peers.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  Timers.schedule(Now + DigestPeriod,
                  [this](TimePoint At) { sendDigests(At); });
}

void RouterCore::onCallerRequest(CallerRequest In, TimePoint Now) {
  if (Engine) {
    Engine->onCallerRequest(std::move(In), Now);
    return;
  }
  const RequestId Id{Identity.Instance.Value + "-not-ready"};
  Deps.Callers.answer(
      In.Ticket, refusalAnswer(Id, {Outcome::NotRun, Reason::NotReady, ""}));
}

void RouterCore::onCallerGone(CallerTicket Ticket, TimePoint Now) {
  if (Engine)
    Engine->onCallerGone(Ticket, Now);
}

void RouterCore::onUpstreamHead(AttemptId Attempt, const HttpHead &Head,
                                TimePoint Now) {
  const std::string *Type = findHeader(Head.Headers, "Content-Type");
  if (Engine)
    Engine->onUpstreamHead(Attempt, Head.Status, Type == nullptr ? "" : *Type,
                           Now);
}

void RouterCore::onUpstreamBytes(AttemptId Attempt, std::string_view Bytes,
                                 TimePoint Now) {
  if (Engine)
    Engine->onUpstreamBytes(Attempt, Bytes, Now);
}

void RouterCore::onUpstreamEnd(AttemptId Attempt, TimePoint Now) {
  if (Engine)
    Engine->onUpstreamEnd(Attempt, Now);
}

void RouterCore::onUpstreamFailure(AttemptId Attempt, UpstreamFailure How,
                                   TimePoint Now) {
  if (Engine)
    Engine->onUpstreamFailure(Attempt, How, Now);
}

void RouterCore::onStoreReply(StoreCallId Id, const StoreReply &Reply,
                              TimePoint Now) {
  Store.onReply(Id, Reply, Now);
}

void RouterCore::onPeerMessage(const InstanceId &From,
                               const PeerMessage &Message, TimePoint Now) {
  if (const auto *Digest = std::get_if<PeerDigest>(&Message)) {
    Follower.onDigest(From, *Digest, Now);
    if (Engine)
      for (const ContentFingerprint &Content : Digest->Suspects)
        Engine->quarantine().onReported(Content, Now);
  } else if (const auto *Text = std::get_if<ConfigurationText>(&Message)) {
    Follower.onText(From, *Text, Now);
  } else if (std::holds_alternative<ConfigurationRequest>(Message)) {
    Follower.onRequest(From);
  }
  if (Budgets)
    Budgets->onPeerMessage(From, Message, Now);
}

void RouterCore::onPeerUnreachable(const InstanceId &Peer, TimePoint Now) {
  if (Budgets)
    Budgets->onPeerUnreachable(Peer, Now);
}

void RouterCore::onLoadReport(const UpstreamName &Name,
                              const LoadReport &Report, bool Leaving) {
  if (!Engine)
    return;
  Engine->upstreams().onReport(Name, Report);
  Engine->upstreams().onLeaving(Name, Leaving);
}

void RouterCore::liftQuarantine(const ContentFingerprint &Content,
                                TimePoint Now) {
  if (Engine)
    Engine->quarantine().lift(Content, Now);
}

void RouterCore::drain(TimePoint Now) {
  if (Draining)
    return;
  Draining = true;
  Registry.leave(Now);
  Timers.schedule(Now + UnreadyNoticePeriod, [this](TimePoint At) {
    if (Engine)
      Engine->drain();
    finishDrain(At);
  });
}

void RouterCore::finishDrain(TimePoint Now) {
  const bool Idle = !Engine || Engine->inFlight() == 0;
  if (Idle && Budgets)
    Budgets->drain(Now);
  if (Idle && (!Budgets || Budgets->drained())) {
    Registry.remove(Now);
    Removed = true;
    return;
  }
  Timers.schedule(Now + DrainCheckPeriod,
                  [this](TimePoint At) { finishDrain(At); });
}

bool RouterCore::drained() const { return Removed; }

std::string RouterCore::notReadyReason(TimePoint Now) const {
  if (Draining)
    return "draining";
  if (!OwnIncarnation)
    return "not registered: the store does not answer";
  if (!Accepted)
    return "no configuration";
  if (!Budgets->serving(Now))
    return "cut off from the store and from enough peers";
  return "";
}

RouterStatus RouterCore::status(TimePoint Now) const {
  RouterStatus Status =
      commonStatus(Identity, notReadyReason(Now), Store, Members);
  Status.Draining = Draining;
  Status.Configuration = Follower.version();
  Status.StoreFailing = Store.failingSince().has_value();
  if (!Engine)
    return Status;
  Status.InFlight = Engine->inFlight();
  Status.Requests = Engine->counters();
  Status.FirstByte = Engine->firstByteLatency();
  Status.Whole = Engine->wholeLatency();
  Status.Quarantined = Engine->quarantine().quarantinedContents(Now);
  addBudgetStatus(Status, *Budgets);
  return Status;
}

std::vector<UpstreamSpec> RouterCore::polledUpstreams() const {
  return Accepted ? Accepted->Upstreams : std::vector<UpstreamSpec>();
}

} // namespace bronzeward
