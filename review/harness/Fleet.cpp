#include "review/harness/Fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t ReadyPort = 18220;
constexpr std::uint16_t MetricsPort = 19464;
constexpr std::uint16_t PeerPort = 17340;
constexpr std::uint16_t StorePort = 18223;
constexpr std::uint16_t EnginePort = 18080;
constexpr std::size_t StoreNumber = 200;
/// Blocks of loopback addresses, one for each case that runs.
constexpr int Blocks = 250;
constexpr std::size_t FirstEngineNumber = 100;
constexpr seconds StartLimit{30};
/// The program, as the deploy file names it.
constexpr const char *Program = "target/bin/bronzeward-fleet";

/// Processes that are ended if the case is stopped.
constexpr std::size_t MaxProcesses = 64;
static std::array<std::atomic<pid_t>, MaxProcesses> Started;

extern "C" void endProcesses(int /*Signal*/) {
  for (const std::atomic<pid_t> &Process : Started)
    if (Process != 0)
      ::kill(Process, SIGKILL);
  ::_exit(CouldNotRun);
}

bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

Fleet::Fleet(std::size_t Machines, Record &Lines)
    : Log(Lines), Processes(Machines, 0), Ends(Machines) {
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(Name.data()) != nullptr)
    Folder = Name;
  // Another case may run at the same time: takes the first free block.
  for (int Try = 0; Try < Blocks && (!Platform || !Platform->listening());
       ++Try) {
    Block = "127.77." + std::to_string(1 + (::getpid() + Try) % Blocks) + ".";
    Platform = std::make_unique<Store>(ip(StoreNumber), StorePort);
  }
  std::signal(SIGTERM, endProcesses);
  std::signal(SIGINT, endProcesses);
}

Fleet::~Fleet() {
  for (std::size_t Index = 0; Index < Processes.size(); ++Index)
    kill(Index);
  Engines.clear();
  Platform.reset();
  std::error_code Ignored;
  if (!Folder.empty())
    std::filesystem::remove_all(Folder, Ignored);
}

std::string Fleet::ip(std::size_t Number) const {
  return Block + std::to_string(Number);
}

std::string Fleet::address(std::size_t Machine) const {
  return ip(Machine + 1);
}

void Fleet::configure(const std::vector<RouteSpec> &Routes,
                      std::int64_t Prepaid) {
  json::array Listed;
  json::array Services;
  std::vector<std::string> Named;
  for (const RouteSpec &Route : Routes) {
    Listed.push_back(json::object{{"name", "r-" + Route.Prefix.substr(1, 6)},
                                  {"host", HostName},
                                  {"prefix", Route.Prefix},
                                  {"kind", Route.Kind},
                                  {"timeout_ms", Route.TimeoutMs},
                                  {"target_latency_ms", Route.ObjectiveMs},
                                  {"priority", 2},
                                  {"service", Route.Service},
                                  {"attempts", Route.Attempts},
                                  {"public", false},
                                  {"session_affinity", false},
                                  {"stream_resume", false}});
    if (std::find(Named.begin(), Named.end(), Route.Service) != Named.end())
      continue;
    Named.push_back(Route.Service);
    json::object Service{{"name", Route.Service},
                         {"health_path", "/health"},
                         {"max_connections", 110},
                         {"protocol", "h1"},
                         {"tls", false}};
    if (Route.TokensPerEvent > 0)
      Service["engine"] =
          json::object{{"capacity", 64},
                       {"kv_capacity", 536439},
                       {"stride", Route.TokensPerEvent},
                       {"models", json::array{json::object{{"name", "m"}}}}};
    Services.push_back(std::move(Service));
  }
  const json::object State{
      {"version", 7},
      {"routes", std::move(Listed)},
      {"services", std::move(Services)},
      {"limits", json::object{{"max_header_bytes", 16384},
                              {"max_body_bytes", 4194304},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}}},
      {"tenants", json::array{json::object{{"name", "hule930"},
                                           {"api_keys", json::array{Key}},
                                           {"priority", 1},
                                           {"prepaid", Prepaid}}}}};
  Platform->put("op/config", json::serialize(State));
}

Engine &Fleet::addEngine(const std::string &Service,
                         const Engine::Decision &Decide, int Capacity) {
  EngineSpec Spec;
  Spec.Label = Service + "-" + std::to_string(Engines.size() + 1);
  Spec.Service = Service;
  Spec.Ip = ip(FirstEngineNumber + Engines.size());
  Spec.Port = EnginePort;
  Spec.Capacity = Capacity;
  Engines.push_back(std::make_unique<Engine>(Spec, *Platform, Log, Decide));
  return *Engines.back();
}

