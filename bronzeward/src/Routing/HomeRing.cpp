#include "bronzeward/src/Routing/HomeRing.h"

#include <algorithm>

namespace bronzeward {

/// Virtual nodes of each upstream; more spread the prefixes more evenly.
constexpr std::uint64_t PointsPerUpstream = 32;

void HomeRing::build(const std::vector<UpstreamName> &Names) {
  Points.clear();
  Points.reserve(Names.size() * PointsPerUpstream);
  UpstreamCount = Names.size();
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    for (std::uint64_t Point = 0; Point < PointsPerUpstream; ++Point)
      Points.emplace_back(hash64(Names[Index].Value, Point + 1),
                          static_cast<std::uint32_t>(Index));
  std::sort(Points.begin(), Points.end());
}

std::vector<std::size_t> HomeRing::homes(std::uint64_t PrefixHash,
                                         std::size_t MaxCount) const {
  std::vector<std::size_t> Preferred;
  const std::size_t Count = std::min(MaxCount, UpstreamCount);
  auto Point = std::lower_bound(
      Points.begin(), Points.end(),
      std::make_pair(PrefixHash, static_cast<std::uint32_t>(0)));
  while (Preferred.size() < Count) {
    if (Point == Points.end())
      Point = Points.begin();
    const std::size_t Index = Point->second;
    if (std::find(Preferred.begin(), Preferred.end(), Index) == Preferred.end())
      Preferred.push_back(Index);
    ++Point;
  }
  return Preferred;
}

} // namespace bronzeward
