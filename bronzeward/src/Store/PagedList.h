#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <optional>
#include <set>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief Joins the pages of a list into one reply.
class PagedList {
public:
  /// \brief Adds the next page. The list is truncated at a page that names no
  /// new key to continue from, since the page after it would be the same, and
  /// at a maximum number of entries.
  /// \param Page a successful reply to \ref ListKeys.
  /// \returns the key after which the next page begins; nothing where the list
  /// has ended.
  std::optional<std::string> add(StoreReply Page);
  /// \returns all entries, with the revision of the first page, since a watch
  /// from there also reports changes that were made between two pages.
  [[nodiscard]] StoreReply take() { return std::move(Joined); }

private:
  void truncate(const std::string &Reason);

  StoreReply Joined;
  bool Begun = false;
  /// Keys from which the list was continued.
  std::set<std::string> Continued;
};

} // namespace bronzeward
