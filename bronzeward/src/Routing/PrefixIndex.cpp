#include "bronzeward/src/Routing/PrefixIndex.h"

namespace bronzeward {

PrefixBlocks prefixBlocks(std::string_view Prompt, std::size_t MaxBlocks) {
  PrefixBlocks Blocks;
  std::uint64_t Hash = 0;
  while (Prompt.size() >= PrefixBlockBytes && Blocks.size() < MaxBlocks) {
    Hash = hash64(Prompt.substr(0, PrefixBlockBytes), Hash);
    Blocks.push_back(Hash);
    Prompt.remove_prefix(PrefixBlockBytes);
  }
  return Blocks;
}

void PrefixIndex::insert(const PrefixBlocks &Blocks) {
  // Inserted last to first, so that a prefix is evicted after its extensions.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block) {
    const auto Found = Positions.find(*Block);
    if (Found != Positions.end()) {
      Recent.splice(Recent.begin(), Recent, Found->second);
      continue;
    }
    Recent.push_front(*Block);
    Positions.emplace(*Block, Recent.begin());
    if (Positions.size() <= Capacity)
      continue;
    Positions.erase(Recent.back());
    Recent.pop_back();
  }
}

void PrefixIndex::erase(std::uint64_t Block) {
  const auto Found = Positions.find(Block);
  if (Found == Positions.end())
    return;
  Recent.erase(Found->second);
  Positions.erase(Found);
}

void PrefixIndex::clear() {
  Recent.clear();
  Positions.clear();
}

std::size_t PrefixIndex::matching(const PrefixBlocks &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && Positions.contains(Blocks[Count]))
    ++Count;
  return Count;
}

} // namespace bronzeward
