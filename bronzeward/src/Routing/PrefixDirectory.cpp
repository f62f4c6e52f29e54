#include "bronzeward/src/Routing/PrefixDirectory.h"

#include <algorithm>

namespace bronzeward {

/// Maximum number of entries.
constexpr std::size_t MaxBlocks = 65536;
/// Maximum number of upstreams of one entry.
constexpr std::size_t MaxHolders = 4;

void PrefixDirectory::insert(const PrefixBlocks &Blocks,
                             const UpstreamName &Name) {
  for (const std::uint64_t Block : Blocks) {
    const auto [Found, Inserted] = Entries.try_emplace(Block);
    Entry &Item = Found->second;
    if (Inserted) {
      Recent.push_front(Block);
      Item.Position = Recent.begin();
    } else {
      Recent.splice(Recent.begin(), Recent, Item.Position);
    }
    std::erase(Item.Holders, Name);
    Item.Holders.insert(Item.Holders.begin(), Name);
    if (Item.Holders.size() > MaxHolders)
      Item.Holders.pop_back();
    if (Entries.size() > MaxBlocks) {
      Entries.erase(Recent.back());
      Recent.pop_back();
    }
  }
}

std::size_t PrefixDirectory::known(const PrefixBlocks &Blocks) const {
  std::size_t Count = 0;
  while (Count < Blocks.size() && Entries.contains(Blocks[Count]))
    ++Count;
  return Count;
}

std::vector<UpstreamName> PrefixDirectory::find(const PrefixBlocks &Blocks,
                                                std::size_t MaxCount) const {
  std::vector<UpstreamName> Names;
  for (auto Block = Blocks.rbegin(); Block != Blocks.rend(); ++Block) {
    const auto Found = Entries.find(*Block);
    if (Found == Entries.end())
      continue;
    for (const UpstreamName &Name : Found->second.Holders) {
      if (Names.size() >= MaxCount)
        return Names;
      if (std::find(Names.begin(), Names.end(), Name) == Names.end())
        Names.push_back(Name);
    }
  }
  return Names;
}

} // namespace bronzeward
