#include "bronzeward/src/Ledger/BilledKeys.h"

#include <algorithm>

namespace bronzeward {

BilledKey billedKeyOf(const Bill &Settled) {
  return {Settled.Content, Settled.Request, Settled.Order, Settled.Cost,
          Settled.Answer};
}

std::string billedKeyName(const WorkspaceId &Workspace,
                          const IdempotencyKey &Key) {
  return Workspace.Value + '\n' + Key.Value;
}

void BilledKeys::insert(const std::string &SegmentId, const Segment &Added) {
  if (contains(SegmentId))
    return;
  std::vector<std::string> &Names = Segments[SegmentId];
  Names.reserve(Added.Bills.size());
  for (const Bill &Settled : Added.Bills) {
    Names.push_back(billedKeyName(Settled.Workspace, Settled.Key));
    Keys.emplace(Names.back(), billedKeyOf(Settled));
  }
}

void BilledKeys::retain(const std::vector<SegmentReference> &Listed) {
  std::erase_if(Segments, [&](const auto &Known) {
    const bool Kept = std::any_of(
        Listed.begin(), Listed.end(),
        [&](const SegmentReference &Item) { return Item.Id == Known.first; });
    if (!Kept)
      for (const std::string &Name : Known.second)
        Keys.erase(Name);
    return !Kept;
  });
}

const BilledKey *BilledKeys::find(const WorkspaceId &Workspace,
                                  const IdempotencyKey &Key) const {
  const auto Found = Keys.find(billedKeyName(Workspace, Key));
  return Found == Keys.end() ? nullptr : &Found->second;
}

} // namespace bronzeward
