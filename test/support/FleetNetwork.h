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
#include <tuple>
#include <vector>

namespace bronzeward::fakes {

/// \brief In-memory store of the platform; its watches wait for changes.
class InMemoryStore {
public:
  struct PendingReply {
    std::size_t Caller = 0;
    StoreCallId Id;
    StoreReply Reply;
  };

  /// \brief Executes a call. Its reply is available at once, that of a watch
  /// when the watch ends.
  void execute(std::size_t Caller, StoreCallId Id, const StoreCall &Call,
               TimePoint Now);
  void write(const std::string &Key, const std::string &Value, TimePoint Now);
  void remove(const std::string &Key, TimePoint Now);
  /// \brief Drops the watches and replies of a caller.
  void forget(std::size_t Caller);
  /// \returns the replies since the last call, after ending watches that are
  /// due.
  std::vector<PendingReply> takeReplies(TimePoint Now);

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
  std::vector<PendingReply> Replies;
  std::uint64_t Revision = 0;
  std::int64_t LastLease = 0;
};

/// \brief Counts the configurations that are parsed.
class CountingCodec : public platform::PlatformDeploymentCodec {
public:
  [[nodiscard]] Result<FleetConfiguration>
  parseConfiguration(const std::string &Text) const override {
    ++Parsed;
    return PlatformDeploymentCodec::parseConfiguration(Text);
  }
  mutable std::size_t Parsed = 0;
};

/// \brief Counts the log entries of each kind.
class CountingLog : public SilentLog {
public:
  void onEvent(const std::string &Event, const std::string &) override {
    ++Counts[Event];
  }
  std::map<std::string, std::size_t> Counts;
};

/// \brief A clock that shows the network's time.
class SteppedClock : public Clock {
public:
  explicit SteppedClock(const TimePoint &Source) : Time(Source) {}
  [[nodiscard]] TimePoint now() const override { return Time; }
  [[nodiscard]] WallTime wallNow() const override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
        Time.time_since_epoch()));
  }

private:
  const TimePoint &Time;
};

/// \brief A call that reached a simulated upstream.
struct UpstreamArrival {
  UpstreamName Upstream;
  std::size_t Instance = 0;
  TimePoint At;
  /// Names of the prompt's parts.
  std::vector<std::string> Parts;
  std::string Body;
  /// Number of the caller's ticket.
  std::uint64_t Ticket = 0;
};

/// \brief The final answer that an instance gave to a caller.
struct CallerAnswer {
  std::size_t Instance = 0;
  TimePoint At;
  std::uint16_t Status = 0;
  std::uint64_t Ticket = 0;
  /// Seconds in the Retry-After header; empty if there is none.
  std::optional<double> RetryAfter;
};

/// \brief Simulates several fleet instances, the store and the link into each
/// instance in virtual time. Connections share a link equally. When a message
/// is not delivered within the peers' timeout, it and all messages that wait on
/// its connection are lost.
class FleetNetwork {
public:
  /// \param LinkBytesPerSecond bandwidth into one instance.
  /// \param Strong number of instances of each domain with about four times the
  /// processor capacity and a link of 200 Mbit/s.
  FleetNetwork(std::size_t Size, std::size_t Domains, double LinkBytesPerSecond,
               std::size_t Strong = 0);
  ~FleetNetwork();

  void runFor(Duration Time);
  /// \brief Writes a configuration version with the given number of routes.
  void configure(std::uint64_t Version, std::size_t Routes);
  /// \param Version version of the upstream's software.
  void writeUpstream(const std::string &Name, const std::string &Domain = "d0",
                     const std::string &Version = "v1");
  /// \brief Writes an operator's request to evacuate a failure domain.
  void evacuate(const std::string &Domain);
  /// \brief Takes an evacuation back.
  void endEvacuation(const std::string &Domain);
  /// \brief Writes any bytes as the registry entry of a name.
  void writeEntry(const std::string &Name, const std::string &Value);
  void removeUpstream(const std::string &Name);
  /// \brief Makes the store unreachable, or reachable again, for an instance.
  void setStoreUnreachable(std::size_t Index, bool IsUnreachable);

  /// \brief Drops the messages between an instance and its peers, or delivers
  /// them again.
  void setPeersUnreachable(std::size_t Index, bool IsUnreachable);

