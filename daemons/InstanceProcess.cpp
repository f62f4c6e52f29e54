#include "daemons/InstanceProcess.h"

#include "daemons/ProcessReport.h"
#include "daemons/ProcessSignals.h"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

DEFINE_string(instance, "", "name of this instance; unique in the fleet");
DEFINE_string(failure_domain, "", "failure domain of this instance");
DEFINE_string(listen, "127.0.0.1:8080", "callers' address, ip:port");
DEFINE_string(operator_listen, "127.0.0.1:8081", "operators' address, ip:port");
DEFINE_string(metrics_listen, "",
              "address that serves metrics only, ip:port; none if empty");
DEFINE_string(peer_listen, "127.0.0.1:8082", "peers' address, ip:port");
DEFINE_string(peer_advertise, "",
              "address at which peers reach this instance, ip:port; "
              "--peer_listen if empty");
DEFINE_string(store, "127.0.0.1:2379",
              "address of the platform's store, ip:port");
DEFINE_int32(
    store_timeout_ms, 1000,
    "time without a received byte after which a call to the store fails");
DEFINE_int32(store_breaker_ms, 5000,
             "maximum time for which calls to a failing store are held back");
DEFINE_int32(max_connections, 10000,
             "maximum number of callers' connections at once");
DEFINE_int32(max_header_bytes, 16384, "maximum size of a request's headers");
DEFINE_int32(max_body_bytes, 1048576, "maximum size of a request's body");
DEFINE_int32(memory_mb, 512,
             "memory of this instance; two fifths of it are for the requests "
             "and answers that callers make it hold");
DEFINE_int32(read_timeout_ms, 10000,
             "maximum time between the first byte of a request and its end");
DEFINE_int32(drain_timeout_s, 600,
             "maximum time of a graceful shutdown; requests that still run "
             "then are aborted");
DEFINE_double(
    capacity, 1.0,
    "processor cores that this instance may use; the instances with the "
    "highest values perform the duties for the others");
DEFINE_uint64(seed, 0, "seed of the random numbers; drawn at random if 0");

