#include "review/harness/Engine.h"

#include <array>
#include <charconv>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds BeatPeriod{1200};
/// Intervals of silence after which the platform removes an entry.
constexpr int SilentBeats = 3;
constexpr milliseconds Step{10};

Engine::Engine(EngineSpec Description, Store &Keys, Record &Lines,
               Decision Choose)
    : Spec(std::move(Description)), Registry(Keys), Log(Lines),
      Decide(std::move(Choose)) {
  boot();
  Threads.emplace_back([this] { acceptLoop(); });
  Threads.emplace_back([this] { beatLoop(); });
  while (!Up && !Stopping)
    std::this_thread::sleep_for(Step);
  Usable = Up.load();
}

Engine::~Engine() {
  Stopping = true;
  while (true) {
    std::thread Next;
    {
      const std::lock_guard<std::mutex> Guard(ThreadsLock);
      if (Threads.empty())
        return;
      Next = std::move(Threads.front());
      Threads.pop_front();
    }
    Next.join();
  }
}

void Engine::boot() {
  const std::lock_guard<std::mutex> Guard(Lock);
  ++CurrentBoot;
  CurrentId = "i-" + Spec.Label + "-" + std::to_string(CurrentBoot);
  Born = std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  Sequence = 0;
}

void Engine::crash() {
  std::string Old;
  {
    const std::lock_guard<std::mutex> Guard(Lock);
    if (Clock::now() < BackAt)
      return;
    Old = CurrentId;
    BackAt = Clock::now() + Spec.Down;
  }
  Up = false;
  boot();
  Log.line("engine", "crash " + Old);
  const std::lock_guard<std::mutex> Guard(ThreadsLock);
  Threads.emplace_back([this, Old] {
    const Clock::time_point Removal = Clock::now() + SilentBeats * BeatPeriod;
    while (!Stopping && Clock::now() < Removal)
      std::this_thread::sleep_for(Step);
    Registry.remove("servers/" + Old);
  });
}

void Engine::leave() {
  Left = true;
  const std::lock_guard<std::mutex> Guard(Lock);
  Registry.remove("servers/" + CurrentId);
}

void Engine::beat() {
  const std::lock_guard<std::mutex> Guard(Lock);
  if (Left || !Up)
    return;
  Registry.put("servers/" + CurrentId,
               json::serialize(json::object{
                   {"service", Spec.Service},
                   {"address", Spec.Ip + ":" + std::to_string(Spec.Port)},
                   {"zone", "zone-a"},
                   {"version", "v1"},
                   {"capacity", Spec.Capacity},
                   {"state", "ready"},
                   {"warmup_left_ms", 0},
                   {"sequence", Sequence++},
                   {"born", Born}}));
}

void Engine::beatLoop() {
  while (!Stopping) {
    const std::uint64_t Boot = CurrentBoot;
    while (!Stopping && !Up)
      std::this_thread::sleep_for(Step);
    beat();
    const Clock::time_point Next = Clock::now() + BeatPeriod;
    while (!Stopping && Clock::now() < Next && CurrentBoot == Boot)
      std::this_thread::sleep_for(Step);
  }
}

void Engine::acceptLoop() {
  while (!Stopping) {
    Clock::time_point From;
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      From = BackAt;
    }
    if (Clock::now() < From) {
      std::this_thread::sleep_for(Step);
      continue;
    }
    Socket Listener = listenAt(Spec.Ip, Spec.Port);
    if (!Listener.open()) {
      Stopping = true;
      return;
    }
    const std::uint64_t Boot = CurrentBoot;
    std::string Id;
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      Id = CurrentId;
    }
    Up = true;
    while (!Stopping && CurrentBoot == Boot) {
      Socket Next = acceptFrom(Listener, Step);
      if (!Next.open())
        continue;
      const std::lock_guard<std::mutex> Guard(ThreadsLock);
      Threads.emplace_back(
          [this, Connection = std::move(Next), Boot, Id]() mutable {
            serve(std::move(Connection), Boot, Id);
          });
    }
    Listener.close();
    ClosedBoot = Boot;
  }
}

