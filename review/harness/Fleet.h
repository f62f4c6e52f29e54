#pragma once

#include "review/harness/Engine.h"

#include <memory>
#include <sys/types.h>

namespace review {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// \brief Kind of requests that a route of the deployment serves.
struct RouteSpec {
  std::string Prefix;
  std::string Kind;
  std::string Service;
  int Attempts = 1;
  int TimeoutMs = 3000;
  int ObjectiveMs = 300;
  /// Tokens in an event of a stream; zero if the service is no model engine.
  int TokensPerEvent = 0;
};

/// \brief A small deployment on loopback addresses of its own: the platform's
/// store, instances and engines.
class Fleet {
public:
  /// \param Machines number of instances, spread over three zones.
  Fleet(std::size_t Machines, Record &Lines);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// \brief Writes the desired state.
  /// \param Prepaid tokens that the tenant may consume.
  void configure(const std::vector<RouteSpec> &Routes,
                 std::int64_t Prepaid = 7561307);
  Engine &addEngine(const std::string &Service, const Engine::Decision &Decide,
                    int Capacity = 6);
  /// \brief Starts the instances and waits until all are ready.
  /// \returns whether they are.
  bool start();
  [[nodiscard]] Store &store() { return *Platform; }
  [[nodiscard]] Engine &engine(std::size_t Index) { return *Engines[Index]; }
  [[nodiscard]] std::size_t engines() const { return Engines.size(); }
  [[nodiscard]] std::size_t machines() const { return Processes.size(); }
  [[nodiscard]] std::string address(std::size_t Machine) const;
  [[nodiscard]] pid_t process(std::size_t Machine) const {
    return Processes[Machine];
  }
  /// \returns how a process ended; empty while it runs.
  std::string ended(std::size_t Machine);
  /// \brief Kills a process.
  void kill(std::size_t Machine);
  /// \returns the peak of a process's resident memory in kilobytes.
  [[nodiscard]] std::size_t residentKilobytes(std::size_t Machine) const;
  /// \returns whether an instance says that it is ready.
  bool ready(std::size_t Machine);

  static constexpr std::uint16_t CallerPort = 18227;
  static constexpr const char *HostName = "ficu95.example";
  static constexpr const char *Key = "n2ctnfzs989anu6wsjnb";

private:
  [[nodiscard]] std::string ip(std::size_t Number) const;
  bool spawn(std::size_t Machine);

  Record &Log;
  std::string Block;
  std::string Folder;
  std::unique_ptr<Store> Platform;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<pid_t> Processes;
  std::vector<std::string> Ends;
};

/// \brief Result of one request of a consumer.
struct Outcome {
  /// Zero if the channel ended without a whole answer.
  int Status = 0;
  Message Answer;
  std::chrono::milliseconds Took{0};
};

/// \brief A consumer's channel to one machine, which it keeps.
class Channel {
public:
  Channel(std::string Address, Record &Lines)
      : Ip(std::move(Address)), Log(Lines) {}

  /// \brief Sends a request and awaits its answer.
  /// \param Attempt the request's id; also written to the record.
  Outcome call(const std::string &Method, const std::string &Target,
               const std::string &Attempt, const std::string &Body = "",
               std::chrono::milliseconds Limit = std::chrono::seconds(3),
               const Headers &More = {});
  void close() { Connection.close(); }

private:
  std::string Ip;
  Record &Log;
  Socket Connection;
};

/// \returns whether the case runs with its disruption.
bool troubled();

} // namespace review
