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
  if (!Page.More)
    return std::nullopt;
  if (Joined.Entries.size() >= MaxListEntries) {
    truncate("more than " + std::to_string(MaxListEntries) + " entries");
    return std::nullopt;
  }
  if (Page.LastKey.empty() || !Continued.insert(Page.LastKey).second) {
    truncate("a page names no new key to continue from");
    return std::nullopt;
  }
  return std::move(Page.LastKey);
}

void PagedList::truncate(const std::string &Reason) {
  Joined.Truncated = true;
  Joined.Problem = "list truncated: " + Reason;
}

} // namespace bronzeward
