#include "bronzeward/src/Ledger/SlotLedger.h"

#include "bronzeward/src/Ledger/SlotQueries.h"

#include <algorithm>
#include <limits>

namespace bronzeward {

/// Maximum top-ups of an account; more are rejected.
constexpr std::size_t MaxTopUps = 2000;
/// Maximum prepaid amount, so that no sum of costs overflows 64 bits.
constexpr Money MaxPrepaid(std::numeric_limits<std::int64_t>::max() / 4);

static GrantLine *findGrant(Account &Budget, const Incarnation &Holder) {
  const auto Found = std::find_if(
      Budget.Grants.begin(), Budget.Grants.end(),
      [&](const GrantLine &Line) { return Line.Holder == Holder; });
  return Found == Budget.Grants.end() ? nullptr : &*Found;
}

static std::vector<Claim>::iterator findClaim(Account &Budget,
                                              const IdempotencyKey &Key) {
  return std::find_if(Budget.OpenClaims.begin(), Budget.OpenClaims.end(),
                      [&](const Claim &Item) { return Item.Key == Key; });
}

static OperationResult result(OperationStatus Status, Money Amount = Money(),
                              std::uint64_t Order = 0) {
  OperationResult Outcome;
  Outcome.Status = Status;
  Outcome.Amount = Amount;
  Outcome.Order = Order;
  return Outcome;
}

static std::vector<Incarnation> holdersOf(const Account &Budget) {
  std::vector<Incarnation> Holders;
  for (const GrantLine &Line : Budget.Grants)
    if (Line.Remaining > Money())
      Holders.push_back(Line.Holder);
  return Holders;
}

SlotLedger::SlotLedger(SlotRecord Stored,
                       std::shared_ptr<const BilledKeys> SegmentKeys,
                       double LossLimit)
    : Record(std::move(Stored)), BilledInSegments(std::move(SegmentKeys)),
      MaxGrantedFraction(LossLimit), Lost(Record) {
  for (const Bill &Settled : Record.Bills)
    indexBill(Settled);
}

static AccountBalance balanceOf(const Account &Budget) {
  AccountBalance Balance{Budget.Prepaid, Budget.Settled, Money(), 0};
  for (const GrantLine &Line : Budget.Grants) {
    Balance.Granted += Line.Remaining;
    Balance.Holders += Line.Remaining.isZero() ? 0 : 1;
  }
  return Balance;
}

static WorkspaceId workspaceOf(const CommitBill &Change) {
  return Change.Settled.Workspace;
}
/// A reclaim concerns every account of the slot.
static WorkspaceId workspaceOf(const ReclaimGrants &) { return {}; }
template <class AccountOperation>
static WorkspaceId workspaceOf(const AccountOperation &Change) {
  return Change.Workspace;
}

OperationResult SlotLedger::apply(const Operation &Change) {
  return std::visit(
      [this](const auto &Item) {
        OperationResult Outcome = applyOne(Item);
        if (const Account *Budget = findAccount(workspaceOf(Item)))
          Outcome.Balance = balanceOf(*Budget);
        return Outcome;
      },
      Change);
}

Account *SlotLedger::findAccount(const WorkspaceId &Workspace) {
  const auto Found = std::find_if(
      Record.Accounts.begin(), Record.Accounts.end(),
      [&](const Account &Item) { return Item.Workspace == Workspace; });
  return Found == Record.Accounts.end() ? nullptr : &*Found;
}

void SlotLedger::indexBill(const Bill &Settled) {
  Billed.emplace(billedKeyName(Settled.Workspace, Settled.Key),
                 billedKeyOf(Settled));
}

const BilledKey *SlotLedger::findBilled(const WorkspaceId &Workspace,
                                        const IdempotencyKey &Key) const {
  const auto Found = Billed.find(billedKeyName(Workspace, Key));
  return Found == Billed.end() ? BilledInSegments->find(Workspace, Key)
                               : &Found->second;
}

Account &SlotLedger::accountOf(const WorkspaceId &Workspace) {
  if (Account *Known = findAccount(Workspace))
    return *Known;
  Account Added;
  Added.Workspace = Workspace;
  Record.Accounts.push_back(std::move(Added));
  return Record.Accounts.back();
}

OperationResult SlotLedger::applyOne(const RaisePrepaid &Change) {
  Account &Budget = accountOf(Change.Workspace);
  if (Change.Total <= Budget.Prepaid)
    return result(OperationStatus::Repeated, Budget.Prepaid);
  const std::string Id = "total-" + std::to_string(Change.Total.micros());
  return applyOne(
      TopUp{Change.Workspace, OperationId{Id}, Change.Total - Budget.Prepaid});
}

OperationResult SlotLedger::applyOne(const TopUp &Change) {
  Account *Budget = &accountOf(Change.Workspace);
  const auto Earlier = std::find_if(
      Budget->TopUps.begin(), Budget->TopUps.end(),
      [&](const TopUpEntry &Entry) { return Entry.Id == Change.Id; });
  if (Earlier != Budget->TopUps.end())
    return Earlier->Amount == Change.Amount
               ? result(OperationStatus::Repeated, Change.Amount,
                        Earlier->Order)
               : result(OperationStatus::KeyReused, Earlier->Amount);
  const std::optional<Money> Sum = checkedSum(Budget->Prepaid, Change.Amount);
  if (Change.Amount <= Money() || !Sum || *Sum > MaxPrepaid ||
      Budget->TopUps.size() >= MaxTopUps)
    return result(OperationStatus::Rejected);
  Budget->Prepaid = *Sum;
  Budget->TopUps.push_back({Change.Id, Change.Amount, Record.NextOrder++});
  return result(OperationStatus::Applied, Change.Amount,
                Budget->TopUps.back().Order);
}

OperationResult SlotLedger::applyOne(const DrawGrant &Change) {
  Account *Budget = findAccount(Change.Workspace);
  if (Budget == nullptr || Change.Minimum <= Money() ||
      Change.Wanted < Change.Minimum || Change.Share == 0)
    return result(OperationStatus::Rejected);
  GrantLine *Line = findGrant(*Budget, Change.Holder);
  const std::uint64_t Last = Line == nullptr ? 0 : Line->Sequence;
  if (Line != nullptr && Change.Sequence == Last)
    return result(OperationStatus::Repeated, Line->LastAmount);
  // If the line is missing, this holder's grants were reclaimed.
  if (Change.Sequence != Last + 1)
    return result(OperationStatus::Fenced);
  const Money Free = bronzeward::available(*Budget);
  if (Free < Change.Minimum) {
    OperationResult Refusal = result(OperationStatus::Insufficient, Free);
    Refusal.Holders = holdersOf(*Budget);
    return Refusal;
  }
  Lost.add(Change.Holder);
  const Money Limit =
      std::min(Money(Free.micros() / Change.Share),
               Lost.reserveRoom(*Budget, Change.Holder, MaxGrantedFraction));
  if (Line == nullptr) {
    Budget->Grants.push_back({Change.Holder, Money(), 0, Money()});
    Line = &Budget->Grants.back();
  }
  const Money Amount = std::clamp(Limit, Change.Minimum, Change.Wanted);
  Line->Remaining += Amount;
  Line->Sequence = Change.Sequence;
  Line->LastAmount = Amount;
  return result(OperationStatus::Applied, Amount);
}

OperationResult SlotLedger::applyOne(const ReturnGrant &Change) {
  Account *Budget = findAccount(Change.Workspace);
  if (Budget == nullptr)
    return result(OperationStatus::Rejected);
  GrantLine *Line = findGrant(*Budget, Change.Holder);
  if (Line == nullptr)
    return result(OperationStatus::Fenced);
  if (Change.Sequence == Line->Sequence)
    return result(OperationStatus::Repeated, Line->LastAmount);
  if (Change.Sequence != Line->Sequence + 1 || Change.Amount < Money() ||
      Change.Amount > Line->Remaining)
    return result(OperationStatus::Rejected);
  Line->Remaining -= Change.Amount;
  Line->Sequence = Change.Sequence;
  Line->LastAmount = Money() - Change.Amount;
  return result(OperationStatus::Applied, Line->LastAmount);
}

OperationResult SlotLedger::repeatBill(const BilledKey &Earlier,
                                       const Bill &Later) const {
  if (Earlier.Content != Later.Content)
    return result(OperationStatus::KeyReused);
  const bool Same = Earlier.Request == Later.Request;
  OperationResult Found =
      result(Same ? OperationStatus::Repeated : OperationStatus::BilledBefore,
             Earlier.Cost, Earlier.Order);
  Found.Answer = Earlier.Answer;
  return Found;
}

void SlotLedger::charge(Account &Budget, Bill &Settled) const {
  const Money Charged = Settled.Cost - Settled.WrittenOff;
  GrantLine *Line = findGrant(Budget, Settled.Holder);
  if (Line != nullptr)
    Line->Remaining -= std::min(Line->Remaining, Charged);
  Budget.Settled += Charged;
  Budget.WrittenOff += Settled.WrittenOff;
}

OperationResult SlotLedger::applyOne(const CommitBill &Change) {
  Account *Budget = findAccount(Change.Settled.Workspace);
  if (Budget == nullptr || Change.Settled.Cost < Money())
    return result(OperationStatus::Rejected);
  const BilledKey *Earlier =
      findBilled(Change.Settled.Workspace, Change.Settled.Key);
  if (Earlier != nullptr)
    return repeatBill(*Earlier, Change.Settled);

  const GrantLine *Line = findGrant(*Budget, Change.Settled.Holder);
  const Money Covered = bronzeward::available(*Budget) +
                        (Line == nullptr ? Money() : Line->Remaining);
  const Money Missing = std::max(Money(), Change.Settled.Cost - Covered);
  if (!Missing.isZero() && !Change.AnswerReleased)
    return result(OperationStatus::Fenced);

  Bill Settled = Change.Settled;
  Settled.WrittenOff = Missing;
  Settled.Order = Record.NextOrder++;
  charge(*Budget, Settled);
  const auto Open = findClaim(*Budget, Settled.Key);
  if (Open != Budget->OpenClaims.end() && Open->Request == Settled.Request)
    Budget->OpenClaims.erase(Open);
  Record.Chain = chainLink(Record.Chain, Settled);
  indexBill(Settled);
  Record.Bills.push_back(std::move(Settled));
  return result(OperationStatus::Applied, Change.Settled.Cost,
                Record.Bills.back().Order);
}

OperationResult SlotLedger::applyOne(const OpenClaim &Change) {
  Account *Budget = findAccount(Change.Workspace);
  if (Budget == nullptr)
    return result(OperationStatus::Rejected);
  const BilledKey *Earlier = findBilled(Change.Workspace, Change.Opened.Key);
  if (Earlier != nullptr) {
    if (Earlier->Content != Change.Opened.Content)
      return result(OperationStatus::KeyReused);
    OperationResult Finished =
        result(OperationStatus::ClaimFinished, Earlier->Cost, Earlier->Order);
    Finished.Answer = Earlier->Answer;
    return Finished;
  }
  const auto Open = findClaim(*Budget, Change.Opened.Key);
  if (Open != Budget->OpenClaims.end()) {
    if (Open->Request == Change.Opened.Request)
      return result(OperationStatus::Repeated, Money(), Open->Order);
    return result(Open->Content == Change.Opened.Content
                      ? OperationStatus::ClaimHeld
                      : OperationStatus::KeyReused,
                  Money(), Open->Order);
  }
  Claim Opened = Change.Opened;
  Opened.Order = Record.NextOrder++;
  Budget->OpenClaims.push_back(Opened);
  return result(OperationStatus::Applied, Money(), Opened.Order);
}

OperationResult SlotLedger::applyOne(const ReleaseClaim &Change) {
  Account *Budget = findAccount(Change.Workspace);
  if (Budget == nullptr)
    return result(OperationStatus::Rejected);
  const auto Open = findClaim(*Budget, Change.Key);
  if (Open == Budget->OpenClaims.end() || Open->Request != Change.Request)
    return result(OperationStatus::Repeated);
  Budget->OpenClaims.erase(Open);
  return result(OperationStatus::Applied);
}

OperationResult SlotLedger::applyOne(const ReclaimGrants &Change) {
  Money Freed;
  bool Found = false;
  for (Account &Budget : Record.Accounts) {
    const auto Line = std::find_if(
        Budget.Grants.begin(), Budget.Grants.end(),
        [&](const GrantLine &Item) { return Item.Holder == Change.Holder; });
    if (Line == Budget.Grants.end())
      continue;
    Found = true;
    Freed += Line->Remaining;
    Budget.Grants.erase(Line);
  }
  return result(Found ? OperationStatus::Applied : OperationStatus::Repeated,
                Freed);
}

Segment SlotLedger::rollBills(std::size_t Keep, const std::string &Id) {
  Segment Rolled;
  const std::size_t Count =
      Record.Bills.size() - std::min(Keep, Record.Bills.size());
  if (Count == 0)
    return Rolled;
  const auto End = Record.Bills.begin() + static_cast<std::ptrdiff_t>(Count);
  SegmentReference Reference;
  Reference.Id = Id;
  Reference.FirstOrder = Record.Bills.front().Order;
  Reference.LastOrder = std::prev(End)->Order;
  Reference.Bills = Count;
  for (auto Item = Record.Bills.begin(); Item != End; ++Item)
    Reference.Newest = std::max(Reference.Newest, Item->Finished);
  Rolled.ChainBefore = Record.RolledChain;
  for (auto Item = Record.Bills.begin(); Item != End; ++Item)
    Record.RolledChain = chainLink(Record.RolledChain, *Item);
  Rolled.Bills.assign(std::make_move_iterator(Record.Bills.begin()),
                      std::make_move_iterator(End));
  Record.Bills.erase(Record.Bills.begin(), End);
  Record.Segments.push_back(std::move(Reference));
  return Rolled;
}

SegmentIndex SlotLedger::rollSegments(std::size_t Keep, const std::string &Id) {
  SegmentIndex Rolled;
  const std::size_t Count =
      Record.Segments.size() - std::min(Keep, Record.Segments.size());
  if (Count == 0)
    return Rolled;
  const auto End = Record.Segments.begin() + static_cast<std::ptrdiff_t>(Count);
  Rolled.OlderIndex = Record.OlderIndex;
  Rolled.Segments.assign(Record.Segments.begin(), End);
  Record.Segments.erase(Record.Segments.begin(), End);
  Record.OlderIndex = Id;
  return Rolled;
}

} // namespace bronzeward