  /// \brief Stops the process of an instance, which reads what arrived
  /// meanwhile once it continues.
  void setPaused(std::size_t Index, bool IsPaused);

  /// \brief Lets an instance's connections to upstreams time out, as behind a
  /// full link.
  void setLinkFull(std::size_t Index, bool IsFull);
  /// \brief Replaces an instance by one that has just started.
  void restart(std::size_t Index);
  /// \brief Stops an instance without notice. Its entry in the store stays.
  void kill(std::size_t Index);
  /// \brief Removes an instance's entry, as when its lease expires.
  void expireEntry(std::size_t Index);
  /// \brief Sends a caller's request for the first route to an instance.
  /// \param Parts names of the prompt's parts.
  /// \returns the number of the request's ticket.
  std::uint64_t request(std::size_t Index,
                        const std::vector<std::string> &Parts = {},
                        std::chrono::milliseconds TimeLimit = 12s);
  /// \brief Sends a caller's request to go on with a stream.
  /// \param First value of the header that names the attempt that began it.
  /// \param LastEvent number of the last event that the caller has.
  std::uint64_t resume(std::size_t Index, const std::string &First,
                       int LastEvent);
  /// \brief Sends a request without prompt parts and with a given body.
  std::uint64_t requestWithBody(std::size_t Index, const std::string &Body);
  /// \brief Lets the routes of later configurations repeat and resume calls.
  void setAttempts(int Count) { Attempts = Count; }
  /// \brief Restarts every instance with an allowance of retries in any window
  /// beyond those per call.
  void restartWithRetries(double Extra);
  /// \brief Begins a graceful stop of an instance.
  void drain(std::size_t Index);
  /// \returns whether an instance's graceful stop is complete.
  [[nodiscard]] bool drained(std::size_t Index) const;
  /// \brief Sets for how long upstreams write the answer to a prompt with
  /// parts.
  void setWritingTime(Duration Time) { WritingTime = Time; }
  /// \brief Sets the time from the dispatch of a call to its first event.
  void setAnswerTime(Duration Time) { AnswerTime = Time; }
  /// \brief Lets every upstream crash that begins an answer on a prompt with
  /// this part. It returns under another name after some seconds.
  void crashOnPart(const std::string &Part) { CrashingPart = Part; }
  /// \brief Lets every upstream crash that begins an answer to this body.
  void crashOnBody(const std::string &Body) { CrashingBody = Body; }
  /// \brief Lets upstreams crash that long after an answer's first event
  /// instead of before it.
  void setCrashDelay(Duration Delay) { CrashDelay = Delay; }
  /// \brief Lets an upstream crash now.
  void crash(const UpstreamName &Upstream);
  /// \returns the times at which upstreams crashed.
  [[nodiscard]] const std::vector<TimePoint> &crashes() const {
    return Crashes;
  }
  /// \brief Sets the rate limit that an upstream states in its answers from
  /// now on; empty if it states none.
  void stateRateLimit(const std::string &Upstream, const std::string &Limit);
  [[nodiscard]] const std::vector<UpstreamArrival> &arrivals() const {
    return Arrivals;
  }
  [[nodiscard]] const std::vector<CallerAnswer> &answers() const {
    return Answers;
  }
  [[nodiscard]] TimePoint now() const { return Now; }

