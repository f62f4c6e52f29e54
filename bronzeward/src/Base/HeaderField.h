#pragma once

#include <boost/algorithm/string/predicate.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward {

/// \ingroup Base
/// \brief One header of a request or an answer.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// \ingroup Base
/// \brief Status and headers of an answer.
struct HttpHead {
  std::uint16_t Status = 0;
  std::vector<HeaderField> Headers;
};

/// \ingroup Base
/// \returns the value of the first header of that name, whatever its case;
/// null where there is none.
[[nodiscard]] inline const std::string *
findHeader(const std::vector<HeaderField> &Fields, std::string_view Name) {
  for (const HeaderField &Item : Fields)
    if (boost::algorithm::iequals(Item.Name, Name))
      return &Item.Value;
  return nullptr;
}

} // namespace bronzeward
