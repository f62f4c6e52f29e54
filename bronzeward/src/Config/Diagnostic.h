#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeward {

/// \ingroup Config
/// \brief One fault in the operators' configuration.
struct Diagnostic {
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  /// Dotted path of the key, such as "service.draft.price.input_token".
  std::string Path;
  /// The value found, or a description of it.
  std::string Found;
  /// Description of the allowed values.
  std::string Allowed;
};

/// \ingroup Config
using Diagnostics = std::vector<Diagnostic>;

/// \returns "line:column: path: found ..., allowed ...".
[[nodiscard]] std::string describe(const Diagnostic &Fault);

} // namespace bronzeward