bool Fleet::spawn(std::size_t Machine) {
  const std::array<const char *, 3> Zones{"zone-a", "zone-b", "zone-c"};
  const std::string Name = "front-" + std::to_string(Machine + 1);
  const std::string Ip = address(Machine);
  const std::string Settings = Folder + "/" + Name + ".flags";
  std::ofstream Out(Settings);
  // The lines of deploy/settings.flags, filled in as for a small deployment.
  Out << "--instance=" << Name << "\n--failure_domain=" << Zones[Machine % 3]
      << "\n--capacity=0.25\n--listen=" << Ip << ":" << CallerPort
      << "\n--operator_listen=" << Ip << ":" << ReadyPort
      << "\n--metrics_listen=" << Ip << ":" << MetricsPort
      << "\n--peer_listen=" << Ip << ":" << PeerPort
      << "\n--peer_port=" << PeerPort
      << "\n--peer_seeds=\n--store=" << ip(StoreNumber) << ":" << StorePort
      << "\n--store_timeout_ms=900\n--store_breaker_ms=600"
      << "\n--max_connections=1500\n--drain_timeout_s=8\n--retry_ratio=0.2"
      << "\n--retry_extra=56\n--retry_window_ms=10000\n";
  Out.close();
  const std::string Variable = "BRONZEWARD_SETTINGS=" + Settings;
  const std::string Output = Folder + "/" + Name + ".log";
  std::string Word = Program;
  std::string Setting = Variable;
  std::string Path = "PATH=/usr/bin:/bin";
  std::array<char *, 2> Arguments{Word.data(), nullptr};
  std::array<char *, 3> Environment{Setting.data(), Path.data(), nullptr};
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  ::posix_spawn_file_actions_addopen(&Files, 1, Output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
  ::posix_spawn_file_actions_adddup2(&Files, 1, 2);
  const int Failure =
      ::posix_spawn(&Processes[Machine], Program, &Files, nullptr,
                    Arguments.data(), Environment.data());
  ::posix_spawn_file_actions_destroy(&Files);
  if (Failure != 0)
    Processes[Machine] = 0;
  Started.at(Machine) = Processes[Machine];
  return Failure == 0;
}

bool Fleet::ready(std::size_t Machine) {
  const Socket Connection =
      connectTo(address(Machine), ReadyPort, milliseconds(300));
  if (!Connection.open() ||
      !sendAll(Connection,
               requestText("GET", "/readyz", {{"Host", "ready"}}, "")))
    return false;
  const Clock::time_point Until = Clock::now() + seconds(1);
  Reader From(Connection, [Until] { return Clock::now() >= Until; });
  return From.readAnswer().Status == 200;
}

bool Fleet::start() {
  if (Folder.empty() || !Platform->listening())
    return false;
  for (const std::unique_ptr<Engine> &Item : Engines)
    if (!Item->usable())
      return false;
  for (std::size_t Index = 0; Index < Processes.size(); ++Index)
    if (!spawn(Index))
      return false;
  const Clock::time_point Until = Clock::now() + StartLimit;
  std::size_t Ready = 0;
  while (Ready < Processes.size()) {
    if (Clock::now() >= Until || !ended(Ready).empty())
      return false;
    if (ready(Ready))
      ++Ready;
    else
      std::this_thread::sleep_for(milliseconds(50));
  }
  // The instances learn of each other within a few seconds.
  std::this_thread::sleep_for(seconds(5));
  Log.line("fleet", std::to_string(Ready) + " instances are ready");
  return true;
}

std::string Fleet::ended(std::size_t Machine) {
  int Status = 0;
  if (Processes[Machine] == 0 ||
      ::waitpid(Processes[Machine], &Status, WNOHANG) != Processes[Machine])
    return Ends[Machine];
  Processes[Machine] = 0;
  Started.at(Machine) = 0;
  Ends[Machine] = WIFSIGNALED(Status)
                      ? "signal " + std::to_string(WTERMSIG(Status))
                      : "exit code " + std::to_string(WEXITSTATUS(Status));
  std::string Last;
  std::ifstream In(Folder + "/front-" + std::to_string(Machine + 1) + ".log");
  for (std::string Line; std::getline(In, Line);)
    if (Line.find("what()") != std::string::npos)
      Last = Line;
  Log.line("fleet", "front-" + std::to_string(Machine + 1) +
                        " ended by itself: " + Ends[Machine] + " " + Last);
  return Ends[Machine];
}

void Fleet::kill(std::size_t Machine) {
  if (Processes[Machine] == 0)
    return;
  ::kill(Processes[Machine], SIGKILL);
  Started.at(Machine) = 0;
  ::waitpid(Processes[Machine], nullptr, 0);
  Processes[Machine] = 0;
  Ends[Machine] = "killed";
}

std::size_t Fleet::residentKilobytes(std::size_t Machine) const {
  std::ifstream In("/proc/" + std::to_string(Processes[Machine]) + "/status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stoul(Line.substr(6));
  return 0;
}

Outcome Channel::call(const std::string &Method, const std::string &Target,
                      const std::string &Attempt, const std::string &Body,
                      milliseconds Limit, const Headers &More) {
  const Clock::time_point Begin = Clock::now();
  Outcome Result;
  if (!Connection.open() || closedByPeer(Connection))
    Connection = connectTo(Ip, Fleet::CallerPort, seconds(1));
  if (!Connection.open()) {
    Log.line("consumer", Attempt + " found no listener at " + Ip);
    return Result;
  }
  Log.line("consumer", Attempt + " sends " + Method + " " + Target + " with " +
                           std::to_string(Body.size()) + " bytes to " + Ip);
  Headers Fields{{"Host", Fleet::HostName},
                 {"X-Attempt-Id", Attempt},
                 {"X-Deadline-Ms", std::to_string(Limit.count())},
                 {"Authorization", std::string("Bearer ") + Fleet::Key}};
  Fields.insert(Fields.end(), More.begin(), More.end());
  const Clock::time_point Until = Begin + Limit + seconds(1);
  Reader From(Connection, [Until] { return Clock::now() >= Until; });
  if (sendAll(Connection, requestText(Method, Target, Fields, Body)))
    Result.Answer = From.readAnswer();
  Result.Took = std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
  if (Result.Answer.Whole)
    Result.Status = Result.Answer.Status;
  if (!Result.Answer.Whole || Result.Answer.field("Connection") == "close")
    Connection.close();
  Log.line("consumer", Attempt + " got " + std::to_string(Result.Status) + " " +
                           Result.Answer.field("Bronzeward-Reason") +
                           " after " + std::to_string(Result.Took.count()) +
                           " ms");
  return Result;
}

} // namespace review
