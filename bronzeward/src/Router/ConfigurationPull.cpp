#include "bronzeward/src/Router/ConfigurationPull.h"

namespace bronzeward {

/// Time for a text to arrive before another peer is asked: a third of the time
/// within which a change must be in force.
constexpr Duration ReplyTimeout = 1s;
/// Number of peers that must fail to reply before the store is read; its reply
/// is many times as long as a peer's.
constexpr int PeersBeforeStore = 2;

bool ConfigurationPull::mayAsk(const InstanceId &Peer, TimePoint Now) const {
  if (!Pending)
    return true;
  // Other peers go first: the one that did not reply is asked again only after
  // twice the time.
  const Duration Timeout =
      Peer == Pending->Peer ? 2 * ReplyTimeout : ReplyTimeout;
  return Now >= Pending->SentAt + Timeout;
}

void ConfigurationPull::onAsked(const InstanceId &Peer, TimePoint Now) {
  Pending = Request{Peer, Now, Pending ? Pending->Attempts + 1 : 1};
}

bool ConfigurationPull::unanswered(TimePoint Now) const {
  return Pending && Pending->Attempts >= PeersBeforeStore &&
         Now >= Pending->SentAt + ReplyTimeout;
}

void ConfigurationPull::onArrived(const InstanceId &From) {
  if (Pending && Pending->Peer == From)
    Pending.reset();
}

} // namespace bronzeward
