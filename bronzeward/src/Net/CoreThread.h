#pragma once

#include "bronzeward/Router"
#include "bronzeward/src/Net/CallerServer.h"
#include "bronzeward/src/Net/EventLoopThread.h"
#include "bronzeward/src/Net/Mailbox.h"
#include "bronzeward/src/Net/SystemClock.h"
#include "bronzeward/src/Net/UpstreamClient.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>

namespace bronzeward {

/// \addtogroup Net
/// @{

struct StoreReplied {
  StoreCallId Id;
  StoreReply Reply;
};
struct StoreProgressed {
  StoreCallId Id;
  StoreProgress Arrived;
};
struct PeerReceived {
  InstanceId From;
  PeerMessage Message;
};
struct PeerLost {
  InstanceId Peer;
};
struct DrainRequested {};
struct QuarantineLifted {
  ContentFingerprint Content;
};

/// \brief Any event that another thread passes to the core.
using CoreEvent =
    std::variant<CallerEvent, UpstreamEvent, StoreReplied, StoreProgressed,
                 PeerReceived, PeerLost, DrainRequested, QuarantineLifted>;

/// \brief Runs the decision logic of one instance in one event loop, which
/// takes events from the other threads through a bounded ring.
class CoreThread {
public:
  /// Functions that the core's thread calls, most of them after a change of the
  /// state that they are named for.
  struct Callbacks {
    std::function<void(std::vector<UpstreamSpec>)> OnUpstreams;
    std::function<void(const std::vector<Member> &)> OnMembers;
    std::function<void()> OnDrained;
    /// Callers' connections must be closed after the answers in progress.
    std::function<void()> OnClosing;
    std::function<void(const CallerBounds &)> OnCallerBounds;
    /// Returns the counts of the other threads.
    std::function<ConnectionCounters()> Connections;
  };

  /// \param Shared loop to run in; null to start a thread.
  CoreThread(boost::asio::io_context *Shared,
             std::unique_ptr<InstanceCore> Instance, const Clock &TimeSource,
             Callbacks Handlers);
  ~CoreThread() { Thread.stop(); }

  void start();
  void stop() { Thread.stop(); }
  /// \brief Passes an event to the core; waits while the ring is full.
  void post(CoreEvent Event) { Ring.pushOrWait(std::move(Event)); }
  /// \brief Passes the departure of a caller to the core, ahead of the events
  /// that wait, among which its request may be.
  void postDeparture(CallerGone Event) { Departures.pushOrWait(Event); }
  /// \brief Passes an event to the core without waiting.
  /// \returns false if the ring is full; the event is dropped then.
  bool tryPost(CoreEvent Event) { return Ring.push(std::move(Event)); }

  /// \returns the latest published status of the instance.
  [[nodiscard]] std::shared_ptr<const RouterStatus> status() const;

private:
  void handle(CoreEvent &Event);
  void handleCallerEvent(CallerEvent &Event, TimePoint Now);
  void handleUpstreamEvent(const UpstreamEvent &Event, TimePoint Now);
  void armTimer();
  void reportChanges();
  void housekeeping();

  std::unique_ptr<InstanceCore> Core;
  Callbacks Notify;
  const Clock &Time;
  EventLoopThread Thread;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer Housekeeping;
  std::optional<TimePoint> Armed;
  std::optional<TimePoint> HousekeepingDue;
  Duration LongestDelay{};
  ConfigurationVersion SeenVersion;
  std::vector<Member> SeenMembers;
  std::optional<CallerBounds> SeenBounds;
  bool ClosingReported = false;
  bool DrainReported = false;
  mutable std::mutex StatusLock;
  std::shared_ptr<const RouterStatus> Status;
  Mailbox<CoreEvent> Ring;
  Mailbox<CallerGone> Departures;
};

/// @}

} // namespace bronzeward
