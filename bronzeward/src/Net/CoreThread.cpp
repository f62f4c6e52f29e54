#include "bronzeward/src/Net/CoreThread.h"

namespace bronzeward {

/// Events that may wait for the core.
constexpr std::size_t RingCapacity = 65536;
/// Time between two copies of the state.
constexpr Duration HousekeepingPeriod = 50ms;

CoreThread::CoreThread(boost::asio::io_context *Shared,
                       std::unique_ptr<InstanceCore> Decider,
                       const Clock &Source, Notices Out)
    : Core(std::move(Decider)), Tell(std::move(Out)), Time(Source),
      Thread(Shared), Timer(Thread.context()), Housekeeping(Thread.context()),
      Status(std::make_shared<RouterStatus>()),
      Ring(Thread.context(), RingCapacity,
           [this](CoreEvent &Event) { take(Event); }) {}

void CoreThread::start() {
  boost::asio::post(Thread.context(), [this] {
    Core->start(Time.now());
    housekeeping();
    armTimer();
  });
  Thread.start();
}

std::shared_ptr<const RouterStatus> CoreThread::status() const {
  std::lock_guard<std::mutex> Guard(StatusLock);
  return Status;
}

void CoreThread::take(CoreEvent &Event) {
  const TimePoint Now = Time.now();
  if (auto *OfCaller = std::get_if<CallerEvent>(&Event))
    takeCaller(*OfCaller, Now);
  else if (const auto *OfUpstream = std::get_if<UpstreamEvent>(&Event))
    takeUpstream(*OfUpstream, Now);
  else if (const auto *Replied = std::get_if<StoreReplied>(&Event))
    Core->onStoreReply(Replied->Id, Replied->Reply, Now);
  else if (const auto *Progressed = std::get_if<StoreProgressed>(&Event))
    Core->onStoreProgress(Progressed->Id, Now);
  else if (const auto *Received = std::get_if<PeerReceived>(&Event))
    Core->onPeerMessage(Received->From, Received->Message, Now);
  else if (const auto *Lost = std::get_if<PeerLost>(&Event))
    Core->onPeerUnreachable(Lost->Peer, Now);
  else if (const auto *Lifted = std::get_if<QuarantineLifted>(&Event))
    Core->liftQuarantine(Lifted->Content, Now);
  else if (std::holds_alternative<DrainWanted>(Event))
    Core->drain(Now);
  armTimer();
}

void CoreThread::takeCaller(CallerEvent &Event, TimePoint Now) {
  if (auto *Request = std::get_if<CallerRequest>(&Event))
    Core->onCallerRequest(std::move(*Request), Now);
  else if (const auto *Gone = std::get_if<CallerGone>(&Event))
    Core->onCallerGone(Gone->Ticket, Now);
}

void CoreThread::takeUpstream(const UpstreamEvent &Event, TimePoint Now) {
  if (const auto *Head = std::get_if<UpstreamHead>(&Event))
    Core->onUpstreamHead(Head->Attempt, Head->Head, Now);
  else if (const auto *Bytes = std::get_if<UpstreamBytes>(&Event))
    Core->onUpstreamBytes(Bytes->Attempt, Bytes->Bytes, Now);
  else if (const auto *Ended = std::get_if<UpstreamEnded>(&Event))
    Core->onUpstreamEnd(Ended->Attempt, Now);
  else if (const auto *Failed = std::get_if<UpstreamFailed>(&Event))
    Core->onUpstreamFailure(Failed->Attempt, Failed->How, Now);
  else if (const auto *Load = std::get_if<UpstreamLoad>(&Event))
    Core->onLoadReport(Load->Name, Load->Report, Load->Leaving);
}

void CoreThread::armTimer() {
  const std::optional<TimePoint> Next = Core->nextTimer();
  // A timer armed too early finds nothing due and arms again.
  if (!Next || (Armed && *Armed <= *Next))
    return;
  Armed = Next;
  Timer.expires_after(*Next - Time.now());
  Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    Armed.reset();
    Core->runTimers(Time.now());
    armTimer();
  });
}

void CoreThread::tellChanges() {
  if (const std::optional<CallerBounds> Bounds = Core->callerBounds();
      Bounds && Bounds != SeenBounds) {
    SeenBounds = Bounds;
    Tell.OnCallerBounds(*Bounds);
  }
  if (std::vector<Member> Peers = Core->peers(); Peers != SeenMembers) {
    SeenMembers = std::move(Peers);
    Tell.OnMembers(SeenMembers);
  }
  if (Core->closing() && !ClosingTold) {
    ClosingTold = true;
    Tell.OnClosing();
  }
  if (Core->drained() && !DrainTold) {
    DrainTold = true;
    Tell.OnDrained();
  }
}

void CoreThread::housekeeping() {
  std::shared_ptr<RouterStatus> Fresh =
      std::make_shared<RouterStatus>(Core->status(Time.now()));
  Fresh->Rings = Tell.Rings();
  Fresh->Rings.push_back({"core", Ring.refused()});
  if (Fresh->Configuration != Seen) {
    Seen = Fresh->Configuration;
    Tell.OnUpstreams(Core->polledUpstreams());
  }
  {
    std::lock_guard<std::mutex> Guard(StatusLock);
    Status = std::move(Fresh);
  }
  tellChanges();
  Housekeeping.expires_after(HousekeepingPeriod);
  Housekeeping.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      housekeeping();
  });
}

} // namespace bronzeward