void Engine::serve(Socket Connection, std::uint64_t Boot,
                   const std::string &Id) {
  const auto Ended = [this, Boot] { return Stopping || CurrentBoot != Boot; };
  Reader From(Connection, Ended);
  while (!Ended()) {
    const Message Request = From.readRequest();
    if (!Request.Whole || !run(Connection, Request, Boot, Id))
      break;
  }
  // A process that ends refuses connections once it resets the open ones.
  while (CurrentBoot != Boot && ClosedBoot < Boot && !Stopping)
    std::this_thread::sleep_for(milliseconds(1));
  if (CurrentBoot != Boot)
    Connection.reset();
}

static std::string streamHead(const std::string &Attempt) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Attempt +
         "\r\nX-Response-Signature: sig-" + Attempt +
         "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

/// \returns an event in a chunk of its own.
static std::string eventChunk(int Number) {
  const std::string Event =
      "id: " + std::to_string(Number) + "\ndata: three tokens\n\n";
  std::array<char, 16> Size{};
  const std::to_chars_result End =
      std::to_chars(Size.data(), Size.data() + Size.size(), Event.size(), 16);
  return std::string(Size.data(), End.ptr) + "\r\n" + Event + "\r\n";
}

static std::string wholeStream(const std::string &Attempt, int Events) {
  std::string Text = streamHead(Attempt);
  for (int Number = 1; Number <= Events; ++Number)
    Text += eventChunk(Number);
  return Text + "0\r\n\r\n";
}

void Engine::writeBeforeCrash(const Socket &Connection,
                              const std::string &Attempt, int Events) const {
  if (Events > 0)
    sendAll(Connection, streamHead(Attempt));
  for (int Number = 1; Number <= Events && !Stopping; ++Number) {
    sendAll(Connection, eventChunk(Number));
    std::this_thread::sleep_for(EventGap);
  }
}

bool Engine::run(const Socket &Connection, const Message &Request,
                 std::uint64_t Boot, const std::string &Id) {
  const std::string Attempt = Request.field("X-Attempt-Id");
  if (Request.Target == "/health")
    return sendAll(Connection, answerText(200, {{"X-Instance-Id", Id}}, ""));
  if (Request.field("X-Expect-Instance") != Id) {
    Log.line("engine", Id + " 421 " + Attempt);
    return sendAll(Connection, answerText(421, {{"X-Instance-Id", Id}}, ""));
  }
  if (Running >= 4 * Spec.Capacity) {
    Log.line("engine", Id + " full " + Attempt);
    return sendAll(
        Connection,
        answerText(503, {{"X-Attempt-Id", Attempt}, {"X-Not-Executed", "1"}},
                   ""));
  }
  const Conduct Chosen = Decide(Request);
  Log.line("engine", Id + " runs " + Attempt + " " + Request.Method + " " +
                         Request.Target);
  if (Chosen.Crashes) {
    writeBeforeCrash(Connection, Attempt, Chosen.EventsBeforeCrash);
    std::this_thread::sleep_for(Step);
    crash();
    return false;
  }
  ++Running;
  const Clock::time_point Until = Clock::now() + Chosen.Work;
  bool Lost = false;
  while (Clock::now() < Until && !Lost) {
    std::this_thread::sleep_for(milliseconds(2));
    Lost = Stopping || CurrentBoot != Boot || closedByPeer(Connection);
  }
  const int Now = Running--;
  if (Lost) {
    Log.line("engine", Id + " dropped " + Attempt);
    return false;
  }
  Log.line("engine", Id + " ran " + Attempt);
  if (Chosen.Events > 0)
    return sendAll(Connection, wholeStream(Attempt, Chosen.Events));
  return sendAll(
      Connection,
      answerText(200,
                 {{"X-Attempt-Id", Attempt},
                  {"X-Response-Signature", "sig-" + Attempt},
                  {"X-Server-Load",
                   std::to_string(Now) + ",0," + std::to_string(Spec.Capacity)},
                  {"Keep-Alive", "timeout=30"}},
                 "body of " + Attempt));
}

} // namespace review
