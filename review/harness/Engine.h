#pragma once

#include "review/harness/Record.h"
#include "review/harness/Store.h"

namespace review {

/// \brief What an engine does with one request.
struct Conduct {
  std::chrono::milliseconds Work{15};
  /// Whether the request crashes the engine when it begins to run.
  bool Crashes = false;
  /// Events that are written, one each EventGap, before the crash.
  int EventsBeforeCrash = 0;
  /// Number of events, if the answer is a stream.
  int Events = 0;
};

constexpr std::chrono::milliseconds EventGap{40};

/// \brief Description of an engine.
struct EngineSpec {
  std::string Label;
  std::string Service;
  std::string Ip;
  std::uint16_t Port = 0;
  int Capacity = 6;
  /// Time for which the engine is down after a crash.
  std::chrono::milliseconds Down{3000};
};

/// \brief Stand-in for an engine. It registers in the store, runs requests and
/// may crash.
class Engine {
public:
  using Decision = std::function<Conduct(const Message &)>;

  Engine(EngineSpec Description, Store &Registry, Record &Log, Decision Decide);
  ~Engine();
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  [[nodiscard]] bool usable() const { return Usable; }
  /// \brief Resets all connections and refuses new ones until the engine is
  /// back under a new name.
  void crash();
  /// \brief Removes the entry, and serves on for some time, without a report
  /// that it is leaving.
  void leave();
  [[nodiscard]] int running() const { return Running; }
  [[nodiscard]] const EngineSpec &spec() const { return Spec; }

private:
  void acceptLoop();
  void beatLoop();
  void serve(Socket Connection, std::uint64_t Boot, const std::string &Id);
  /// \returns whether the connection can be used on.
  bool run(const Socket &Connection, const Message &Request, std::uint64_t Boot,
           const std::string &Id);
  /// Begins a stream and writes events until the crash.
  void writeBeforeCrash(const Socket &Connection, const std::string &Attempt,
                        int Events) const;
  void boot();
  void beat();

  EngineSpec Spec;
  Store &Registry;
  Record &Log;
  Decision Decide;
  std::atomic<bool> Usable = false;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Left = false;
  std::atomic<std::uint64_t> CurrentBoot = 0;
  std::atomic<int> Running = 0;
  std::atomic<bool> Up = false;
  /// Boot whose listener was closed last.
  std::atomic<std::uint64_t> ClosedBoot = 0;
  std::mutex Lock;
  std::string CurrentId;
  std::int64_t Born = 0;
  std::uint64_t Sequence = 0;
  Clock::time_point BackAt;
  std::mutex ThreadsLock;
  std::list<std::thread> Threads;
};

} // namespace review
