#pragma once

#include "bronzeward/src/Net/LoopGuard.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>

namespace bronzeward {

/// \ingroup Net
/// \brief Event loop of one component: either in a separate thread, or a loop
/// that several components share. docs/DESIGN.md compares the two.
class EventLoopThread {
public:
  /// \param Shared loop that its owner runs; null to start a thread.
  explicit EventLoopThread(boost::asio::io_context *Shared = nullptr)
      : OwnLoop(Shared == nullptr ? std::make_unique<boost::asio::io_context>(1)
                                  : nullptr),
        Io(Shared == nullptr ? *OwnLoop : *Shared), Guard(Io.get_executor()) {}
  ~EventLoopThread() { stop(); }
  EventLoopThread(const EventLoopThread &) = delete;
  EventLoopThread &operator=(const EventLoopThread &) = delete;

  void start() {
    if (OwnLoop)
      Worker = std::thread([this] { runLoop(Io); });
  }
  /// \brief Stops the thread and drops its pending work. A shared loop is left
  /// for its owner to stop.
  void stop() {
    Guard.reset();
    if (!OwnLoop)
      return;
    Io.stop();
    if (Worker.joinable())
      Worker.join();
  }
  boost::asio::io_context &context() { return Io; }

private:
  std::unique_ptr<boost::asio::io_context> OwnLoop;
  boost::asio::io_context &Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Worker;
};

} // namespace bronzeward
