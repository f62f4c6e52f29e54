#include "bronzeward/src/Router/ConfigurationPull.h"

namespace bronzeward {

/// Time for a text to come before another peer is asked: a third of the time in
/// which a change is to be in force.
constexpr Duration AnswerTime = 1s;
/// Peers that are asked in vain before the store is read, whose reply is many
/// times as long.
constexpr int PeersBeforeStore = 2;

bool ConfigurationPull::mayAsk(const InstanceId &Peer, TimePoint Now) const {
  if (!Asked)
    return true;
  // The peer that did not answer is asked again only where no other offers.
  const Duration Patience = Peer == Asked->Peer ? 2 * AnswerTime : AnswerTime;
  return Now >= Asked->At + Patience;
}

void ConfigurationPull::onAsked(const InstanceId &Peer, TimePoint Now) {
  Asked = Request{Peer, Now, Asked ? Asked->Tries + 1 : 1};
}

bool ConfigurationPull::unanswered(TimePoint Now) const {
  return Asked && Asked->Tries >= PeersBeforeStore &&
         Now >= Asked->At + AnswerTime;
}

void ConfigurationPull::onArrived(const InstanceId &From) {
  if (Asked && Asked->Peer == From)
    Asked.reset();
}

} // namespace bronzeward
