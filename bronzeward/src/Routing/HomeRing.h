#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Consistent hashing of prefixes to upstreams. All instances prefer the
/// same upstreams for a prefix without communicating, so that it is probably
/// cached there. A lookup takes logarithmic time in the number of upstreams.
class HomeRing {
public:
  /// \brief Rebuilds the ring from the upstreams of one service.
  void build(const std::vector<UpstreamName> &Names);

  /// \param MaxCount maximum number of upstreams.
  /// \returns the preferred upstreams of a prefix as distinct indexes into the
  /// names given to \ref build, in order of preference.
  [[nodiscard]] std::vector<std::size_t> homes(std::uint64_t PrefixHash,
                                               std::size_t MaxCount) const;

private:
  /// Points on the ring with the index of their upstream, sorted.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> Points;
  std::size_t UpstreamCount = 0;
};

} // namespace bronzeward
