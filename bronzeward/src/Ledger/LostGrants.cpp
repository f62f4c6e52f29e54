#include "bronzeward/src/Ledger/LostGrants.h"

#include <algorithm>

namespace bronzeward {

LostGrants::LostGrants(const SlotRecord &Record) {
  for (const Account &Budget : Record.Accounts)
    for (const GrantLine &Line : Budget.Grants) {
      std::uint64_t &Latest = LatestEpochs[Line.Holder.Instance];
      Latest = std::max(Latest, Line.Holder.Epoch);
    }
}

Money LostGrants::sum(const Account &Budget) const {
  Money Sum;
  for (const GrantLine &Line : Budget.Grants) {
    if (Line.Remaining.isZero())
      continue;
    const auto Found = LatestEpochs.find(Line.Holder.Instance);
    if (Found != LatestEpochs.end() && Line.Holder.Epoch < Found->second)
      Sum += Line.Remaining;
  }
  return Sum;
}

} // namespace bronzeward
