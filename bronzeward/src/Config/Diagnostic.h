#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Config
/// \brief One fault in the operators' text.
struct Diagnostic {
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  /// Where in the text, such as "service.draft.price.input".
  std::string Path;
  /// What stands there.
  std::string Found;
  /// What may stand there.
  std::string Allowed;
};

/// \ingroup Config
using Diagnostics = std::vector<Diagnostic>;

/// \returns "line:column: path: found ..., allowed ...".
[[nodiscard]] std::string describe(const Diagnostic &Fault);

} // namespace bronzeward
