#include "bronzeward/src/Router/ConfigurationPull.h"

namespace bronzeward {

/// Time for a text to come: the transport gives up what takes longer.
constexpr Duration AnswerTime = 1s;

bool ConfigurationPull::mayAsk(const InstanceId &Peer, TimePoint Now) const {
  if (!Asked)
    return true;
  // The peer that did not answer is asked again only where no other offers.
  const Duration Patience = Peer == Asked->Peer ? 2 * AnswerTime : AnswerTime;
  return Now >= Asked->At + Patience;
}

void ConfigurationPull::onAsked(const InstanceId &Peer, TimePoint Now) {
  Asked = Request{Peer, Now};
}

bool ConfigurationPull::unanswered(TimePoint Now) const {
  return Asked && Now >= Asked->At + AnswerTime;
}

void ConfigurationPull::onArrived(const InstanceId &From) {
  if (Asked && Asked->Peer == From)
    Asked.reset();
}

} // namespace bronzeward
