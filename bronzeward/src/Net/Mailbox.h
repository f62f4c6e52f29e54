#pragma once

#include "bronzeward/Base"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Net
/// \brief Bounded ring into a thread that runs an `io_context`.
template <class Item> class Mailbox {
public:
  using Handler = std::function<void(Item &)>;

  /// \param Capacity greatest number of waiting items.
  /// \param Receiver runs in the context's thread, once an item.
  Mailbox(boost::asio::io_context &Context, std::size_t Capacity,
          Handler Receiver)
      : Io(Context), Ring(Capacity), Take(std::move(Receiver)) {}

  /// \returns false where the ring is full; the item is dropped and counted.
  bool push(Item Value) {
    if (!Ring.push(Value))
      return false;
    wake();
    return true;
  }

  /// \brief Waits for room; only for threads that the receiver never waits on.
  /// Where both share a loop, the receiver takes what waits at once.
  void pushOrWait(Item Value) {
    while (!Ring.push(Value)) {
      if (Io.get_executor().running_in_this_thread())
        drain();
      else
        std::this_thread::yield();
    }
    wake();
  }

  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  void wake() {
    if (!Scheduled.exchange(true))
      boost::asio::post(Io, [this] { drain(); });
  }

  void drain() {
    Scheduled = false;
    std::vector<Item> Batch;
    Ring.drain(Batch);
    for (Item &Value : Batch)
      Take(Value);
  }

  boost::asio::io_context &Io;
  BoundedRing<Item> Ring;
  Handler Take;
  std::atomic<bool> Scheduled = false;
};

} // namespace bronzeward
