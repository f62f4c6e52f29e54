#pragma once

#include "bronzeward/Base"

#include <optional>

namespace bronzeward {

/// \ingroup Router
/// \brief Which peer is asked for a newer configuration, and when.
///
/// Load pattern: a part of a large fleet has no store, links are small and long
/// texts change in quick succession. One text is under way at a time; another
/// peer is asked when it does not come, so that copies never crowd out the one
/// that is awaited.
class ConfigurationPull {
public:
  /// \returns whether a peer that offers a newer version is to be asked now.
  [[nodiscard]] bool mayAsk(const InstanceId &Peer, TimePoint Now) const;
  void onAsked(const InstanceId &Peer, TimePoint Now);
  /// \returns whether several peers in a row have let the time pass.
  [[nodiscard]] bool unanswered(TimePoint Now) const;
  /// \brief A text came from a peer.
  void onArrived(const InstanceId &From);
  /// \brief A newer version is in force, wherever it came from.
  void onAccepted() { Asked.reset(); }

private:
  struct Request {
    InstanceId Peer;
    TimePoint At;
    /// Peers asked in a row, with this one.
    int Tries = 1;
  };
  std::optional<Request> Asked;
};

} // namespace bronzeward
