#pragma once

#include "bronzeward/src/Budget/Membership.h"
#include "bronzeward/src/Budget/PeerPort.h"
#include "bronzeward/src/Relay/PeerRepetitions.h"
#include "bronzeward/src/Relay/StreamOriginTable.h"
#include "bronzeward/src/Relay/VersionHistory.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Result of a search for the version at which a stream began.
struct OriginLookup {
  enum class Outcome {
    Found,
    /// No version is known; the stream must not go on anywhere.
    Unknown,
    /// \ref StreamOriginListener::onOriginLookedUp follows.
    Pending,
  };
  Outcome Result = Outcome::Unknown;
  /// Set if Result is Found.
  VersionId Version;
};

/// \brief Receiver of the results of searches.
class StreamOriginListener {
public:
  virtual ~StreamOriginListener() = default;
  /// \param Version empty if no version is known.
  virtual void onOriginLookedUp(const RequestId &Request,
                                std::optional<VersionId> Version,
                                TimePoint Now) = 0;
};

/// \brief Interfaces that a \ref StreamOriginAgent depends on.
struct StreamOriginDependencies {
  PeerPort &Peers;
  TimerQueue &Timers;
  const Membership &Members;
  VersionHistory &Versions;
};

/// \brief Finds out at which version of its service's software a stream began,
/// wherever it did.
///
/// Nothing is exchanged while all streams of a service began at one version.
/// Else each stream is replicated to a few instances, chosen by rendezvous
/// hashing, which any instance can ask. Whoever knows a stream replicates it
/// again when one of them restarts, leaves or was unreachable.
/// docs/design/stream-versions.md describes the protocol.
class StreamOriginAgent {
public:
  StreamOriginAgent(InstanceId Own, StreamOriginDependencies Dependencies);
  StreamOriginAgent(const StreamOriginAgent &) = delete;
  StreamOriginAgent &operator=(const StreamOriginAgent &) = delete;

  /// \brief Sets the receiver of results; it outlives the agent.
  void notify(StreamOriginListener &Receiver) { Listener = &Receiver; }
  /// \brief Records that a caller got the first event of a new stream.
  void onBegun(const ServiceName &Service, const StreamOrigin &Begun,
               TimePoint Now);
  /// \brief Searches for the version at which a stream began.
  OriginLookup lookUp(const RequestId &Request, const ServiceName &Service,
                      StreamKey Stream, TimePoint Now);
  /// \brief Ends the search for a request, if any.
  void abandon(const RequestId &Request);
  /// \brief Sets instances that know the list of upstreams first; searches ask
  /// them too.
  void setWatchers(std::vector<InstanceId> Listed) {
    Watchers = std::move(Listed);
  }
  /// \brief Ends the searches that a more recent list of upstreams decides.
  void onListConfirmed(TimePoint Now);
  /// \brief Asks some peers for the recorded versions of a service.
  void requestRecord(const ServiceName &Service);
  /// \brief Replicates the streams that began here while all were at one
  /// version, for services that now may have several. Asks for those of other
  /// instances after the start. Called periodically.
  void onVersionsChanged(TimePoint Now);
  /// \brief Replicates streams to the instances that have to remember them
  /// after a change of the list of members.
  void onMembersChanged(TimePoint Now);
  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now);
  /// \brief Called when messages to a peer were lost.
  void onPeerUnreachable(const InstanceId &Peer) { Repetitions.onLost(Peer); }

  /// \returns the versions at which a new stream may begin now.
  [[nodiscard]] std::vector<VersionId> startable(const ServiceName &Service,
                                                 TimePoint Now) const {
    return Deps.Versions.startable(Service, Now);
  }

private:
  /// A stream that began here at the only version of its service.
  struct LocalStream {
    ServiceName Service;
    StreamOrigin Begun;
    TimePoint BegunAt;
  };
  struct Search {
    RequestId Request;
    ServiceName Service;
    StreamKey Stream;
    TimePoint BeganAt;
    std::size_t Asked = 0;
    std::size_t Replied = 0;
    /// Whether every reply that names versions names the same only one as this
    /// instance.
    bool Agreed = true;
    /// Time until which the instances that replied know every change of the
    /// list.
    std::optional<TimePoint> CompleteUntil;
    /// The version, if it is known and its upstreams may not be listed yet.
    std::optional<VersionId> Origin;
    TimerQueue::Handle Timeout;
  };

  void replicate(const StreamOrigin &Begun, TimePoint Now);
  /// Adds a stream to the next notice to a replica.
  void queue(const InstanceId &Replica, const StreamOrigin &Begun,
             TimePoint Now);
  /// Replicates the newest known streams to those of their replicas that had
  /// none of them before.
  /// \param Before list of members according to which the streams were
  /// replicated.
  /// \param Empty instances that may have lost what they were told.
  /// \param Left instances that remember streams no longer.
  void replicateAgain(const std::vector<Member> &Before,
                      const std::set<InstanceId> &Empty,
                      const std::set<InstanceId> &Left, TimePoint Now);
  /// Asks the other members for the streams that this instance has to remember,
  /// once after its start, if services have several versions then.
  void recall(TimePoint Now);
  void flush();
  void onRequest(const InstanceId &From, const StreamOriginRequest &Message,
                 TimePoint Now);
  void onReply(const StreamOriginReply &Message, TimePoint Now);
  /// Starts a search that ends at a time limit.
  Search &beginSearch(const RequestId &Request, const ServiceName &Service,
                      StreamKey Stream, TimePoint Now);
  /// Ends a search if what is known so far decides it.
  /// \param TimedOut whether missing replies are no longer awaited.
  void conclude(std::uint64_t Number, bool TimedOut, TimePoint Now);
  /// Lets a search wait for a recent list of upstreams after its last reply.
  void awaitList(std::uint64_t Number, Search &Item);
  /// \returns whether all streams of the service began at its only version, by
  /// the word of an instance that knows the list up to now.
  [[nodiscard]] bool certain(const Search &Item, TimePoint Now) const;
  void finish(std::uint64_t Number, std::optional<VersionId> Version,
              TimePoint Now);

  InstanceId Self;
  StreamOriginDependencies Deps;
  StreamOriginListener *Listener = nullptr;
  StreamOriginTable Known;
  /// Those of the known streams that are replicated.
  StreamOriginTable Replicated;
  std::deque<LocalStream> Unreplicated;
  /// Value of VersionHistory::changes() when Unreplicated was last searched.
  std::uint64_t VersionsSeen = 0;
  std::map<InstanceId, std::vector<StreamOrigin>> Outbox;
  /// List of members according to which streams are replicated.
  std::vector<Member> ReplicatedMembers;
  PeerRepetitions Repetitions;
  /// Time until which the streams that this instance has to remember are asked
  /// for; set when the instance is first listed, empty once they were.
  std::optional<TimePoint> RecallUntil;
  bool RecallDecided = false;
  std::vector<InstanceId> Watchers;
  std::map<std::uint64_t, Search> Searches;
  std::uint64_t LastSearch = 0;
};

/// @}

} // namespace bronzeward
