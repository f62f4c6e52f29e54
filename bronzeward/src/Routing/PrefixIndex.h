#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzeward {

/// \addtogroup Routing
/// @{

/// Bytes of the prompt in one prefix block.
constexpr std::size_t PrefixBlockBytes = 256;

/// \brief Hashes of a prompt's prefixes, one for each block. Each hash also
/// covers all blocks before it.
using PrefixBlocks = std::vector<std::uint64_t>;

/// \param Prompt text whose prefixes may be cached.
/// \param MaxBlocks maximum number of blocks.
/// \returns the hashes of the whole blocks; a rest shorter than a block has
/// none.
[[nodiscard]] PrefixBlocks prefixBlocks(std::string_view Prompt,
                                        std::size_t MaxBlocks = 64);

/// \brief Estimate of the prefix blocks in one upstream's cache, as an LRU set
/// of bounded size.
class PrefixIndex {
public:
  /// \param MaxBlocks maximum number of blocks kept.
  explicit PrefixIndex(std::size_t MaxBlocks) : Capacity(MaxBlocks) {}

  /// \brief Records that the upstream has computed these blocks.
  void insert(const PrefixBlocks &Blocks);
  /// \brief Records that the upstream evicted a block.
  void erase(std::uint64_t Block);
  void clear();

  /// \returns the number of leading blocks that are probably cached.
  [[nodiscard]] std::size_t matching(const PrefixBlocks &Blocks) const;
  [[nodiscard]] std::size_t size() const { return Positions.size(); }

private:
  std::size_t Capacity;
  /// Most recently used first.
  std::list<std::uint64_t> Recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      Positions;
};

/// @}

} // namespace bronzeward
