#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <limits>
#include <mutex>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Base
/// \brief Bounded queue from any number of threads to one.
///
/// A full ring refuses the new item and counts it; the producer decides what
/// that means (a refusal to the caller, a failed call, a dropped report). Takes
/// memory for the waiting items only, not for its capacity.
template <class Item> class BoundedRing {
public:
  /// \param Capacity greatest number of waiting items.
  explicit BoundedRing(std::size_t Capacity) : MaxItems(Capacity) {}

  /// \param Value moved from where there is room, else left as it was.
  /// \returns whether there was room.
  [[nodiscard]] bool push(Item &Value) {
    std::lock_guard<std::mutex> Guard(Lock);
    if (Items.size() >= MaxItems) {
      ++Refused;
      return false;
    }
    Items.push_back(std::move(Value));
    return true;
  }

  /// \brief Moves waiting items, the oldest first, to the end of Batch.
  /// \param Limit greatest number of items to move.
  /// \returns whether items are left.
  bool drain(std::vector<Item> &Batch,
             std::size_t Limit = std::numeric_limits<std::size_t>::max()) {
    std::lock_guard<std::mutex> Guard(Lock);
    const std::size_t Count = std::min(Limit, Items.size());
    const auto End = Items.begin() + static_cast<std::ptrdiff_t>(Count);
    Batch.insert(Batch.end(), std::make_move_iterator(Items.begin()),
                 std::make_move_iterator(End));
    Items.erase(Items.begin(), End);
    return !Items.empty();
  }

  /// \returns how many items were refused since the start.
  [[nodiscard]] std::uint64_t refused() const {
    std::lock_guard<std::mutex> Guard(Lock);
    return Refused;
  }

private:
  mutable std::mutex Lock;
  std::size_t MaxItems;
  std::deque<Item> Items;
  std::uint64_t Refused = 0;
};

} // namespace bronzeward
