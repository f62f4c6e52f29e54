#pragma once

#include "bronzeward/Router"
#include "platform/PlatformCallCodec.h"
#include "platform/PlatformDeploymentCodec.h"
#include "test/support/EngineMocks.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzeward::fakes {

/// \brief The platform's store in memory, with watches that wait.
class WatchedStore {
public:
  struct Answered {
    std::size_t Caller = 0;
    StoreCallId Id;
    StoreReply Reply;
  };

  /// \brief Takes a call; its answer comes at once or when a watch ends.
  void execute(std::size_t Caller, StoreCallId Id, const StoreCall &Call,
               TimePoint Now);
  void write(const std::string &Key, const std::string &Value, TimePoint Now);
  void remove(const std::string &Key, TimePoint Now);
  /// \returns the answers since the last look, after ending watches due.
  std::vector<Answered> takeAnswers(TimePoint Now);

private:
  struct Watch {
    std::size_t Caller = 0;
    StoreCallId Id;
    WatchKeys Call;
    TimePoint Until;
  };

  [[nodiscard]] StoreReply swap(const CompareAndSwap &Call, TimePoint Now);
  [[nodiscard]] std::vector<StoreEntry> changes(const WatchKeys &Call) const;
  void endWatches(TimePoint Now);

  std::map<std::string, StoreEntry> Entries;
  std::vector<Watch> Waiting;
  std::vector<Answered> Answers;
  std::uint64_t Revision = 0;
  std::int64_t LastLease = 0;
};

/// \brief Counts configurations that are read whole.
class CountingForm : public platform::PlatformDeploymentCodec {
public:
  [[nodiscard]] Result<FleetConfiguration>
  parseConfiguration(const std::string &Text) const override {
    ++Parsed;
    return PlatformDeploymentCodec::parseConfiguration(Text);
  }
  mutable std::size_t Parsed = 0;
};

/// \brief Several fleet instances, the store and the links into each instance,
/// in virtual time. Connections share a link; what is not delivered within the
/// peers' timeout is lost with all that its connection still held.
class FleetNetwork {
public:
  /// \param LinkBytesPerSecond bandwidth into one instance.
  /// \param Strong instances of each domain with four times the processor and
  /// a link of 200 Mbit/s.
  FleetNetwork(std::size_t Size, std::size_t Domains, double LinkBytesPerSecond,
               std::size_t Strong = 0);
  ~FleetNetwork();

  void runFor(Duration Time);
  /// \brief Writes a version whose text has that many routes.
  void configure(std::uint64_t Version, std::size_t Routes);
  void writeUpstream(const std::string &Name);
  void removeUpstream(const std::string &Name);
  /// \brief Lets the store turn an instance away, or answer it again.
  void setStoreAway(std::size_t Place, bool IsAway);

  /// \brief Loses the messages between an instance and its peers, or carries
  /// them again.
  void setPeersAway(std::size_t Place, bool IsAway);

  [[nodiscard]] std::uint64_t version(std::size_t Place) const;
  [[nodiscard]] std::size_t upstreams(std::size_t Place) const;
  /// \returns bytes that arrived at an instance from its peers.
  [[nodiscard]] std::size_t bytesFromPeers(std::size_t Place) const;
  /// \returns configurations that all instances together read whole.
  [[nodiscard]] std::size_t parsed() const { return Deployment.Parsed; }
  [[nodiscard]] std::size_t size() const { return Nodes.size(); }

private:
  struct Node;
  struct Transfer {
    double BytesLeft = 0;
    /// Bytes since the receiver last heard of the transfer's progress.
    double Untold = 0;
    TimePoint SentAt;
    PeerMessage Message;
    /// Set for an answer of the store.
    std::optional<WatchedStore::Answered> Reply;
  };
  /// A store call that nothing answers.
  struct Silent {
    std::size_t Caller = 0;
    StoreCallId Id;
    TimePoint Until;
  };
  /// Transfers to one instance, by the sender's place; Size for the store.
  using Connections = std::map<std::size_t, std::deque<Transfer>>;

  void sendToPeer(std::size_t From, const InstanceId &To,
                  const PeerMessage &Message);
  void callStore(std::size_t From, StoreCallId Id, const StoreCall &Call);
  void moveBytes(std::size_t To);
  void tellProgress(std::size_t To, Transfer &Item, double Moved);
  void endSilent();
  void arrive(std::size_t From, std::size_t To, const Transfer &Item);
  void step();

  CountingForm Deployment;
  platform::PlatformCallCodec Calls;
  MockCallers Callers;
  MockUpstreams Upstreams;
  SilentLog Log;
  FixedClock Wall;
  WatchedStore Store;
  std::vector<double> Bandwidth;
  TimePoint Now{1h};
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Connections> Links;
  std::set<std::size_t> Away;
  std::set<std::size_t> WithoutPeers;
  std::vector<Silent> Unanswered;
};

} // namespace bronzeward::fakes
