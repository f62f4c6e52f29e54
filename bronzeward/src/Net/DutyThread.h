#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>

namespace bronzeward {

/// \ingroup Net
/// \brief The loop of one duty: a thread of its own, or a loop that several
/// duties share behind the same rings. docs/DESIGN.md weighs the two.
class DutyThread {
public:
  /// \param Shared loop that its owner runs; null for a thread of its own.
  explicit DutyThread(boost::asio::io_context *Shared = nullptr)
      : Own(Shared == nullptr ? std::make_unique<boost::asio::io_context>(1)
                              : nullptr),
        Io(Shared == nullptr ? *Own : *Shared), Guard(Io.get_executor()) {}
  ~DutyThread() { stop(); }
  DutyThread(const DutyThread &) = delete;
  DutyThread &operator=(const DutyThread &) = delete;

  void start() {
    if (Own)
      Worker = std::thread([this] { Io.run(); });
  }
  /// \brief Ends the thread; what it had not done is dropped. A shared loop is
  /// its owner's to end.
  void stop() {
    Guard.reset();
    if (!Own)
      return;
    Io.stop();
    if (Worker.joinable())
      Worker.join();
  }
  boost::asio::io_context &context() { return Io; }

private:
  std::unique_ptr<boost::asio::io_context> Own;
  boost::asio::io_context &Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Worker;
};

} // namespace bronzeward
