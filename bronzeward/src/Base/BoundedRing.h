#pragma once

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Base
/// \brief Bounded queue from any number of threads to one.
///
/// A full ring refuses the new item and counts it; the producer decides what
/// that means (a refusal to the caller, a failed call, a dropped report).
template <class Item> class BoundedRing {
public:
  /// \param Capacity greatest number of waiting items.
  explicit BoundedRing(std::size_t Capacity) : Items(Capacity) {}

  /// \param Value moved from where there is room, else left as it was.
  /// \returns whether there was room.
  [[nodiscard]] bool push(Item &Value) {
    std::lock_guard<std::mutex> Guard(Lock);
    if (Items.full()) {
      ++Refused;
      return false;
    }
    Items.push_back(std::move(Value));
    return true;
  }

  /// \brief Moves every waiting item to the end of Batch.
  void drain(std::vector<Item> &Batch) {
    std::lock_guard<std::mutex> Guard(Lock);
    for (Item &Value : Items)
      Batch.push_back(std::move(Value));
    Items.clear();
  }

  /// \returns how many items were refused since the start.
  [[nodiscard]] std::uint64_t refused() const {
    std::lock_guard<std::mutex> Guard(Lock);
    return Refused;
  }

private:
  mutable std::mutex Lock;
  boost::circular_buffer<Item> Items;
  std::uint64_t Refused = 0;
};

} // namespace bronzeward
