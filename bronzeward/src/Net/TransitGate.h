#pragma once

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace bronzeward {

/// \ingroup Net
/// \brief Limits the bytes that were read from connections and wait for another
/// duty of the process. While the limit is reached, the connections are not
/// read, so that their peers wait instead of this process's memory growing.
class TransitGate : public std::enable_shared_from_this<TransitGate> {
public:
  /// \param Reader loop of the connections.
  TransitGate(boost::asio::io_context &Reader, std::size_t LimitBytes)
      : Io(Reader), Limit(LimitBytes) {}

  /// \returns a token that counts bytes until it and its copies are destroyed,
  /// in any thread.
  [[nodiscard]] std::shared_ptr<void> admit(std::size_t Bytes);
  [[nodiscard]] bool open() const { return InTransit < Limit; }
  /// \brief Calls a function in the reader's loop once the gate is open. To be
  /// called in that loop while the gate is closed.
  void whenOpen(std::function<void()> Resume) {
    Waiting.push_back(std::move(Resume));
  }
  /// \brief Drops the functions that wait.
  void clear() { Waiting.clear(); }

private:
  void release(std::size_t Bytes);
  void resume();

  boost::asio::io_context &Io;
  std::size_t Limit;
  std::atomic<std::size_t> InTransit = 0;
  /// Used in the reader's loop.
  std::vector<std::function<void()>> Waiting;
};

} // namespace bronzeward
