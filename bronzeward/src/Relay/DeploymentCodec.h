#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Relay/UpstreamDirectory.h"
#include "bronzeward/src/Store/StorePort.h"

#include <string>

namespace bronzeward {

/// \ingroup Relay
/// \brief Reads what operators and upstreams write into the platform's store.
class DeploymentCodec {
public:
  virtual ~DeploymentCodec() = default;
  /// \returns the key of the configuration in force.
  [[nodiscard]] virtual std::string configurationKey() const = 0;
  /// \returns the prefix of the upstreams' registry entries.
  [[nodiscard]] virtual std::string upstreamPrefix() const = 0;
  [[nodiscard]] virtual Result<FleetConfiguration>
  parseConfiguration(const std::string &Text) const = 0;
  /// \returns the upstream, or an error where the entry is another writer's.
  [[nodiscard]] virtual Result<UpstreamEntry>
  parseUpstream(const StoreEntry &Entry) const = 0;
  /// \returns the name of the upstream whose entry has that key.
  [[nodiscard]] virtual UpstreamName
  upstreamOf(const std::string &Key) const = 0;
};

} // namespace bronzeward
