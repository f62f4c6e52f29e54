#pragma once

#include "bronzeward/Router"
#include "bronzeward/src/Net/CallerServer.h"
#include "bronzeward/src/Net/DutyThread.h"
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
};
struct PeerReceived {
  InstanceId From;
  PeerMessage Message;
};
struct PeerLost {
  InstanceId Peer;
};
struct DrainWanted {};
struct QuarantineLifted {
  ContentFingerprint Content;
};

/// \brief Anything that the core is told.
using CoreEvent =
    std::variant<CallerEvent, UpstreamEvent, StoreReplied, StoreProgressed,
                 PeerReceived, PeerLost, DrainWanted, QuarantineLifted>;

/// \brief The thread in which one instance decides.
class CoreThread {
public:
  /// Called in the core's thread when upstreams or members changed.
  struct Notices {
    std::function<void(std::vector<UpstreamSpec>)> OnUpstreams;
    std::function<void(const std::vector<Member> &)> OnMembers;
    std::function<void()> OnDrained;
    /// Callers' connections are to be closed after the answers under way.
    std::function<void()> OnClosing;
    std::function<void(const CallerBounds &)> OnCallerBounds;
    /// Counts of the rings into the other threads.
    std::function<std::vector<RingCount>()> Rings;
  };

  /// \param Shared loop to run in; null for a thread of its own.
  CoreThread(boost::asio::io_context *Shared,
             std::unique_ptr<InstanceCore> Decider, const Clock &Source,
             Notices Out);
  ~CoreThread() { Thread.stop(); }

  void start();
  void stop() { Thread.stop(); }
  /// \brief Tells the core; waits for room.
  void tell(CoreEvent Event) { Ring.pushOrWait(std::move(Event)); }
  /// \returns false where the ring is full.
  bool tryTell(CoreEvent Event) { return Ring.push(std::move(Event)); }

  /// \returns the latest copy of the instance's state.
  [[nodiscard]] std::shared_ptr<const RouterStatus> status() const;

private:
  void take(CoreEvent &Event);
  void takeCaller(CallerEvent &Event, TimePoint Now);
  void takeUpstream(const UpstreamEvent &Event, TimePoint Now);
  void armTimer();
  void tellChanges();
  void housekeeping();

  std::unique_ptr<InstanceCore> Core;
  Notices Tell;
  const Clock &Time;
  DutyThread Thread;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer Housekeeping;
  std::optional<TimePoint> Armed;
  ConfigurationVersion Seen;
  std::vector<Member> SeenMembers;
  std::optional<CallerBounds> SeenBounds;
  bool ClosingTold = false;
  bool DrainTold = false;
  mutable std::mutex StatusLock;
  std::shared_ptr<const RouterStatus> Status;
  Mailbox<CoreEvent> Ring;
};

/// @}

} // namespace bronzeward