  /// \returns whether an instance reports to the load balancer that it is
  /// ready.
  [[nodiscard]] bool ready(std::size_t Index) const;
  [[nodiscard]] std::uint64_t version(std::size_t Index) const;
  [[nodiscard]] std::size_t upstreams(std::size_t Index) const;
  /// \returns the number of bytes that an instance received from its peers.
  [[nodiscard]] std::size_t bytesFromPeers(std::size_t Index) const;
  /// \returns how many configurations all instances together parsed.
  [[nodiscard]] std::size_t parsed() const { return Deployment.Parsed; }
  /// \returns the number of log entries of that kind at all instances.
  [[nodiscard]] std::size_t logged(const std::string &Event) const;
  [[nodiscard]] std::size_t size() const { return Nodes.size(); }

private:
  struct Node;
  struct Transfer {
    double BytesLeft = 0;
    /// Bytes received since progress was last reported to the receiver.
    double UnreportedBytes = 0;
    TimePoint SentAt;
    PeerMessage Message;
    /// Set for a reply of the store.
    std::optional<InMemoryStore::PendingReply> Reply;
  };
  /// A store call that gets no reply and fails at a given time.
  struct UnansweredCall {
    std::size_t Caller = 0;
    StoreCallId Id;
    TimePoint Until;
  };
  /// An upstream's answer that is on its way to an instance.
  struct PendingAnswer {
    TimePoint Due;
    std::size_t Instance = 0;
    /// Count of starts of the instance when it sent the call.
    std::size_t Start = 0;
    AttemptId Attempt;
    UpstreamName Upstream;
    std::vector<std::string> Parts;
    bool Crashing = false;
    /// Id of the next event. The first one follows the caller's last.
    int NextEvent = 1;
    /// When the answer ends; set once it has begun.
    TimePoint EndsAt{};
    /// Whether the head and the first event were sent.
    bool Begun = false;
  };
  /// An upstream that has crashed and the name under which it returns.
  struct DownUpstream {
    UpstreamName Name;
    TimePoint RemovedAt;
    TimePoint ReturnsAt;
    bool Removed = false;
  };
  /// Transfers to one instance by the sender's index; the index of the store is
  /// \ref size.
  using Connections = std::map<std::size_t, std::deque<Transfer>>;

  std::uint64_t send(std::size_t Index, CallerRequest In);
  [[nodiscard]] bool crashes(const UpstreamArrival &Item) const;
  void callUpstream(std::size_t From, const UpstreamCall &Call);
  void answerCalls();
  /// Sends the head and the first event of an answer.
  void beginAnswer(const PendingAnswer &Item);
  void timeOutAttempts();
  /// Reports attempts and probes whose connections were refused.
  void refuseAttempts();
  [[nodiscard]] bool isDown(const UpstreamName &Upstream) const;
  /// Removes the entries of crashed upstreams and registers their successors.
  void restartUpstreams();
  void sendToPeer(std::size_t From, const InstanceId &To,
                  const PeerMessage &Message);
  void callStore(std::size_t From, StoreCallId Id, const StoreCall &Call);
  void moveBytes(std::size_t To);
  void reportProgress(std::size_t To, Transfer &Item, double Moved);
  /// Tells senders which messages were lost.
  void reportUnreachable();
  void failUnansweredCalls();
  void deliver(std::size_t From, std::size_t To, const Transfer &Item);
  void step();

  CountingCodec Deployment;
  platform::PlatformCallCodec Calls;
  CountingLog Log;
  SteppedClock Wall{Now};
  InMemoryStore Store;
  std::size_t Domains = 0;
  std::vector<double> Bandwidth;
  std::vector<double> Capacity;
  std::vector<std::size_t> Starts;
  TimePoint Now{1h};
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<Connections> Links;
  std::set<std::size_t> WithoutStore;
  std::set<std::size_t> WithoutPeers;
  std::set<std::size_t> FullLinks;
  std::set<std::size_t> Paused;
  /// Attempts behind a full link, and when they time out.
  std::deque<std::tuple<TimePoint, std::size_t, AttemptId>> TimingOut;
  std::vector<UnansweredCall> Unanswered;
  /// Sender and receiver of messages to instances that do not run.
  std::vector<std::pair<std::size_t, std::size_t>> Refused;
  /// Messages lost behind a cut: when that is noticed, sender and receiver.
  std::deque<std::tuple<TimePoint, std::size_t, std::size_t>> LostBehindCut;
  std::map<UpstreamName, std::string> StatedLimits;
  std::map<std::string, std::string> VersionOf;
  std::vector<PendingAnswer> PendingAnswers;
  std::string CrashingPart;
  std::optional<std::string> CrashingBody;
  std::optional<Duration> CrashDelay;
  int Attempts = 1;
  double ExtraRetries = 0.0;
  Duration WritingTime = 500ms;
  Duration AnswerTime = 60ms;
  std::vector<DownUpstream> DownUpstreams;
  std::vector<std::pair<std::size_t, AttemptId>> RefusedAttempts;
  std::vector<std::pair<std::size_t, UpstreamName>> RefusedProbes;
  std::set<UpstreamName> EndedUpstreams;
  std::vector<TimePoint> Crashes;
  std::vector<UpstreamArrival> Arrivals;
  std::vector<CallerAnswer> Answers;
  std::uint64_t LastTicket = 0;
};

} // namespace bronzeward::fakes
