#pragma once

#include "bronzeward/src/Routing/PrefixIndex.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief For each prefix block, the few upstreams that computed it last, so
/// that a choice need not ask every upstream. Memory is bounded; an entry may
/// be out of date, which the upstream's own index tells.
class PrefixDirectory {
public:
  /// \brief Notes that an upstream computes these blocks.
  void insert(const PrefixBlocks &Blocks, const UpstreamName &Name);

  /// \returns how many leading blocks are known at any upstream.
  [[nodiscard]] std::size_t known(const PrefixBlocks &Blocks) const;

  /// \returns upstreams that may have the longest prefixes, best first.
  /// \param Most greatest number of names.
  [[nodiscard]] std::vector<UpstreamName> find(const PrefixBlocks &Blocks,
                                               std::size_t Most) const;

private:
  struct Entry {
    std::vector<UpstreamName> Holders;
    std::list<std::uint64_t>::iterator Place;
  };

  std::unordered_map<std::uint64_t, Entry> Entries;
  /// Most recently used first.
  std::list<std::uint64_t> Recent;
};

} // namespace bronzeward
