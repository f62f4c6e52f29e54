#pragma once

#include "bronzeward/Net"
#include "daemons/Settings.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace bronzeward {

/// \brief Checked settings that every instance has.
struct InstanceSettings {
  RouterIdentity Identity;
  SocketAddress Callers;
  SocketAddress Operators;
  SocketAddress Peers;
  SocketAddress Store;
  /// Where metrics are served beside the operators' address; none where the
  /// port is zero.
  SocketAddress Metrics;
  CallerLimits Limits;
  std::chrono::seconds DrainTimeout{0};
  /// Whether the duties share one loop, or run in a thread each.
  bool SharedLoop = false;
};

/// \returns the settings of the common flags, checked.
[[nodiscard]] Result<InstanceSettings> readInstanceSettings();

/// \brief The sockets, signals and duties of one instance, joined.
class InstanceProcess {
public:
  using CoreMaker =
      std::function<std::unique_ptr<InstanceCore>(RouterSurroundings)>;

  /// \param Form published form that the store speaks.
  /// \param Make makes the part that decides.
  /// \param OnReload called when the settings are to be read again.
  InstanceProcess(InstanceSettings Read, const StoreCodec &Form,
                  const CoreMaker &Make,
                  std::function<void(StructuredLog &)> OnReload);

  /// \returns the exit code.
  int run();

private:
  CoreThread::Callbacks notices();
  bool listen();
  void awaitSignal();
  void onSignal(int Number);
  void drain();
  void awaitAnswers();
  [[nodiscard]] boost::asio::io_context *shared();
  /// Takes a caller's event; returns false where the core cannot.
  bool tellCore(CallerEvent Event);

  InstanceSettings Settings;
  std::function<void(StructuredLog &)> Reload;
  boost::asio::io_context Main;
  SystemClock Time;
  StructuredLog Log;
  /// Used in the store's thread.
  UnreadableReplies Unreadable;
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
  bool Cut = false;
};

} // namespace bronzeward
