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

/// Bytes of prompt that one block of a prefix covers.
constexpr std::size_t PrefixBlockBytes = 256;

/// \brief Hashes of a prompt's prefixes, block by block; each covers all
/// blocks before it.
using PrefixBlocks = std::vector<std::uint64_t>;

/// \param Prompt text whose prefixes may be cached.
/// \param MaxBlocks longest prefix considered.
[[nodiscard]] PrefixBlocks prefixBlocks(std::string_view Prompt,
                                        std::size_t MaxBlocks = 64);

/// \brief Blocks that one upstream probably has cached, least recently used
/// dropped first. Memory is bounded by the capacity.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t MaxBlocks) : Capacity(MaxBlocks) {}

  /// \brief Notes that the upstream has computed these blocks.
  void insert(const PrefixBlocks &Blocks);
  /// \brief Notes that the upstream dropped a block.
  void erase(std::uint64_t Block);
  void clear();

  /// \returns how many leading blocks are cached.
  [[nodiscard]] std::size_t matching(const PrefixBlocks &Blocks) const;
  [[nodiscard]] std::size_t size() const { return Places.size(); }

private:
  std::size_t Capacity;
  /// Most recently used first.
  std::list<std::uint64_t> Recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Places;
};

/// @}

} // namespace bronzeward
