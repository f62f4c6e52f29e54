#include "bronzeward/src/Routing/HomeRing.h"

#include <algorithm>

namespace bronzeward {

/// Points of each upstream; more spread prefixes more evenly.
constexpr std::uint64_t PointsPerUpstream = 32;

void HomeRing::build(const std::vector<UpstreamName> &Names) {
  Points.clear();
  Points.reserve(Names.size() * PointsPerUpstream);
  Upstreams = Names.size();
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    for (std::uint64_t Point = 0; Point < PointsPerUpstream; ++Point)
      Points.emplace_back(hash64(Names[Index].Value, Point + 1),
                          static_cast<std::uint32_t>(Index));
  std::sort(Points.begin(), Points.end());
}

std::vector<std::size_t> HomeRing::homes(std::uint64_t PrefixHash,
                                         std::size_t Most) const {
  std::vector<std::size_t> Found;
  const std::size_t Wanted = std::min(Most, Upstreams);
  auto Point = std::lower_bound(
      Points.begin(), Points.end(),
      std::make_pair(PrefixHash, static_cast<std::uint32_t>(0)));
  while (Found.size() < Wanted) {
    if (Point == Points.end())
      Point = Points.begin();
    const std::size_t Index = Point->second;
    if (std::find(Found.begin(), Found.end(), Index) == Found.end())
      Found.push_back(Index);
    ++Point;
  }
  return Found;
}

} // namespace bronzeward
