#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Relay/UpstreamDirectory.h"
#include "bronzeward/src/Store/StorePort.h"

#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Relay
/// \brief Parses the store entries that operators and upstreams write.
class DeploymentCodec {
public:
  virtual ~DeploymentCodec() = default;
  /// \returns the store key of the active configuration.
  [[nodiscard]] virtual std::string configurationKey() const = 0;
  /// \returns the prefix of all keys that operators write.
  [[nodiscard]] virtual std::string operatorPrefix() const = 0;
  /// \returns the failure domain that a key evacuates while it exists; empty
  /// for other keys.
  [[nodiscard]] virtual std::optional<FailureDomain>
  evacuatedDomain(const std::string &Key) const = 0;
  /// \returns the key prefix of the upstreams' registry entries.
  [[nodiscard]] virtual std::string upstreamPrefix() const = 0;
  [[nodiscard]] virtual Result<FleetConfiguration>
  parseConfiguration(const std::string &Text) const = 0;
  /// \returns the upstream, or an error if the entry is not a registration of
  /// an upstream.
  [[nodiscard]] virtual Result<UpstreamEntry>
  parseUpstream(const StoreEntry &Entry) const = 0;
  /// \returns the name of the upstream that is registered under a key.
  [[nodiscard]] virtual UpstreamName
  upstreamOf(const std::string &Key) const = 0;
};

} // namespace bronzeward
