#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Config"
#include "bronzeward/Store"
#include "bronzeward/src/Router/ConfigurationPull.h"

#include <functional>
#include <optional>

namespace bronzeward {

/// \ingroup Router
/// \brief Keeps the newest accepted configuration in force; its version only
/// rises, whatever the store or a peer says later.
///
/// Some instances of each failure domain read the head record often; the rest
/// learn from peers and read it seldom.
class ConfigurationFollower {
public:
  using AcceptedHandler =
      std::function<void(ConfigurationVersion, Configuration, TimePoint)>;

  ConfigurationFollower(InstanceId Name, FailureDomain Home,
                        const Membership &Listed, StoreClient &Client,
                        PeerPort &Out, TimerQueue &Queue);

  void start(TimePoint Now, AcceptedHandler OnAccepted);
  /// \brief Asks a peer for its text where its version is newer.
  void onDigest(const InstanceId &From, const PeerDigest &Message,
                TimePoint Now);
  void onText(const InstanceId &From, const ConfigurationText &Message,
              TimePoint Now);
  void onWanted(const InstanceId &From);

  [[nodiscard]] ConfigurationVersion version() const { return Version; }

private:
  void poll(TimePoint Now);
  void onHead(const StoreReply &Reply, TimePoint Now);
  void readText(const ConfigurationRevision &Revision, TimePoint Now);
  void accept(ConfigurationVersion Newer, const std::string &Text,
              TimePoint Now);
  [[nodiscard]] bool readsOften() const;

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
