#pragma once

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace bronzeward {

/// \brief Settings that all kinds of instances have, after validation.
struct InstanceSettings {
  RouterIdentity Identity;
  SocketAddress Callers;
  SocketAddress Operators;
  SocketAddress Peers;
  SocketAddress Store;
  /// Additional address that serves metrics only; none if the port is zero.
  SocketAddress Metrics;
  CallerLimits Limits;
  std::chrono::seconds DrainTimeout{0};
  /// Whether the components share one event loop instead of having a thread
  /// each. Peers and the log always have a thread each.
  bool SharedLoop = false;
};

/// \returns the validated settings from the flags that all kinds of instances
/// have, or an error that names the invalid flag.
[[nodiscard]] Result<InstanceSettings> readInstanceSettings();

/// \brief One instance as a process: connects its decision logic to sockets,
/// threads and signals.
class InstanceProcess {
public:
  using CoreMaker =
      std::function<std::unique_ptr<InstanceCore>(RouterDependencies)>;

  /// \param Codec format of the calls to the store.
  /// \param MakeCore creates the decision logic.
  /// \param OnReload called on SIGHUP to read the settings again.
  InstanceProcess(InstanceSettings Checked, const StoreCodec &Codec,
                  const CoreMaker &MakeCore,
                  std::function<void(StructuredLog &)> OnReload);

  /// \brief Serves until the instance has drained after a signal or the drain
  /// timed out. The signals must be held back, see holdSignals(); they are
  /// again when this returns.
  /// \returns the exit code: 0 after a signal that stops it, and
  /// SettingsExitCode if an address could not be bound.
  int run();

private:
  CoreThread::Callbacks coreCallbacks();
  /// \brief Binds the addresses, for a bounded time each while one is in use.
  Result<void> listen();
  /// \brief Binds the address for metrics, later if it is in use now.
  void listenForMetrics();
  void awaitSignal();
  void onSignal(int Number);
  void drain();
  void stopParts();
  void stopAfterAnswers();
  /// Logs memory, threads and descriptors now and periodically.
  void logFigures();
  [[nodiscard]] boost::asio::io_context *sharedLoop();
  /// Passes a caller's event to the core.
  /// \returns false if the core cannot accept a request now.
  bool postCallerEvent(CallerEvent Event);

  InstanceSettings Settings;
  std::function<void(StructuredLog &)> Reload;
  boost::asio::io_context Main;
  SystemClock Time;
  StructuredLog Log;
  /// Used in the store's thread.
  UnreadableReplies Unreadable;
  /// Limits the rate of the lines about callers turned away.
  UnreadableReplies MemoryShort;
  /// Used in the upstreams' thread.
  UnreadableReplies BrokenAnswers;
  HttpStore Store;
  PeerTransport Peers;
  CallerServer Callers;
  UpstreamClient Upstreams;
  CoreThread Core;
  OperatorServer Operators;
  OperatorServer Metrics;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  boost::asio::steady_timer AnswerTimer;
  boost::asio::steady_timer FiguresTimer;
  boost::asio::steady_timer MetricsTimer;
  bool Draining = false;
  bool DrainTimedOut = false;
  bool MetricsMissed = false;
};

} // namespace bronzeward
