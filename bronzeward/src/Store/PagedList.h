#pragma once

#include "bronzeward/src/Store/StorePort.h"

#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Store
/// \brief Joins the pages of a list into one reply.
class PagedList {
public:
  /// \brief Adds the next page.
  /// \param Page a successful reply to \ref ListKeys.
  /// \returns the key after which the next page begins; nothing where the list
  /// has ended.
  std::optional<std::string> add(StoreReply Page);
  /// \returns all entries, with the revision of the first page, since a watch
  /// from there also reports changes that were made between two pages.
  [[nodiscard]] StoreReply take() { return std::move(Joined); }

private:
  StoreReply Joined;
  bool Begun = false;
};

} // namespace bronzeward
