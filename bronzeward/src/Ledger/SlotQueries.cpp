#include "bronzeward/src/Ledger/SlotQueries.h"

#include "bronzeward/src/Ledger/LedgerCodec.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace bronzeward {

const Account *findAccount(const SlotRecord &Record,
                           const WorkspaceId &Workspace) {
  const auto Found = std::find_if(
      Record.Accounts.begin(), Record.Accounts.end(),
      [&](const Account &Item) { return Item.Workspace == Workspace; });
  return Found == Record.Accounts.end() ? nullptr : &*Found;
}

Money outstanding(const Account &Budget) {
  Money Sum;
  for (const GrantLine &Line : Budget.Grants)
    Sum += Line.Remaining;
  return Sum;
}

Money available(const Account &Budget) {
  return Budget.Prepaid - Budget.Settled - outstanding(Budget);
}

std::string chainLink(const std::string &Before, const Bill &Settled) {
  return sha256Hex(Before + encodeBill(Settled));
}

namespace internal {

/// \brief Visits bills in order and collects violations.
class HistoryCheck {
public:
  void visit(const Bill &Settled) {
    if (Settled.Order <= LastOrder)
      report("bill " + Settled.Request.Value + " is out of order");
    LastOrder = Settled.Order;
    if (!Keys.insert({Settled.Workspace, Settled.Key}).second)
      report("key " + Settled.Key.Value + " of workspace " +
             Settled.Workspace.Value + " is billed twice");
    if (Settled.Cost > costOf(Settled.Rate, Settled.Tokens))
      report("bill " + Settled.Request.Value + " exceeds its price");
    Sums[Settled.Workspace] += Settled.Cost - Settled.WrittenOff;
    Chain = chainLink(Chain, Settled);
  }

  void expectChain(const std::string &Stored, const std::string &Where) {
    if (Stored != Chain)
      report("hash chain differs at " + Where);
  }

  void visit(const Account &Budget) {
    if (Sums[Budget.Workspace] != Budget.Settled)
      report("bills of workspace " + Budget.Workspace.Value +
             " do not add up to its settled amount");
    if (available(Budget) < Money())
      report("workspace " + Budget.Workspace.Value + " exceeds its budget");
    Money Added;
    for (const TopUpEntry &Entry : Budget.TopUps)
      Added += Entry.Amount;
    if (Added != Budget.Prepaid)
      report("top-ups of workspace " + Budget.Workspace.Value +
             " do not add up to its prepaid amount");
  }

  std::vector<std::string> Problems;

private:
  void report(std::string Problem) { Problems.push_back(std::move(Problem)); }

  std::uint64_t LastOrder = 0;
  std::string Chain;
  std::map<WorkspaceId, Money> Sums;
  std::set<std::pair<WorkspaceId, IdempotencyKey>> Keys;
};

} // namespace internal

std::vector<std::string> verifySlot(const SlotRecord &Head,
                                    const std::vector<Segment> &Older) {
  internal::HistoryCheck Check;
  for (const Segment &Item : Older) {
    Check.expectChain(Item.ChainBefore, "a segment");
    for (const Bill &Settled : Item.Bills)
      Check.visit(Settled);
  }
  for (const Bill &Settled : Head.Bills)
    Check.visit(Settled);
  Check.expectChain(Head.Chain, "the head record");
  for (const Account &Budget : Head.Accounts)
    Check.visit(Budget);
  return Check.Problems;
}

} // namespace bronzeward
