#include "bronzeward/src/Net/CoreThread.h"

namespace bronzeward {

/// Maximum number of events that wait for the core.
constexpr std::size_t RingCapacity = 65536;
/// Time between two updates of the published status.
constexpr Duration HousekeepingPeriod = 50ms;

CoreThread::CoreThread(boost::asio::io_context *Shared,
                       std::unique_ptr<InstanceCore> Instance,
                       const Clock &TimeSource, Callbacks Handlers)
    : Core(std::move(Instance)), Notify(std::move(Handlers)), Time(TimeSource),
      Thread(Shared), Timer(Thread.context()), Housekeeping(Thread.context()),
      Status(std::make_shared<RouterStatus>()),
      Ring(Thread.context(), RingCapacity,
           [this](CoreEvent &Event) { handle(Event); }),
      Departures(Thread.context(), RingCapacity, [this](CallerGone &Event) {
        Core->onCallerGone(Event.Ticket, Time.now());
        armTimer();
      }) {}

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

void CoreThread::handle(CoreEvent &Event) {
  const TimePoint Now = Time.now();
  if (auto *OfCaller = std::get_if<CallerEvent>(&Event))
    handleCallerEvent(*OfCaller, Now);
  else if (const auto *OfUpstream = std::get_if<UpstreamEvent>(&Event))
    handleUpstreamEvent(*OfUpstream, Now);
  else if (const auto *Replied = std::get_if<StoreReplied>(&Event))
    Core->onStoreReply(Replied->Id, Replied->Reply, Now);
  else if (const auto *Progressed = std::get_if<StoreProgressed>(&Event))
    Core->onStoreProgress(Progressed->Id, Progressed->Arrived, Now);
  else if (const auto *Received = std::get_if<PeerReceived>(&Event))
    Core->onPeerMessage(Received->From, Received->Message, Now);
  else if (const auto *Lost = std::get_if<PeerLost>(&Event))
    Core->onPeerUnreachable(Lost->Peer, Now);
  else if (const auto *Lifted = std::get_if<QuarantineLifted>(&Event))
    Core->liftQuarantine(Lifted->Content, Now);
  else if (std::holds_alternative<DrainRequested>(Event))
    Core->drain(Now);
  armTimer();
}

void CoreThread::handleCallerEvent(CallerEvent &Event, TimePoint Now) {
  if (auto *Request = std::get_if<CallerRequest>(&Event))
    Core->onCallerRequest(std::move(*Request), Now);
  else if (const auto *Gone = std::get_if<CallerGone>(&Event))
    Core->onCallerGone(Gone->Ticket, Now);
}

void CoreThread::handleUpstreamEvent(const UpstreamEvent &Event,
                                     TimePoint Now) {
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
  else if (const auto *Refused = std::get_if<UpstreamRefused>(&Event))
    Core->onUpstreamRefused(Refused->Name, Now);
}

void CoreThread::armTimer() {
  const std::optional<TimePoint> Next = Core->nextTimer();
  // A timer that expires too early runs nothing and is armed again.
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

void CoreThread::reportChanges() {
  if (const std::optional<CallerBounds> Bounds = Core->callerBounds();
      Bounds && Bounds != SeenBounds) {
    SeenBounds = Bounds;
    Notify.OnCallerBounds(*Bounds);
  }
  if (std::vector<Member> Peers = Core->peers(); Peers != SeenMembers) {
    SeenMembers = std::move(Peers);
    Notify.OnMembers(SeenMembers);
  }
  if (Core->closing() && !ClosingReported) {
    ClosingReported = true;
    Notify.OnClosing();
  }
  if (Core->drained() && !DrainReported) {
    DrainReported = true;
    Notify.OnDrained();
  }
}

void CoreThread::housekeeping() {
  const TimePoint Now = Time.now();
  LongestDelay = std::max(LongestDelay, Now - HousekeepingDue.value_or(Now));
  HousekeepingDue = Now + HousekeepingPeriod;
  std::shared_ptr<RouterStatus> Fresh =
      std::make_shared<RouterStatus>(Core->status(Now));
  Fresh->Connections = Notify.Connections();
  Fresh->Connections.Rings.push_back({"core", Ring.refused()});
  Fresh->LongestLoopDelay = LongestDelay;
  if (Fresh->Configuration != SeenVersion) {
    SeenVersion = Fresh->Configuration;
    Notify.OnUpstreams(Core->polledUpstreams());
  }
  {
    std::lock_guard<std::mutex> Guard(StatusLock);
    Status = std::move(Fresh);
  }
  reportChanges();
  Housekeeping.expires_after(HousekeepingPeriod);
  Housekeeping.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      housekeeping();
  });
}

} // namespace bronzeward
