#pragma once

#include "bronzeward/Base"

#include <map>

namespace bronzeward {

/// \ingroup Relay
/// \brief Decides when state is repeated to peers to which messages were lost:
/// when they are heard again, and not too often, as their links may be full.
class PeerRepetitions {
public:
  /// \param MinTime time between two repetitions to one peer.
  explicit PeerRepetitions(Duration MinTime) : Period(MinTime) {}

  /// \brief Called when messages to a peer were lost.
  void onLost(const InstanceId &Peer) { Peers[Peer].Due = true; }
  /// \brief Called when a peer is heard.
  /// \returns whether to repeat the state now.
  [[nodiscard]] bool onHeard(const InstanceId &Peer, TimePoint Now) {
    const auto Found = Peers.find(Peer);
    if (Found == Peers.end() || !Found->second.Due ||
        Now < Found->second.NotBefore)
      return false;
    Found->second = {false, Now + Period};
    return true;
  }

private:
  struct State {
    bool Due = false;
    TimePoint NotBefore;
  };

  Duration Period;
  std::map<InstanceId, State> Peers;
};

} // namespace bronzeward
