#pragma once

#include "bronzeward/Base"

#include <optional>

namespace bronzeward {

/// \ingroup Router
/// \brief Decides which peer is asked for a newer configuration, and when.
///
/// Only one text is requested at a time; another peer is asked when it does not
/// arrive in time. Otherwise, where part of a large fleet cannot reach the
/// store and long texts change in quick succession, further copies would slow
/// down the awaited one on small links.
class ConfigurationPull {
public:
  /// \returns whether a peer that offers a newer version should be asked now.
  [[nodiscard]] bool mayAsk(const InstanceId &Peer, TimePoint Now) const;
  /// \brief Records that a peer was asked.
  void onAsked(const InstanceId &Peer, TimePoint Now);
  /// \returns whether several peers in a row did not send a text in time, so
  /// that the store should be read.
  [[nodiscard]] bool unanswered(TimePoint Now) const;
  /// \brief Called when a text arrives from a peer.
  void onArrived(const InstanceId &From);
  /// \brief Called when a newer version is accepted from any source.
  void onAccepted() { Pending.reset(); }

private:
  struct Request {
    InstanceId Peer;
    TimePoint SentAt;
    /// Number of peers asked in a row, including this one.
    int Attempts = 1;
  };
  std::optional<Request> Pending;
};

} // namespace bronzeward
