#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace bronzeward {

/// \ingroup Net
/// \brief A thread with an `io_context` of its own, for one duty.
class DutyThread {
public:
  DutyThread() : Guard(Io.get_executor()) {}
  ~DutyThread() { stop(); }
  DutyThread(const DutyThread &) = delete;
  DutyThread &operator=(const DutyThread &) = delete;

  void start() {
    Worker = std::thread([this] { Io.run(); });
  }
  /// \brief Ends the thread; what it had not done is dropped.
  void stop() {
    Guard.reset();
    Io.stop();
    if (Worker.joinable())
      Worker.join();
  }
  boost::asio::io_context &context() { return Io; }

private:
  boost::asio::io_context Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Worker;
};

} // namespace bronzeward
