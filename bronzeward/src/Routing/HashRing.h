#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Consistent hashing of prefixes to upstreams, so that instances agree
/// without communication where a prefix is probably cached. A lookup costs the
/// logarithm of the number of upstreams.
class HashRing {
public:
  /// \brief Rebuilds the ring from the upstreams of one service.
  void build(const std::vector<UpstreamName> &Names);

  /// \param MaxCount maximum number of upstreams.
  /// \returns the preferred upstreams of a prefix as distinct indexes into the
  /// names given to \ref build, in order of preference.
  [[nodiscard]] std::vector<std::size_t> preferred(std::uint64_t PrefixHash,
                                                   std::size_t MaxCount) const;

private:
  /// Points on the ring, sorted, each with its upstream's index.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> Points;
  std::size_t UpstreamCount = 0;
};

} // namespace bronzeward