namespace bronzeward {

constexpr std::size_t BytesPerMebibyte = std::size_t{1024} * 1024;

/// Time between two checks whether the last answers are written.
constexpr Duration AnswerCheckPeriod = 10ms;
/// Part of the drain timeout that is left for the end of the process.
constexpr Duration ExitTime = 200ms;
/// Time between two log lines about memory and descriptors.
constexpr Duration FiguresPeriod = 30s;
/// Time for which an address that is in use is tried again.
constexpr Duration AddressPatience = 5s;
constexpr Duration AddressRetryPeriod = 50ms;
/// Time between two attempts to bind the address for metrics.
constexpr Duration MetricsRetryPeriod = 1s;

static Result<void> checkNumbers() {
  if (!(FLAGS_capacity > 0.0 && FLAGS_capacity <= 1024.0))
    return fail(ErrorKind::InvalidArgument, "read settings", "--capacity",
                "is not above 0 and at most 1024");
  BOOST_OUTCOME_TRY(
      requireRange("store_timeout_ms", FLAGS_store_timeout_ms, 10, 60'000));
  BOOST_OUTCOME_TRY(
      requireRange("store_breaker_ms", FLAGS_store_breaker_ms, 200, 60'000));
  BOOST_OUTCOME_TRY(
      requireRange("max_connections", FLAGS_max_connections, 1, 1'000'000));
  BOOST_OUTCOME_TRY(requireRange("max_header_bytes", FLAGS_max_header_bytes,
                                 1024, 1'048'576));
  BOOST_OUTCOME_TRY(
      requireRange("max_body_bytes", FLAGS_max_body_bytes, 1024, 67'108'864));
  BOOST_OUTCOME_TRY(requireRange("memory_mb", FLAGS_memory_mb, 32, 1'048'576));
  BOOST_OUTCOME_TRY(
      requireRange("read_timeout_ms", FLAGS_read_timeout_ms, 100, 600'000));
  return requireRange("drain_timeout_s", FLAGS_drain_timeout_s, 1, 86'400);
}

static Result<void> readAddresses(InstanceSettings &Out) {
  BOOST_OUTCOME_TRY(Out.Callers, parseAddress("listen", FLAGS_listen));
  BOOST_OUTCOME_TRY(Out.Operators,
                    parseAddress("operator_listen", FLAGS_operator_listen));
  BOOST_OUTCOME_TRY(Out.Peers, parseAddress("peer_listen", FLAGS_peer_listen));
  BOOST_OUTCOME_TRY(Out.Store, parseAddress("store", FLAGS_store));
  if (!FLAGS_metrics_listen.empty()) {
    BOOST_OUTCOME_TRY(Out.Metrics,
                      parseAddress("metrics_listen", FLAGS_metrics_listen));
  }
  Out.Identity.PeerAddress = FLAGS_peer_listen;
  if (!FLAGS_peer_advertise.empty()) {
    BOOST_OUTCOME_TRY(SocketAddress Advertised,
                      parseAddress("peer_advertise", FLAGS_peer_advertise));
    static_cast<void>(Advertised);
    Out.Identity.PeerAddress = FLAGS_peer_advertise;
  }
  return boost::outcome_v2::success();
}

Result<InstanceSettings> readInstanceSettings() {
  BOOST_OUTCOME_TRY(applyEnvironment("InstanceProcess.cpp"));
  BOOST_OUTCOME_TRY(requireName("instance", FLAGS_instance));
  BOOST_OUTCOME_TRY(requireName("failure_domain", FLAGS_failure_domain));
  BOOST_OUTCOME_TRY(checkNumbers());
  InstanceSettings Out;
  BOOST_OUTCOME_TRY(readAddresses(Out));
  Out.Identity.Instance.Value = FLAGS_instance;
  Out.Identity.Domain.Value = FLAGS_failure_domain;
  Out.Identity.Capacity = FLAGS_capacity;
  Out.Identity.Seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device()();
  Out.Identity.Store.CallTimeout =
      std::chrono::milliseconds(FLAGS_store_timeout_ms);
  Out.Identity.Store.MaxOpen =
      std::chrono::milliseconds(FLAGS_store_breaker_ms);
  Out.Limits.MaxConnections = static_cast<std::size_t>(FLAGS_max_connections);
  Out.Limits.MaxHeaderBytes = static_cast<std::size_t>(FLAGS_max_header_bytes);
  Out.Limits.MaxBodyBytes = static_cast<std::size_t>(FLAGS_max_body_bytes);
  Out.Limits.MaxHeldBytes =
      static_cast<std::size_t>(FLAGS_memory_mb) * BytesPerMebibyte / 5 * 2;
  Out.Limits.ReadTimeout = std::chrono::milliseconds(FLAGS_read_timeout_ms);
  Out.DrainTimeout = std::chrono::seconds(FLAGS_drain_timeout_s);
  return Out;
}

boost::asio::io_context *InstanceProcess::sharedLoop() {
  return Settings.SharedLoop ? &Main : nullptr;
}

InstanceProcess::InstanceProcess(InstanceSettings Checked,
                                 const StoreCodec &Codec,
                                 const CoreMaker &MakeCore,
                                 std::function<void(StructuredLog &)> OnReload)
    : Settings(std::move(Checked)), Reload(std::move(OnReload)), Main(1),
      Log(Settings.Identity.Instance.Value),
      Store(
          sharedLoop(),
          {Settings.Store.Host, Settings.Store.Port,
           Settings.Identity.Store.CallTimeout},
          Codec,
          [this](StoreCallId Id, StoreReply Reply) {
            if (const std::optional<std::string> Line =
                    Unreadable.report(Reply.Problem, Time.now()))
              Log.onEvent("store-reply-unreadable", *Line);
            Core.post(StoreReplied{Id, std::move(Reply)});
          },
          [this](StoreCallId Id, StoreProgress Arrived) {
            Core.post(StoreProgressed{Id, Arrived});
          }),
      Peers(
          Settings.Identity.Instance,
          [this](InstanceId From, PeerMessage Message) {
            Core.post(PeerReceived{std::move(From), std::move(Message)});
          },
          [this](InstanceId Peer) { Core.post(PeerLost{std::move(Peer)}); }),
      Callers(
          Settings.Limits,
          [this](CallerEvent Event) {
            return postCallerEvent(std::move(Event));
          },
          sharedLoop()),
      Upstreams(sharedLoop(),
                [this](UpstreamEvent Event) { Core.post(std::move(Event)); }),
      Core(sharedLoop(),
           MakeCore(
               RouterDependencies{Store, Peers, Callers, Upstreams, Log, Time}),
           Time, coreCallbacks()),
      Operators(Core, sharedLoop()), Metrics(Core, sharedLoop()),
      Signals(Main, SIGTERM, SIGINT, SIGHUP), DrainTimer(Main),
      AnswerTimer(Main), FiguresTimer(Main), MetricsTimer(Main) {
  Callers.setMemoryNotice([this](const std::string &Detail) {
    if (const std::optional<std::string> Line =
            MemoryShort.report(Detail, Time.now()))
      Log.onEvent("memory-short", *Line);
  });
  Upstreams.setBrokenAnswerNotice([this](const std::string &Detail) {
    if (const std::optional<std::string> Line =
            BrokenAnswers.report(Detail, Time.now()))
      Log.onEvent("upstream-answer-broken", *Line);
  });
}

bool InstanceProcess::postCallerEvent(CallerEvent Event) {
  if (std::holds_alternative<CallerRequest>(Event))
    return Core.tryPost(std::move(Event));
  Core.postDeparture(std::get<CallerGone>(Event));
  return true;
}

/// \returns the kernel's identifier of the current boot, or an empty string if
/// it is not available.
static std::string bootId() {
  std::ifstream In("/proc/sys/kernel/random/boot_id");
  std::string Id;
  In >> Id;
  return Id;
}

static std::int64_t secondsSinceBoot(TimePoint Now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Now.time_since_epoch())
      .count();
}

int InstanceProcess::run() {
  const Result<void> Bound = listen();
  if (stopSignalHeld()) {
    Log.onEvent("stopped", "signal received during the start");
    stopParts();
    return 0;
  }
  if (!Bound) {
    std::cerr << "bronzeward: " << describe(Bound.error()) << "\n";
    return SettingsExitCode;
  }
  if (Settings.Metrics.Port != 0)
    listenForMetrics();
  Store.start();
  Upstreams.start();
  Core.start();
  awaitSignal();
  releaseSignals();
  Log.onEvent("started", "callers at " + FLAGS_listen + ", machine up for " +
                             std::to_string(secondsSinceBoot(Time.now())) +
                             " s, boot " + bootId());
  logFigures();
  runLoop(Main);
  // The end of the handlers would restore the default action.
  holdSignals();
  Log.onEvent("stopped", DrainTimedOut ? "drain timed out" : "drained");
  stopParts();
  return 0;
}

void InstanceProcess::stopParts() {
  // Threads that post to the core stop before it does.
  Callers.stop();
  Operators.stop();
  Metrics.stop();
  Upstreams.stop();
  Store.stop();
  Peers.stop();
  Core.stop();
}

CoreThread::Callbacks InstanceProcess::coreCallbacks() {
  CoreThread::Callbacks Handlers;
  Handlers.OnUpstreams = [this](std::vector<UpstreamSpec> Polled) {
    Upstreams.setPolledUpstreams(std::move(Polled));
  };
  Handlers.OnMembers = [this](const std::vector<Member> &Members) {
    Peers.setMembers(Members);
  };
  Handlers.OnDrained = [this] {
    boost::asio::post(Main, [this] { stopAfterAnswers(); });
  };
  Handlers.OnClosing = [this] { Callers.drain(); };
  Handlers.OnCallerBounds = [this](const CallerBounds &Bounds) {
    CallerLimits Limits = Settings.Limits;
    Limits.MaxHeaderBytes = Bounds.MaxHeaderBytes;
    Limits.MaxBodyBytes = Bounds.MaxBodyBytes;
    Limits.ReadTimeout = Bounds.HeaderTimeout;
    Limits.IdleTimeout = Bounds.IdleTimeout;
    Callers.setLimits(Limits);
  };
  Handlers.Connections = [this] {
    ConnectionCounters Counters;
    Counters.Rings = {{"callers", Callers.refused()},
                      {"upstreams", Upstreams.refused()},
                      {"store", Store.refused()},
                      {"peers", Peers.refused()},
                      {"log", Log.dropped()}};
    Counters.CallerMemory = Callers.heldBytes();
    Counters.MemoryRefusals = Callers.memoryRefusals();
    Counters.LeftBeforeRead = Callers.leftBeforeRead();
    Counters.LeftBeforeSend = Upstreams.leftBeforeSend();
    Counters.CancelledUnacknowledged = Upstreams.cancelledUnacknowledged();
    return Counters;
  };
  return Handlers;
}

static Error listenError(const std::string &For, const Error &Failure) {
  return {Failure.Kind, "listen for " + For, Failure.Peer, Failure.Detail};
}

/// Repeats an attempt to bind an address while a predecessor may still hold it.
static Result<void> bindInTime(const std::string &For,
                               const std::function<Result<void>()> &Bind) {
  const TimePoint Until = SystemClock().now() + AddressPatience;
  Result<void> Bound = Bind();
  while (!Bound && !stopSignalHeld() && SystemClock().now() < Until) {
    std::this_thread::sleep_for(AddressRetryPeriod);
    Bound = Bind();
  }
  if (!Bound)
    return listenError(For, Bound.error());
  return Bound;
}

static Result<void> bindServer(auto &Server, const SocketAddress &At) {
  BOOST_OUTCOME_TRY(Server.listen(At.Host, At.Port));
  return boost::outcome_v2::success();
}

Result<void> InstanceProcess::listen() {
  BOOST_OUTCOME_TRY(bindInTime(
      "peers", [this] { return bindServer(Peers, Settings.Peers); }));
  BOOST_OUTCOME_TRY(bindInTime("operators", [this] {
    return bindServer(Operators, Settings.Operators);
  }));
  return bindInTime("callers",
                    [this] { return bindServer(Callers, Settings.Callers); });
}

void InstanceProcess::listenForMetrics() {
  const Result<std::uint16_t> Bound =
      Metrics.listen(Settings.Metrics.Host, Settings.Metrics.Port);
  if (Bound)
    return;
  if (!MetricsMissed)
    Log.onEvent("metrics-not-served",
                describe(listenError("metrics", Bound.error())));
  MetricsMissed = true;
  MetricsTimer.expires_after(MetricsRetryPeriod);
  MetricsTimer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      listenForMetrics();
  });
}

void InstanceProcess::awaitSignal() {
  Signals.async_wait([this](boost::system::error_code Failure, int Number) {
    if (Failure)
      return;
    onSignal(Number);
    awaitSignal();
  });
}

void InstanceProcess::onSignal(int Number) {
  Log.onEvent("signal", std::to_string(Number));
  if (Number == SIGHUP)
    Reload(Log);
  else
    drain();
}

void InstanceProcess::logFigures() {
  const std::optional<ProcessFigures> Figures = readProcessFigures();
  Log.onEvent("process", Figures ? describe(*Figures) : "not stated");
  FiguresTimer.expires_after(FiguresPeriod);
  FiguresTimer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      logFigures();
  });
}

void InstanceProcess::stopAfterAnswers() {
  if (Callers.answering() == 0) {
    Main.stop();
    return;
  }
  AnswerTimer.expires_after(AnswerCheckPeriod);
  AnswerTimer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      stopAfterAnswers();
  });
}

void InstanceProcess::drain() {
  if (Draining)
    return;
  Draining = true;
  Log.onEvent("draining", "signal received");
  Core.post(DrainRequested{});
  DrainTimer.expires_after(Settings.DrainTimeout - ExitTime);
  DrainTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    DrainTimedOut = true;
    Main.stop();
  });
}

} // namespace bronzeward
