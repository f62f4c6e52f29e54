#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Net/LoopGuard.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace bronzeward {

/// Number of items that a mailbox hands over before other work of its loop gets
/// its turn. A loop that handles a long queue at once notices nothing
/// meanwhile.
inline constexpr std::size_t MailboxBatch = 16;

/// \ingroup Net
/// \brief Bounded queue of items for the thread that runs an `io_context`.
template <class Item> class Mailbox {
public:
  using Handler = std::function<void(Item &)>;

  /// \param Capacity maximum number of waiting items.
  /// \param Receiver called once for each item, in the context's thread.
  Mailbox(boost::asio::io_context &Context, std::size_t Capacity,
          Handler Receiver)
      : Io(Context), Ring(Capacity), Receive(std::move(Receiver)) {}

  /// \returns false if the ring is full; the item is then dropped and counted.
  bool push(Item Value) {
    if (!Ring.push(Value))
      return false;
    wake();
    return true;
  }

  /// \brief Adds an item and waits while the ring is full. A thread that the
  /// receiver waits for must not call it. In the receiver's own thread, which
  /// cannot wait for itself, the receiver processes the waiting items first.
  void pushOrWait(Item Value) {
    while (!Ring.push(Value)) {
      if (Io.get_executor().running_in_this_thread())
        drain();
      else
        std::this_thread::yield();
    }
    wake();
  }

  /// \returns the number of items dropped because the ring was full.
  [[nodiscard]] std::uint64_t refused() const { return Ring.refused(); }

private:
  void wake() {
    if (!Scheduled.exchange(true))
      boost::asio::post(Io, [this] { drain(); });
  }

  void drain() {
    Scheduled = false;
    std::vector<Item> Batch;
    const bool More = Ring.drain(Batch, MailboxBatch);
    for (Item &Value : Batch)
      runGuarded([&] { Receive(Value); });
    if (More)
      wake();
  }

  boost::asio::io_context &Io;
  BoundedRing<Item> Ring;
  Handler Receive;
  std::atomic<bool> Scheduled = false;
};

} // namespace bronzeward
