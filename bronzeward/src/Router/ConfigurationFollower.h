#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Config"
#include "bronzeward/Store"
#include "bronzeward/src/Router/ConfigurationPull.h"

#include <functional>
#include <optional>

namespace bronzeward {

/// \ingroup Router
/// \brief Keeps the newest accepted configuration in force. The version never
/// decreases, even if the store or a peer later reports an older one.
///
/// A few instances of each failure domain read the head record often; the
/// others read it rarely and get new versions from peers.
class ConfigurationFollower {
public:
  using AcceptedHandler =
      std::function<void(ConfigurationVersion, Configuration, TimePoint)>;

  ConfigurationFollower(InstanceId Name, FailureDomain OwnDomain,
                        const Membership &Listed, StoreClient &Client,
                        PeerPort &Out, TimerQueue &Queue);

  /// \brief Begins to poll the store.
  /// \param OnAccepted called with each version that comes into force.
  void start(TimePoint Now, AcceptedHandler OnAccepted);
  /// \brief Requests a peer's text if the peer has a newer version.
  void onDigest(const InstanceId &From, const PeerDigest &Message,
                TimePoint Now);
  /// \brief Applies a text that a peer sent, if it is newer and valid.
  void onText(const InstanceId &From, const ConfigurationText &Message,
              TimePoint Now);
  /// \brief Sends the text in force to a peer that requests it.
  void onWanted(const InstanceId &From);

  [[nodiscard]] ConfigurationVersion version() const { return Version; }

private:
  void poll(TimePoint Now);
  void onHead(const StoreReply &Reply, TimePoint Now);
  void readText(const ConfigurationRevision &Revision, TimePoint Now);
  void accept(ConfigurationVersion Newer, const std::string &Text,
              TimePoint Now);
  [[nodiscard]] bool isFrequentReader() const;

  InstanceId Self;
  FailureDomain Domain;
  const Membership &Members;
  StoreClient &Store;
  PeerPort &Peers;
  TimerQueue &Timers;
  AcceptedHandler Accepted;
  ConfigurationVersion Version;
  std::string CurrentText;
  ConfigurationPull Pull;
};

} // namespace bronzeward
