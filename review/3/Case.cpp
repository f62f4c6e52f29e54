/// \file
/// One request crashes each engine that begins to run it, and comes again at
/// another machine each time, with the same path, caller and body.

#include "review/harness/Fleet.h"

#include <algorithm>
#include <iostream>

using namespace review;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// BUDGET breaks with more retries than this, later than the contact time after
/// the third crash.
constexpr int AllowedRetries = 3;
constexpr milliseconds ContactTime{3000};
/// Upper bound of the time from the request's arrival to its crash.
constexpr milliseconds CrashDelay{100};
constexpr int Crashes = 3;
constexpr std::size_t Machines = 8;
constexpr int Consumers = 16;
constexpr int Visits = 10;
constexpr milliseconds Work{200};
constexpr milliseconds Pause{5000};
constexpr const char *Target = "/puxa403/2f";
constexpr const char *Body = "the plan that crashes engines";

int main(int Argc, char **Argv) {
  Record Log(Argc > 1 ? Argv[1] : "record.txt");
  Fleet Site(Machines, Log);
  Site.configure({{"/puxa403/", "non_idempotent", "permit", 1, 1500, 300},
                  {"/cufi504/", "idempotent", "permit", 2, 1500, 300}});
  const bool Troubled = troubled();
  std::mutex ArrivalsLock;
  std::vector<milliseconds> Arrivals;
  const auto Decide = [&](const Message &Request) {
    if (Request.Target != Target || Request.Body != Body)
      return Conduct{Work, false};
    const std::lock_guard<std::mutex> Guard(ArrivalsLock);
    Arrivals.push_back(Log.sinceStart());
    return Conduct{Work, Troubled};
  };
  for (int Count = 0; Count < 3; ++Count)
    Site.addEngine("permit", Decide);
  if (!Site.start()) {
    std::cerr << "the fleet did not start\n";
    return CouldNotRun;
  }

  std::atomic<bool> Stop = false;
  std::atomic<int> Served = 0;
  std::atomic<int> Failed = 0;
  std::list<std::thread> Threads;
  for (int Number = 0; Number < Consumers; ++Number)
    Threads.emplace_back([&, Number] {
      Channel Kept(Site.address(static_cast<std::size_t>(Number) % Machines),
                   Log);
      for (int Count = 0; !Stop; ++Count) {
        const std::string Attempt =
            "c" + std::to_string(Number) + "-" + std::to_string(Count);
        const Outcome Got =
            Kept.call("POST", "/puxa403/" + Attempt, Attempt, "a sound plan");
        ++(Got.Status == 200 ? Served : Failed);
        std::this_thread::sleep_for(milliseconds(250));
      }
    });

  std::this_thread::sleep_for(seconds(1));
  for (int Visit = 0; Visit < Visits; ++Visit) {
    Channel Own(Site.address(static_cast<std::size_t>(Visit) % Machines), Log);
    Own.call("POST", Target, "poison-" + std::to_string(Visit), Body);
    std::this_thread::sleep_for(Pause);
  }
  Stop = true;
  for (std::thread &Item : Threads)
    Item.join();

  int Late = 0;
  for (std::size_t Index = Crashes; Index < Arrivals.size(); ++Index)
    if (Arrivals[Index] > Arrivals[Crashes - 1] + CrashDelay + ContactTime)
      ++Late;
  Log.line("case",
           "sound requests served " + std::to_string(Served) + ", failed " +
               std::to_string(Failed) + "; the request reached engines " +
               std::to_string(Arrivals.size()) + " times, " +
               std::to_string(Late) + " of them late after the third crash");
  if (Served < Consumers)
    return CouldNotRun;
  if (!Troubled)
    return static_cast<int>(Arrivals.size()) == Visits ? RuleHeld : CouldNotRun;
  return Late > AllowedRetries ? RuleBroken : RuleHeld;
}
