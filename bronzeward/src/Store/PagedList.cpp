#include "bronzeward/src/Store/PagedList.h"

#include <iterator>

namespace bronzeward {

/// Number of entries at which no further page of a list is read; a longer list
/// is a fault of the store.
constexpr std::size_t MaxListEntries = 100'000;

std::optional<std::string> PagedList::add(StoreReply Page) {
  if (!std::exchange(Begun, true)) {
    Joined.Status = StoreStatus::Ok;
    Joined.Revision = Page.Revision;
  }
  if (!Page.Problem.empty())
    Joined.Problem = std::move(Page.Problem);
  Joined.Entries.insert(Joined.Entries.end(),
                        std::make_move_iterator(Page.Entries.begin()),
                        std::make_move_iterator(Page.Entries.end()));
  if (!Page.More || Page.LastKey.empty() ||
      Joined.Entries.size() >= MaxListEntries)
    return std::nullopt;
  return std::move(Page.LastKey);
}

} // namespace bronzeward
