#pragma once

#include "bronzeward/src/Config/Configuration.h"
#include "bronzeward/src/Config/Diagnostic.h"

#include <boost/outcome.hpp>

#include <string_view>

namespace bronzeward {

/// \ingroup Config
/// \brief Parses and validates the operators' configuration.
/// \param Text TOML as described in docs/CONFIGURATION.md.
/// \returns the configuration, or all faults sorted by position.
[[nodiscard]] boost::outcome_v2::basic_result<
    Configuration, Diagnostics, boost::outcome_v2::policy::all_narrow>
parseConfiguration(std::string_view Text);

} // namespace bronzeward
