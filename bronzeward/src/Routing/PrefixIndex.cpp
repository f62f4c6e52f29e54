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
  // Later blocks first, so that a prefix outlives what extends it.
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block) {
    const auto Found = Places.find(*Block);
    if (Found != Places.end()) {
      Recent.splice(Recent.begin(), Recent, Found->second);
      continue;
    }
    Recent.push_front(*Block);
    Places.emplace(*Block, Recent.begin());
    if (Places.size() <= Capacity)
      continue;
    Places.erase(Recent.back());
    Recent.pop_back();
  }
}

void PrefixIndex::erase(std::uint64_t Block) {
  const auto Found = Places.find(Block);
  if (Found == Places.end())
    return;
  Recent.erase(Found->second);
  Places.erase(Found);
}

void PrefixIndex::clear() {
  Recent.clear();
  Places.clear();
}

std::size_t PrefixIndex::matching(const PrefixBlocks &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && Places.contains(Blocks[Count]))
    ++Count;
  return Count;
}

} // namespace bronzeward
