#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Consistent hashing of prefixes to upstreams, so that instances agree
/// without a word where a prefix is probably cached. A lookup costs the
/// logarithm of the number of upstreams.
class HomeRing {
public:
  /// \brief Places every upstream of a service on the ring.
  void build(const std::vector<UpstreamName> &Names);

  /// \returns indexes into the names, the first home first, each once.
  /// \param Most greatest number of homes.
  [[nodiscard]] std::vector<std::size_t> homes(std::uint64_t PrefixHash,
                                               std::size_t Most) const;

private:
  /// Points on the ring, sorted, each with its upstream's index.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> Points;
  std::size_t Upstreams = 0;
};

} // namespace bronzeward
