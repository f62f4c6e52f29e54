#pragma once

#include "bronzeward/src/Routing/PrefixIndex.h"

#include <list>
#include <unordered_map>
#include <vector>

namespace bronzeward {

/// \ingroup Routing
/// \brief Maps each prefix block to the few upstreams that computed it most
/// recently, so that a choice need not search every upstream's index. Memory is
/// bounded, the least recently used block is evicted first. An entry may be
/// stale; the upstream's \ref PrefixIndex is authoritative.
class PrefixDirectory {
public:
  /// \brief Records that an upstream computes these blocks.
  void insert(const PrefixBlocks &Blocks, const UpstreamName &Name);

  /// \returns the number of leading blocks that have an entry.
  [[nodiscard]] std::size_t known(const PrefixBlocks &Blocks) const;

  /// \param MaxCount maximum number of names.
  /// \returns the upstreams that may have the longest prefixes cached, longest
  /// first.
  [[nodiscard]] std::vector<UpstreamName> find(const PrefixBlocks &Blocks,
                                               std::size_t MaxCount) const;

private:
  struct Entry {
    /// Most recent first.
    std::vector<UpstreamName> Holders;
    /// Position in the list of recently used blocks.
    std::list<std::uint64_t>::iterator Position;
  };

  std::unordered_map<std::uint64_t, Entry> Entries;
  /// Most recently used first.
  std::list<std::uint64_t> Recent;
};

} // namespace bronzeward
