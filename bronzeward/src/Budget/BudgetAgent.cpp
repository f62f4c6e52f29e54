#include "bronzeward/src/Budget/BudgetAgent.h"

#include <algorithm>
#include <limits>

namespace bronzeward {

/// Delay between a recall of other instances' grants and the next draw.
constexpr Duration RecallDelay = 60ms;
/// Amount of the first grant drawn ahead; DrawGrant::Share limits it.
constexpr Money FirstGrantAmount(std::int64_t{1} << 40U);
/// Delay between a draw and the loan request to peers: several round trips to
/// a healthy store.
constexpr Duration LoanRequestDelay = 60ms;
/// Amount of a requested loan, in multiples of the waiting request.
constexpr std::int64_t LoanMultiple = 4;
/// Where loans are combined, a lender lends no less than the missing amount
/// divided by this.
constexpr std::int64_t MinLoanPartDivisor = 12;
/// Requests are refused without waiting for this time after neither a draw nor
/// a loan succeeded: half of the delay that refused callers are asked to wait.
constexpr Duration RefusalTime = 250ms;
/// Minimum time between two searches for a loan of a workspace.
constexpr Duration LoanRequestPause = 100ms;
/// Peers that receive a loan request at once: all of a small fleet.
constexpr std::size_t LoanFanout = 7;
/// Time after which a search continues with further peers: a round trip between
/// failure domains and the peers' event loops.
constexpr Duration LoanRoundTime = 40ms;
/// Reserve of a custodian as a multiple of what it expects to lend.
constexpr double LendingMargin = 1.5;
/// Weight of a new value in the moving average of bounds.
constexpr std::int64_t BoundSmoothingDivisor = 8;
/// While the store is unreachable, an instance requests a loan below the
/// low-water mark divided by this.
constexpr std::int64_t LoanTriggerDivisor = 3;
/// Delay before the next refill after a refused draw or a recall, and before
/// a rejected submission is repeated.
constexpr Duration RefillPause = 1s;
/// Smallest amount that a draw asks for.
constexpr Money MinDraw(1);
/// Time for a carrier to confirm before more peers are asked.
constexpr Duration CarrierTimeout = 300ms;
/// A store outage shorter than this does not make an instance unready.
constexpr Duration ShortOutage = 1s;
/// A peer that sent a message within this time counts as reachable.
constexpr Duration PeerFreshness = 4s;
/// Peers that take over a stopping instance's operations, so that one of them
/// may fail.
constexpr std::size_t HandoverCopies = 2;

BudgetAgent::BudgetAgent(Incarnation OwnIncarnation, FailureDomain OwnDomain,
                         const BudgetPolicy &Settings,
                         BudgetDependencies Dependencies)
    : Self(std::move(OwnIncarnation)), Domain(std::move(OwnDomain)),
      Policy(Settings), Deps(Dependencies),
      Router(Self.Instance,
             {Dependencies.Store, Dependencies.Peers, Dependencies.Timers,
              Dependencies.Source, Members, Settings}),
      Reclaimer(Self.Instance, Router, Members, Settings),
      CopiedBills(Router, Dependencies.Peers, Dependencies.Timers,
                  Dependencies.Store, Settings) {}

Incarnation BudgetAgent::holder(const Book &Budget) const {
  return {Self.Instance, Self.Epoch + Budget.LostGrants};
}

BudgetAgent::Book &BudgetAgent::book(const WorkspaceId &Workspace) {
  const auto Inserted = Books.try_emplace(Workspace);
  Book &Budget = Inserted.first->second;
  if (Inserted.second) {
    Budget.Grant.setRounding(roundingPosition(Workspace));
    updateCustodians(Workspace, Budget);
  }
  return Budget;
}

// Custody.

void BudgetAgent::updateCustodians(const WorkspaceId &Workspace, Book &Budget) {
  const bool Large = Members.members().size() > SmallFleet;
  Budget.Custodians =
      custodiansOf(Members.members(), Workspace, Large ? Policy.Custodians : 0);
}

void BudgetAgent::recordBound(Book &Budget, Money Bound) {
  if (Budget.TypicalBound.isZero())
    Budget.TypicalBound = Bound;
  else
    Budget.TypicalBound +=
        Money((Bound - Budget.TypicalBound).micros() / BoundSmoothingDivisor);
}

bool BudgetAgent::isCustodian(const Book &Budget) const {
  return std::find(Budget.Custodians.begin(), Budget.Custodians.end(),
                   Self.Instance) != Budget.Custodians.end();
}

BudgetAgent::GrantRole BudgetAgent::roleFor(const Book &Budget) const {
  if (!needsCustody(Policy, Members.members().size(), Budget.TargetPrepaid,
                    Budget.TypicalBound))
    return GrantRole::Holder;
  return isCustodian(Budget) ? GrantRole::Custodian : GrantRole::Borrower;
}

void BudgetAgent::updateReserve(Book &Budget, TimePoint Now) const {
  switch (roleFor(Budget)) {
  case GrantRole::Holder:
    Budget.Grant.setReserve(std::nullopt);
    return;
  case GrantRole::Borrower:
    Budget.Grant.setReserve(Money());
    return;
  case GrantRole::Custodian:
    Budget.Grant.setReserve(
        std::max(Budget.TypicalBound, custodianReserve(Budget, Now)));
    return;
  }
}

Money BudgetAgent::custodianReserve(const Book &Budget, TimePoint Now) const {
  const std::int64_t Count =
      static_cast<std::int64_t>(Budget.Custodians.size());
  const Money Most(Budget.Forecast.maxReserve(Policy).micros() / Count);
  // An outage may come before the rate of spending is known.
  if (!Budget.FirstLent || Now < *Budget.FirstLent + Policy.RateWindow)
    return Most;
  // Bills show the spending late, and not at all while the store is
  // unreachable; loans show it at once.
  const std::chrono::duration<double> Covered = Policy.GrantHorizon;
  const double Lent = Budget.Lending.perSecond(Policy.RateWindow, Now) *
                      Covered.count() * LendingMargin;
  const Money Expected(static_cast<std::int64_t>(std::clamp(Lent, 0.0, 1e17)));
  const Money Part(Budget.Forecast.fleetReserve().micros() / Count);
  return std::min(Most, std::max(Part, Expected));
}

Money BudgetAgent::waitingBounds(const Book &Budget) {
  Money Sum;
  for (const WaitingReservation &Waiter : Budget.Waiting)
    Sum += Waiter.Bound;
  return Sum;
}

void BudgetAgent::drawForWaiting(const WorkspaceId &Workspace, TimePoint Now) {
  if (!Books[Workspace].Waiting.empty() && !Deps.Store.failingSince())
    draw(Workspace, Now);
}

double BudgetAgent::roundingPosition(const WorkspaceId &Workspace) const {
  const auto Weight = [&Workspace](const InstanceId &Instance) {
    return hash64(Workspace.Value + Instance.Value);
  };
  const std::uint64_t Own = Weight(Self.Instance);
  // Ranks spread the positions of a small fleet evenly. In a large fleet,
  // hashes are even enough.
  if (Members.members().size() > SmallFleet)
    return static_cast<double>(Own) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  int Lower = 0;
  int Others = 0;
  for (const Member &Peer : Members.members()) {
    if (Peer.Leaving || Peer.Identity.Instance == Self.Instance)
      continue;
    ++Others;
    Lower += Weight(Peer.Identity.Instance) < Own ? 1 : 0;
  }
  return (Lower + 0.5) / (Others + 1);
}

bool BudgetAgent::isOwnIncarnation(const Incarnation &Holder) const {
  return Holder.Instance == Self.Instance &&
         registrationOf(Holder) == registrationOf(Self);
}

SlotId BudgetAgent::slot(const WorkspaceId &Workspace) const {
  return slotOf(Workspace, Policy.Slots);
}

std::uint64_t BudgetAgent::submit(const WorkspaceId &Workspace,
                                  Operation Change, TimePoint Now,
                                  OperationRouter::Handler Done) {
  return Router.submit(
      slot(Workspace), std::move(Change), Now,
      [this, Workspace, Done = std::move(Done)](const OperationResult &Outcome,
                                                TimePoint At) {
        Book &Budget = book(Workspace);
        Budget.Forecast.onBalance(Outcome.Balance, Policy, At);
        Budget.Grant.setHorizon(Budget.Forecast.horizon(Policy, At));
        updateReserve(Budget, At);
        Done(Outcome, At);
      });
}

// Reservations.

ReserveOutcome BudgetAgent::reserve(const RequestId &Request,
                                    const WorkspaceId &Workspace, Money Bound,
                                    TimePoint Now) {
  if (!serving(Now))
    return ReserveOutcome::Unavailable;
  Book &Budget = book(Workspace);
  // If the prepaid total is set through this instance, Unsettled misses no
  // top-up.
  const bool TotalKnown = !Budget.TargetPrepaid.isZero();
  if (TotalKnown && Budget.Unsettled && Bound > *Budget.Unsettled)
    return ReserveOutcome::Exhausted;
  recordBound(Budget, Bound);
  const GrantRole Role = roleFor(Budget);
  Reservation Requested{Workspace, Bound, 0, {}, {}};
  const bool NextInLine = Budget.Waiting.empty() || Bound.isZero();
  if (NextInLine && tryReserve(Requested)) {
    Reservations.emplace(Request, std::move(Requested));
    refill(Workspace, Now);
    return ReserveOutcome::Granted;
  }
  if (Now < Budget.RefuseUntil && Budget.Waiting.empty()) {
    requestLoanFor(Workspace, Bound, Now);
    return shortage(Budget, Bound);
  }
  Reservations.emplace(Request, std::move(Requested));
  const TimerQueue::Handle Timeout = Deps.Timers.schedule(
      Now + Policy.BudgetWait, [this, Workspace, Request](TimePoint At) {
        expireWaiting(Workspace, Request, At);
      });
  Budget.Waiting.push_back({Request, Bound, Timeout});
  if (Role == GrantRole::Borrower) {
    requestLoanForWaiting(Workspace, Now);
    Deps.Timers.schedule(
        Now + LoanRequestDelay,
        [this, Workspace](TimePoint At) { drawForWaiting(Workspace, At); });
    return ReserveOutcome::Waiting;
  }
  if (Deps.Store.failingSince())
    requestLoanForWaiting(Workspace, Now);
  else
    Deps.Timers.schedule(Now + LoanRequestDelay,
                         [this, Workspace](TimePoint At) {
                           requestLoanForWaiting(Workspace, At);
                         });
  draw(Workspace, Now);
  return ReserveOutcome::Waiting;
}

bool BudgetAgent::tryReserve(Reservation &Item) {
  Book &Budget = Books[Item.Workspace];
  Item.LostGrants = Budget.LostGrants;
  // Loans are spent first, to clear their lenders' grants in the ledger.
  std::optional<LoanOrigin> Lender;
  if (!Item.Bound.isZero())
    Lender = Loans.reserve(Item.Workspace, Item.Bound);
  if (!Lender && !Budget.Grant.reserve(Item.Bound))
    return roleFor(Budget) != GrantRole::Holder && reserveCombined(Item);
  Item.Parts = {{Item.Bound, Lender}};
  return true;
}

bool BudgetAgent::reserveCombined(Reservation &Item) {
  GrantBook &Grant = Books[Item.Workspace].Grant;
  if (Loans.free(Item.Workspace) + Grant.free() < Item.Bound)
    return false;
  Item.Parts = Loans.reserveParts(Item.Workspace, Item.Bound);
  Money Missing = Item.Bound;
  for (const ChargePart &Part : Item.Parts)
    Missing -= Part.Amount;
  if (!Missing.isZero() && Grant.reserve(Missing))
    Item.Parts.push_back({Missing, {}});
  return true;
}

// Loans.

void BudgetAgent::requestLoan(const WorkspaceId &Workspace, Money Minimum,
                              Money Wanted, TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (!Policy.Lending || Draining || Now < Budget.NextLoanRequest)
    return;
  const std::vector<InstanceId> Lenders = nextLenders(Budget);
  const bool Exhausted = Budget.NotAsked.empty();
  Budget.NextLoanRequest = Now + (Exhausted ? LoanRequestPause : LoanRoundTime);
  LoanCounts.Requested += Lenders.size();
  for (const InstanceId &Peer : Lenders)
    Deps.Peers.send(Peer, LoanRequest{Workspace, Minimum, Wanted});
}

void BudgetAgent::requestLoanFor(const WorkspaceId &Workspace, Money Bounds,
                                 TimePoint Now) {
  const Book &Budget = Books[Workspace];
  if (roleFor(Budget) == GrantRole::Holder) {
    requestLoan(Workspace, Bounds, scaled(Bounds, LoanMultiple), Now);
    return;
  }
  const Money Free = Loans.free(Workspace) + Budget.Grant.free();
  const Money Missing = Bounds - std::min(Bounds, Free);
  requestLoan(Workspace, Money(Missing.micros() / MinLoanPartDivisor + 1),
              Missing + Money(1), Now);
}

std::vector<InstanceId> BudgetAgent::nextLenders(Book &Budget) {
  std::size_t Fanout = LoanFanout;
  if (Budget.NotAsked.empty()) {
    Budget.NotAsked = otherMembers();
    Deps.Source.shuffle(Budget.NotAsked);
    const auto Last = std::find(Budget.NotAsked.begin(), Budget.NotAsked.end(),
                                Budget.LastLender);
    if (Last != Budget.NotAsked.end())
      std::iter_swap(Last, std::prev(Budget.NotAsked.end()));
    if (roleFor(Budget) != GrantRole::Holder) {
      preferCustodians(Budget);
      Fanout = 1;
    }
  }
  const std::size_t Count = std::min(Budget.NotAsked.size(), Fanout);
  const auto First = Budget.NotAsked.end() - static_cast<std::ptrdiff_t>(Count);
  std::vector<InstanceId> Next(First, Budget.NotAsked.end());
  Budget.NotAsked.erase(First, Budget.NotAsked.end());
  return Next;
}

void BudgetAgent::preferCustodians(Book &Budget) const {
  const auto Rank = [&](const InstanceId &Peer) -> std::size_t {
    const auto Found =
        std::find(Budget.Custodians.begin(), Budget.Custodians.end(), Peer);
    if (Found == Budget.Custodians.end())
      return 0;
    // Each borrower prefers another custodian, which spreads the loans.
    const std::size_t Index =
        static_cast<std::size_t>(Found - Budget.Custodians.begin());
    return 1 + (Index + hash64(Self.Instance.Value)) % Budget.Custodians.size();
  };
  std::stable_sort(Budget.NotAsked.begin(), Budget.NotAsked.end(),
                   [&](const InstanceId &Left, const InstanceId &Right) {
                     return Rank(Left) < Rank(Right);
                   });
}

void BudgetAgent::requestLoanForWaiting(const WorkspaceId &Workspace,
                                        TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (Budget.Waiting.empty())
    return;
  Money Bounds = Budget.Waiting.front().Bound;
  if (roleFor(Budget) != GrantRole::Holder)
    Bounds = waitingBounds(Budget);
  requestLoanFor(Workspace, Bounds, Now);
  if (Budget.NotAsked.empty() || Budget.LoanRoundScheduled)
    return;
  Budget.LoanRoundScheduled = true;
  Deps.Timers.schedule(Now + LoanRoundTime, [this, Workspace](TimePoint At) {
    Books[Workspace].LoanRoundScheduled = false;
    requestLoanForWaiting(Workspace, At);
  });
}

void BudgetAgent::onLoanRequest(const InstanceId &From,
                                const LoanRequest &Message, TimePoint Now) {
  if (!Policy.Lending)
    return;
  Book &Budget = book(Message.Workspace);
  if (!Budget.Waiting.empty())
    return;
  const Money Lent = Budget.Grant.lend(Message.Minimum, Message.Wanted);
  if (!Lent.isZero()) {
    ++LoanCounts.Granted;
    Budget.Lending.record(Lent, Policy.RateWindow, Now);
    if (!Budget.FirstLent)
      Budget.FirstLent = Now;
    Deps.Peers.send(
        From, loanOf(Message.Workspace, {holder(Budget), Now}, Lent, Now));
  }
  if (isCustodian(Budget)) {
    recordBound(Budget, Message.Wanted);
    updateReserve(Budget, Now);
    refill(Message.Workspace, Now);
  }
  if (!Lent.isZero())
    return;
  // A loan held here can be passed on; it stays charged to its lender's
  // grant.
  const std::optional<LoanOrigin> Borrowed =
      Loans.reserve(Message.Workspace, Message.Minimum);
  if (!Borrowed)
    return;
  ++LoanCounts.Granted;
  Deps.Peers.send(From,
                  loanOf(Message.Workspace, *Borrowed, Message.Minimum, Now));
}

void BudgetAgent::onLoan(const InstanceId &From, const Loan &Message,
                         TimePoint Now) {
  Book &Budget = Books[Message.Workspace];
  ++LoanCounts.Received;
  Budget.LastLender = From;
  // The next search begins with this lender.
  Budget.NotAsked.clear();
  if (Message.Lender == holder(Budget)) {
    Budget.Grant.loanReturned(Message.Amount);
    Budget.Lending.record(Money() - Message.Amount, Policy.RateWindow, Now);
  } else if (!isOwnIncarnation(Message.Lender)) {
    Loans.credit(Message.Workspace, originOf(Message, Now), Message.Amount);
  }
  Budget.RefuseUntil = Now;
  serveWaiting(Message.Workspace, Now);
}

void BudgetAgent::abandon(const RequestId &Request,
                          ClaimDisposition Disposition, TimePoint Now) {
  const auto Found = Reservations.find(Request);
  if (Found == Reservations.end())
    return;
  const Reservation Item = std::move(Found->second);
  Reservations.erase(Found);
  if (Item.Opened && Disposition == ClaimDisposition::Release)
    releaseClaim(Item.Workspace, Item.Opened->Key, Request, Now);
  Book &Budget = Books[Item.Workspace];
  if (Item.Parts.empty()) {
    const auto Waiter = std::find_if(
        Budget.Waiting.begin(), Budget.Waiting.end(),
        [&](const WaitingReservation &W) { return W.Request == Request; });
    if (Waiter != Budget.Waiting.end()) {
      Deps.Timers.cancel(Waiter->Timeout);
      Budget.Waiting.erase(Waiter);
    }
    return;
  }
  for (const ChargePart &Part : Item.Parts) {
    if (Part.Borrowed)
      Loans.credit(Item.Workspace, *Part.Borrowed, Part.Amount);
    else if (Item.LostGrants == Budget.LostGrants)
      Budget.Grant.release(Part.Amount);
  }
  serveWaiting(Item.Workspace, Now);
  if (Draining)
    returnFreeBudget(Item.Workspace, Now);
}

void BudgetAgent::draw(const WorkspaceId &Workspace, TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (Budget.Grant.lifecycle().changing() || Budget.RedrawScheduled)
    return;
  // The last draw was refused a moment ago.
  if (Policy.Lending && Now < Budget.NextRefill)
    return;
  const Money Missing = waitingBounds(Budget);
  Money Minimum = MinDraw;
  if (!Budget.Waiting.empty())
    Minimum =
        std::max(Minimum, Budget.Waiting.front().Bound - Budget.Grant.free());
  DrawGrant Change;
  Change.Workspace = Workspace;
  Change.Minimum = Minimum;
  Change.Wanted = std::max(Minimum, Budget.Grant.refill(Missing, Policy, Now));
  if (Budget.DrawAhead)
    Change.Wanted = std::max(Change.Wanted, FirstGrantAmount);
  Change.Share = drawDivisor(Budget);
  Change.Holder = holder(Budget);
  Budget.Grant.drawSent();
  Change.Sequence = Budget.Grant.sequence();
  const std::uint64_t Number =
      submit(Workspace, Change, Now,
             [this, Workspace](const OperationResult &Outcome, TimePoint At) {
               onDrawn(Workspace, Outcome, At);
             });
  if (Number != 0)
    return;
  Budget.Grant.drawRefused();
  refuseWaiting(Workspace, ReserveOutcome::Unavailable, Now);
}

std::uint32_t BudgetAgent::drawDivisor(const Book &Budget) const {
  // In a large fleet, few instances hold grants of any one workspace.
  std::size_t Holders = std::max<std::size_t>(1, Members.members().size());
  if (const std::optional<AccountBalance> &Balance = Budget.Forecast.balance())
    Holders = std::min<std::size_t>(Holders, Balance->Holders + 1);
  return std::max(Policy.MinDrawDivisor,
                  static_cast<std::uint32_t>(2 * Holders));
}

void BudgetAgent::onDrawn(const WorkspaceId &Workspace,
                          const OperationResult &Outcome, TimePoint Now) {
  Book &Budget = Books[Workspace];
  switch (Outcome.Status) {
  case OperationStatus::Applied:
  case OperationStatus::Repeated:
    Budget.Grant.drawn(std::max(Money(), Outcome.Amount));
    Budget.RefuseUntil = Now;
    Budget.DrawAhead = false;
    if (Outcome.Amount <= MinDraw)
      Budget.NextReserveDraw = Now + RefillPause;
    serveWaiting(Workspace, Now);
    if (!Budget.Waiting.empty())
      draw(Workspace, Now);
    else if (roleFor(Budget) == GrantRole::Custodian)
      refill(Workspace, Now);
    break;
  case OperationStatus::Insufficient:
    onInsufficient(Workspace, Outcome, Now);
    break;
  case OperationStatus::Fenced:
    dropGrant(Workspace, Now);
    draw(Workspace, Now);
    return;
  default:
    // The workspace has no account yet: nothing is prepaid.
    Budget.Grant.drawRefused();
    refuseWaiting(Workspace, ReserveOutcome::Exhausted, Now);
    break;
  }
  if (Budget.ReturnPending || Draining)
    returnFreeBudget(Workspace, Now);
}

void BudgetAgent::onInsufficient(const WorkspaceId &Workspace,
                                 const OperationResult &Outcome,
                                 TimePoint Now) {
  Book &Budget = Books[Workspace];
  Budget.Grant.drawRefused();
  Budget.NextRefill = Now + RefillPause;
  // A balance from before the last raisePrepaid() is too low.
  if (Outcome.Balance.Prepaid >= Budget.TargetPrepaid)
    Budget.Unsettled = Outcome.Balance.unsettled();
  serveWaiting(Workspace, Now);
  while (!Budget.Waiting.empty() && Budget.Unsettled &&
         Budget.Waiting.front().Bound > *Budget.Unsettled) {
    const RequestId First = Budget.Waiting.front().Request;
    expireWaiting(Workspace, First, Now);
  }
  if (Budget.Waiting.empty())
    return;
  // Waiting requests get a loan, or are refused at their timeout.
  if (Policy.Lending) {
    requestLoanForWaiting(Workspace, Now);
    return;
  }
  bool Recalled = false;
  for (const Incarnation &Other : Outcome.Holders) {
    if (Other.Instance == Self.Instance || !Members.lists(Other))
      continue;
    Deps.Peers.send(Other.Instance, RecallGrant{Workspace, Other});
    Recalled = true;
  }
  const bool OwnMayReturn = Budget.Grant.held() > Budget.Grant.free();
  if (Recalled || OwnMayReturn) {
    scheduleRedraw(Workspace, Now);
    return;
  }
  // No budget can be returned: refuse the first waiting request at once.
  const RequestId First = Budget.Waiting.front().Request;
  expireWaiting(Workspace, First, Now);
  if (!Books[Workspace].Waiting.empty())
    draw(Workspace, Now);
}

void BudgetAgent::scheduleRedraw(const WorkspaceId &Workspace, TimePoint Now) {
  Books[Workspace].RedrawScheduled = true;
  Deps.Timers.schedule(Now + RecallDelay, [this, Workspace](TimePoint At) {
    Book &Budget = Books[Workspace];
    Budget.RedrawScheduled = false;
    serveWaiting(Workspace, At);
    if (!Budget.Waiting.empty())
      draw(Workspace, At);
  });
}

void BudgetAgent::serveWaiting(const WorkspaceId &Workspace, TimePoint Now) {
  std::deque<WaitingReservation> &Waiting = Books[Workspace].Waiting;
  while (!Waiting.empty()) {
    const WaitingReservation First = Waiting.front();
    if (!tryReserve(Reservations.at(First.Request)))
      return;
    Waiting.pop_front();
    Deps.Timers.cancel(First.Timeout);
    Deps.Listener.onReserved(First.Request, ReserveOutcome::Granted, Now);
  }
}

void BudgetAgent::refuseWaiting(const WorkspaceId &Workspace,
                                ReserveOutcome Outcome, TimePoint Now) {
  std::deque<WaitingReservation> Refused;
  Refused.swap(Books[Workspace].Waiting);
  for (const WaitingReservation &Waiter : Refused) {
    Deps.Timers.cancel(Waiter.Timeout);
    Reservations.erase(Waiter.Request);
    Deps.Listener.onReserved(Waiter.Request, Outcome, Now);
  }
}

void BudgetAgent::expireWaiting(const WorkspaceId &Workspace,
                                const RequestId &Request, TimePoint Now) {
  Book &Budget = Books[Workspace];
  const auto Waiter = std::find_if(
      Budget.Waiting.begin(), Budget.Waiting.end(),
      [&](const WaitingReservation &W) { return W.Request == Request; });
  if (Waiter == Budget.Waiting.end())
    return;
  Deps.Timers.cancel(Waiter->Timeout);
  const Money Bound = Waiter->Bound;
  if (Policy.Lending)
    Budget.RefuseUntil = Now + RefusalTime;
  Budget.Waiting.erase(Waiter);
  Reservations.erase(Request);
  const ReserveOutcome Outcome = shortage(Budget, Bound);
  Deps.Listener.onReserved(Request, Outcome, Now);
  serveWaiting(Workspace, Now);
}

ReserveOutcome BudgetAgent::shortage(const Book &Budget, Money Bound) const {
  if (Budget.Unsettled && Bound > *Budget.Unsettled)
    return ReserveOutcome::Exhausted;
  return Deps.Store.failingSince() ? ReserveOutcome::Unavailable
                                   : ReserveOutcome::Held;
}

void BudgetAgent::raisePrepaid(const WorkspaceId &Workspace, Money Total,
                               TimePoint Now) {
  Book &Budget = book(Workspace);
  if (Total <= Budget.TargetPrepaid)
    return;
  Budget.DrawAhead = Policy.DrawAhead && Budget.TargetPrepaid.isZero();
  Budget.TargetPrepaid = Total;
  Budget.Unsettled.reset();
  submitPrepaid(Workspace, Total, Now);
}

void BudgetAgent::submitPrepaid(const WorkspaceId &Workspace, Money Total,
                                TimePoint Now) {
  const std::uint64_t Number =
      submit(Workspace, RaisePrepaid{Workspace, Total}, Now,
             [this, Workspace](const OperationResult &, TimePoint At) {
               Book &Budget = Books[Workspace];
               Budget.Unsettled.reset();
               // In a large fleet, most instances serve few workspaces.
               Budget.DrawAhead = Budget.DrawAhead &&
                                  (Members.members().size() <= SmallFleet ||
                                   isCustodian(Budget));
               if (Budget.DrawAhead)
                 draw(Workspace, At);
             });
  if (Number != 0)
    return;
  Deps.Timers.schedule(Now + RefillPause,
                       [this, Workspace, Total](TimePoint At) {
                         submitPrepaid(Workspace, Total, At);
                       });
}

void BudgetAgent::returnExcess(TimePoint Now) {
  dropExpiredLoans(Now);
  for (auto &[Workspace, Budget] : Books) {
    updateReserve(Budget, Now);
    if (roleFor(Budget) == GrantRole::Borrower && Budget.Waiting.empty())
      forwardLoans(Workspace, Now);
  }
  // Spending rates are unknown before one full window.
  if (!FirstSettled || Now < *FirstSettled + Policy.RateWindow ||
      Deps.Store.failingSince())
    return;
  returnLoans(Now);
  for (auto &[Workspace, Budget] : Books) {
    const bool InDemand = !Budget.Waiting.empty() || Budget.DrawAhead;
    if (InDemand || Budget.Grant.lifecycle().changing())
      continue;
    const Money Amount = Budget.Grant.excess(Policy, Now);
    if (!Amount.isZero())
      returnAmount(Workspace, Amount, Now);
  }
}

void BudgetAgent::returnLoans(TimePoint Now) {
  for (const auto &[Workspace, Budget] : Books) {
    const bool OwnIsEnough =
        Budget.Grant.free() >= Budget.Grant.lowWater(Policy, Now);
    if (!OwnIsEnough || !Budget.Waiting.empty())
      continue;
    forwardLoans(Workspace, Now);
  }
}

void BudgetAgent::forwardLoans(const WorkspaceId &Workspace, TimePoint Now) {
  for (const Loan &Borrowed : Loans.take(Workspace, Now))
    if (!forwardLoan(Borrowed, Now))
      Loans.credit(Workspace, originOf(Borrowed, Now), Borrowed.Amount);
}

bool BudgetAgent::forwardLoan(const Loan &Borrowed, TimePoint Now) {
  const Member *Lender = Members.find(Borrowed.Lender.Instance);
  if (Members.lists(Borrowed.Lender) && isStaying(*Lender, Now)) {
    Deps.Peers.send(Borrowed.Lender.Instance, Borrowed);
    return true;
  }
  if (!Draining)
    return false;
  const std::vector<InstanceId> Successors = successors(Now);
  if (!Successors.empty())
    Deps.Peers.send(Successors.front(), Borrowed);
  return !Successors.empty();
}

void BudgetAgent::dropExpiredLoans(TimePoint Now) {
  // The grant of a lost lender is reclaimed after ReclaimAfter, so nothing may
  // be spent from it by then.
  for (const Loan &Old : Loans.takeOlder(Policy.ReclaimAfter / 2, Now))
    forwardLoan(Old, Now);
}

void BudgetAgent::refill(const WorkspaceId &Workspace, TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (Draining || Now < Budget.NextRefill ||
      roleFor(Budget) == GrantRole::Borrower)
    return;
  const Money Free = Budget.Grant.free() + Loans.free(Workspace);
  const Money Needed = Budget.Grant.lowWater(Policy, Now);
  if (Free < Needed && Now >= Budget.NextReserveDraw)
    draw(Workspace, Now);
  // With the store unreachable, a loan replaces the draw before requests wait.
  // Custodians would only pass their reserves back and forth.
  if (Deps.Store.failingSince() && roleFor(Budget) == GrantRole::Holder &&
      Free < Money(Needed.micros() / LoanTriggerDivisor))
    requestLoan(Workspace, Money(1), Needed - Free, Now);
}

void BudgetAgent::dropGrant(const WorkspaceId &Workspace, TimePoint Now) {
  Book &Budget = Books[Workspace];
  Budget.Grant.fenced();
  ++Budget.LostGrants;
  Budget.ReturnPending = false;
  serveWaiting(Workspace, Now);
}

void BudgetAgent::returnFreeBudget(const WorkspaceId &Workspace,
                                   TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (Budget.Grant.lifecycle().changing()) {
    Budget.ReturnPending = true;
    return;
  }
  Budget.ReturnPending = false;
  Budget.NextRefill = Now + RefillPause;
  const Money Amount = Budget.Grant.free();
  if (!Amount.isZero() && Budget.Waiting.empty())
    returnAmount(Workspace, Amount, Now);
}

void BudgetAgent::returnAmount(const WorkspaceId &Workspace, Money Amount,
                               TimePoint Now) {
  Book &Budget = Books[Workspace];
  if (Budget.Grant.lifecycle().state() != GrantState::Held)
    return;
  ReturnGrant Change;
  Change.Workspace = Workspace;
  Change.Holder = holder(Budget);
  Change.Amount = Amount;
  Budget.Grant.returnSent(Amount);
  Change.Sequence = Budget.Grant.sequence();
  const std::uint64_t Number =
      submit(Workspace, Change, Now,
             [this, Workspace](const OperationResult &Outcome, TimePoint At) {
               onReturned(Workspace, Outcome, At);
             });
  if (Number == 0)
    dropGrant(Workspace, Now);
}

void BudgetAgent::onReturned(const WorkspaceId &Workspace,
                             const OperationResult &Outcome, TimePoint Now) {
  Book &Budget = Books[Workspace];
  const bool Known = Outcome.Status == OperationStatus::Applied ||
                     Outcome.Status == OperationStatus::Repeated;
  if (!Known)
    dropGrant(Workspace, Now);
  else if (Outcome.Amount > Money())
    Budget.Grant.returnOvertaken(Outcome.Amount);
  else
    Budget.Grant.returned();
  serveWaiting(Workspace, Now);
  if (!Budget.Waiting.empty())
    draw(Workspace, Now);
  else if (Draining || Budget.ReturnPending)
    returnFreeBudget(Workspace, Now);
}

// Claims.

void BudgetAgent::claim(const RequestId &Request, const Claim &Requested,
                        TimePoint Now) {
  const auto Found = Reservations.find(Request);
  if (Found == Reservations.end() || !Deps.Store.available(Now)) {
    Deps.Listener.onClaimed(Request, ClaimOutcome::Unavailable, {}, Now);
    return;
  }
  const WorkspaceId Workspace = Found->second.Workspace;
  Claim Opened = Requested;
  Opened.Request = Request;
  Opened.Holder = holder(Books[Workspace]);
  PendingClaim Item{Workspace, Opened.Key, 0, std::nullopt};
  Item.Timeout = Deps.Timers.schedule(
      Now + Policy.ClaimWait,
      [this, Request](TimePoint At) { expireClaim(Request, At); });
  Found->second.Opened = Opened;
  Claims.emplace(Request, std::move(Item));
  const std::uint64_t Number = Router.submit(
      slot(Workspace), OpenClaim{Workspace, Opened}, Now,
      [this, Request](const OperationResult &Outcome, TimePoint At) {
        onClaimResult(Request, Outcome, At);
      });
  const auto Pending = Claims.find(Request);
  if (Pending == Claims.end())
    return;
  Pending->second.Operation = Number;
  if (Number == 0)
    expireClaim(Request, Now);
}

void BudgetAgent::onClaimResult(const RequestId &Request,
                                const OperationResult &Outcome, TimePoint Now) {
  const auto Found = Claims.find(Request);
  if (Found == Claims.end())
    return;
  const PendingClaim Item = std::move(Found->second);
  Claims.erase(Found);
  const bool Opened = Outcome.Status == OperationStatus::Applied ||
                      Outcome.Status == OperationStatus::Repeated;
  const bool Abandoned = !Item.Timeout || !Reservations.contains(Request);
  if (Item.Timeout)
    Deps.Timers.cancel(*Item.Timeout);
  if (Abandoned) {
    if (Opened)
      releaseClaim(Item.Workspace, Item.Key, Request, Now);
    return;
  }
  ClaimOutcome Answer = ClaimOutcome::Unavailable;
  if (Opened)
    Answer = ClaimOutcome::Opened;
  else if (Outcome.Status == OperationStatus::ClaimHeld)
    Answer = ClaimOutcome::Held;
  else if (Outcome.Status == OperationStatus::ClaimFinished)
    Answer = ClaimOutcome::Finished;
  else if (Outcome.Status == OperationStatus::KeyReused)
    Answer = ClaimOutcome::KeyReused;
  if (!Opened)
    Reservations.at(Request).Opened.reset();
  Deps.Listener.onClaimed(Request, Answer, Outcome.Answer, Now);
}

void BudgetAgent::expireClaim(const RequestId &Request, TimePoint Now) {
  const auto Found = Claims.find(Request);
  if (Found == Claims.end())
    return;
  if (Found->second.Timeout)
    Deps.Timers.cancel(*Found->second.Timeout);
  Found->second.Timeout.reset();
  const std::uint64_t Number = Found->second.Operation;
  if (Number == 0 || Router.withdraw(Number))
    Claims.erase(Found);
  const auto Reserved = Reservations.find(Request);
  if (Reserved != Reservations.end())
    Reserved->second.Opened.reset();
  Deps.Listener.onClaimed(Request, ClaimOutcome::Unavailable, {}, Now);
}

void BudgetAgent::releaseClaim(const WorkspaceId &Workspace,
                               const IdempotencyKey &Key,
                               const RequestId &Request, TimePoint Now) {
  Router.submit(slot(Workspace), ReleaseClaim{Workspace, Key, Request}, Now,
                [](const OperationResult &, TimePoint) {});
}

// Bills.

void BudgetAgent::settle(const RequestId &Request, Bill Settled,
                         TimePoint Now) {
  const auto Found = Reservations.find(Request);
  if (Found == Reservations.end()) {
    Deps.Listener.onSettled(Request, {}, Now);
    return;
  }
  const WorkspaceId Workspace = Found->second.Workspace;
  const std::uint64_t Number =
      addBills(Request, std::move(Settled), Now).front();
  Bills.at(Number).HoldTimer = Deps.Timers.schedule(
      Now + Policy.AnswerHold,
      [this, Number](TimePoint At) { expireAnswerHold(Number, At); });
  submitBill(Number, Now);
  serveWaiting(Workspace, Now);
  refill(Workspace, Now);
}

void BudgetAgent::settleReleased(const RequestId &Request, Bill Settled,
                                 TimePoint Now) {
  const auto Found = Reservations.find(Request);
  if (Found == Reservations.end())
    return;
  const WorkspaceId Workspace = Found->second.Workspace;
  for (const std::uint64_t Number :
       addBills(Request, std::move(Settled), Now)) {
    Bills.at(Number).Answered = true;
    Bills.at(Number).Released = true;
    submitBill(Number, Now);
  }
  serveWaiting(Workspace, Now);
  refill(Workspace, Now);
}

std::vector<std::uint64_t> BudgetAgent::addBills(const RequestId &Request,
                                                 Bill Settled, TimePoint Now) {
  const auto Found = Reservations.find(Request);
  const Reservation Item = std::move(Found->second);
  Reservations.erase(Found);
  if (!FirstSettled)
    FirstSettled = Now;
  Settled.Cost = std::min(Settled.Cost, Item.Bound);
  const std::vector<Money> Costs = shareCost(Item.Parts, Settled.Cost);
  for (std::size_t Index = 0; Index < Costs.size(); ++Index)
    chargePart(Item, Item.Parts[Index], Costs[Index], Now);
  std::vector<std::uint64_t> Numbers;
  for (std::pair<Bill, std::size_t> &Part : splitBill(Settled, Costs))
    Numbers.push_back(addBill(Request, Item, Item.Parts[Part.second],
                              std::move(Part.first), Now));
  return Numbers;
}

void BudgetAgent::chargePart(const Reservation &Item, const ChargePart &Part,
                             Money Cost, TimePoint Now) {
  Book &Budget = Books[Item.Workspace];
  if (Part.Borrowed) {
    Loans.credit(Item.Workspace, *Part.Borrowed, Part.Amount - Cost);
    Budget.Grant.recordSpending(Cost, Policy, Now);
  } else if (Item.LostGrants == Budget.LostGrants) {
    Budget.Grant.settle(Part.Amount, Cost, Policy, Now);
  }
}

std::uint64_t BudgetAgent::addBill(const RequestId &Request,
                                   const Reservation &Item,
                                   const ChargePart &Part, Bill Settled,
                                   TimePoint Now) {
  Settled.Holder =
      Part.Borrowed ? Part.Borrowed->Lender
                    : Incarnation{Self.Instance, Self.Epoch + Item.LostGrants};
  const std::uint64_t Number = ++LastBill;
  PendingBill Waiting;
  Waiting.Request = Request;
  Waiting.Settled = std::move(Settled);
  Waiting.LostGrants = Item.LostGrants;
  Waiting.Borrowed = Part.Borrowed.has_value();
  Waiting.CarryTimer = Deps.Timers.schedule(
      Now + Policy.CarryAfter,
      [this, Number](TimePoint At) { carryBill(Number, At); });
  Bills.emplace(Number, std::move(Waiting));
  return Number;
}

void BudgetAgent::submitBill(std::uint64_t Number, TimePoint Now) {
  const PendingBill &Item = Bills.at(Number);
  const std::uint64_t Submitted =
      submit(Item.Settled.Workspace, CommitBill{Item.Settled, Item.Released},
             Now, [this, Number](const OperationResult &Outcome, TimePoint At) {
               onBillResult(Number, Outcome, At);
             });
  const auto Found = Bills.find(Number);
  if (Found == Bills.end())
    return;
  Found->second.Operation = Submitted;
  if (Submitted != 0)
    return;
  if (Found->second.Released)
    Deps.Timers.schedule(Now + RefillPause, [this, Number](TimePoint At) {
      if (Bills.contains(Number))
        submitBill(Number, At);
    });
  else
    expireAnswerHold(Number, Now);
}

void BudgetAgent::onBillResult(std::uint64_t Number,
                               const OperationResult &Outcome, TimePoint Now) {
  const auto Found = Bills.find(Number);
  if (Found == Bills.end())
    return;
  PendingBill &Item = Found->second;
  if (Outcome.Status == OperationStatus::Fenced && Item.Released) {
    // The operation was sent before the answer was released; only with the flag
    // does the ledger write off the missing amount.
    submitBill(Number, Now);
    return;
  }
  Settlement Done;
  Done.Order = Outcome.Order;
  Done.Cost = Outcome.Amount;
  bool Charged = false;
  switch (Outcome.Status) {
  case OperationStatus::Applied:
  case OperationStatus::Repeated:
    Done.Outcome = SettleOutcome::Committed;
    Charged = true;
    break;
  case OperationStatus::BilledBefore:
    Done.Outcome = SettleOutcome::BilledBefore;
    break;
  case OperationStatus::KeyReused:
    Done.Outcome = SettleOutcome::KeyReused;
    break;
  default:
    Done.Outcome = SettleOutcome::Fenced;
    break;
  }
  recordCharge(Item, Charged, Now);
  answerSettled(Item, Done, Now);
  forgetBill(Number, Now);
}

void BudgetAgent::recordCharge(const PendingBill &Item, bool Charged,
                               TimePoint Now) {
  const WorkspaceId Workspace = Item.Settled.Workspace;
  Book &Budget = Books[Workspace];
  if (Item.Borrowed || Item.LostGrants != Budget.LostGrants)
    return;
  if (Charged)
    Budget.Grant.charged(Item.Settled.Cost);
  else
    Budget.Grant.uncharged(Item.Settled.Cost);
  serveWaiting(Workspace, Now);
  if (Draining)
    returnFreeBudget(Workspace, Now);
}

void BudgetAgent::answerSettled(PendingBill &Item, const Settlement &Done,
                                TimePoint Now) {
  if (Item.Answered)
    return;
  Item.Answered = true;
  Deps.Listener.onSettled(Item.Request, Done, Now);
}

void BudgetAgent::forgetBill(std::uint64_t Number, TimePoint) {
  const auto Found = Bills.find(Number);
  if (Found == Bills.end())
    return;
  PendingBill &Item = Found->second;
  if (Item.HoldTimer)
    Deps.Timers.cancel(*Item.HoldTimer);
  if (Item.CarryTimer)
    Deps.Timers.cancel(*Item.CarryTimer);
  for (const InstanceId &Peer : Item.Asked)
    Deps.Peers.send(Peer, ForgetBills{{Number}});
  Bills.erase(Found);
}

void BudgetAgent::expireAnswerHold(std::uint64_t Number, TimePoint Now) {
  const auto Found = Bills.find(Number);
  if (Found == Bills.end() || Found->second.Answered)
    return;
  PendingBill &Item = Found->second;
  answerSettled(Item, {}, Now);
  // Keep the bill if it records an answer, because its request cannot run
  // again.
  const bool Dropped = !Item.Settled.Answer && Item.Asked.empty() &&
                       (Item.Operation == 0 || Router.withdraw(Item.Operation));
  if (!Dropped)
    return;
  recordCharge(Item, false, Now);
  forgetBill(Number, Now);
}

std::vector<InstanceId>
BudgetAgent::carrierCandidates(const PendingBill &Item) {
  std::vector<const Member *> Others;
  for (const Member &Peer : Members.members())
    if (!Peer.Leaving && Peer.Domain != Domain &&
        !Item.Asked.contains(Peer.Identity.Instance))
      Others.push_back(&Peer);
  Deps.Source.shuffle(Others);
  // First one peer of each failure domain, then the others.
  std::vector<InstanceId> Chosen;
  std::set<FailureDomain> Seen;
  std::vector<InstanceId> Rest;
  for (const Member *Peer : Others) {
    const bool NewDomain = Seen.insert(Peer->Domain).second;
    (NewDomain ? Chosen : Rest).push_back(Peer->Identity.Instance);
  }
  Chosen.insert(Chosen.end(), Rest.begin(), Rest.end());
  return Chosen;
}

void BudgetAgent::carryBill(std::uint64_t Number, TimePoint Now) {
  const auto Found = Bills.find(Number);
  if (Found == Bills.end())
    return;
  PendingBill &Item = Found->second;
  // A withheld answer is not billed, so its bill must not be copied.
  const bool Withheld = Item.Answered && !Item.Released;
  if (Withheld || Item.Carriers.size() >= Policy.Carriers)
    return;
  const std::size_t Missing = Policy.Carriers - Item.Carriers.size();
  std::vector<InstanceId> Candidates = carrierCandidates(Item);
  Candidates.resize(std::min(Candidates.size(), Missing));
  Item.CarryTimer =
      Deps.Timers.schedule(Now + CarrierTimeout, [this, Number](TimePoint At) {
        carryBill(Number, At);
      });
  for (const InstanceId &Peer : Candidates) {
    Item.Asked.insert(Peer);
    Deps.Peers.send(Peer, CarryBill{Number, Item.Settled});
  }
}

void BudgetAgent::onCarried(const InstanceId &From, const BillCarried &Message,
                            TimePoint Now) {
  const auto Found = Bills.find(Message.Number);
  if (Found == Bills.end()) {
    Deps.Peers.send(From, ForgetBills{{Message.Number}});
    return;
  }
  PendingBill &Item = Found->second;
  Item.Carriers.insert(From);
  if (Item.Carriers.size() < Policy.Carriers || Item.Answered)
    return;
  Item.Released = true;
  Router.markAnswerReleased(Item.Operation);
  Settlement Done;
  Done.Outcome = SettleOutcome::Carried;
  Done.Cost = Item.Settled.Cost;
  answerSettled(Item, Done, Now);
}

// Peers, membership and shutdown.

void BudgetAgent::onPeerMessage(const InstanceId &From,
                                const PeerMessage &Message, TimePoint Now) {
  LastHeard[From] = Now;
  if (const auto *Submit = std::get_if<SubmitOperations>(&Message)) {
    Router.onSubmit(From, *Submit, Now);
  } else if (const auto *Results = std::get_if<OperationResults>(&Message)) {
    Router.onResults(From, *Results, Now);
  } else if (const auto *Recall = std::get_if<RecallGrant>(&Message)) {
    const auto Found = Books.find(Recall->Workspace);
    if (Found != Books.end() && holder(Found->second) == Recall->Holder)
      returnFreeBudget(Recall->Workspace, Now);
  } else if (const auto *Carry = std::get_if<CarryBill>(&Message)) {
    CopiedBills.onCarry(From, *Carry, Now);
  } else if (const auto *Carried = std::get_if<BillCarried>(&Message)) {
    onCarried(From, *Carried, Now);
  } else if (const auto *Forget = std::get_if<ForgetBills>(&Message)) {
    CopiedBills.onForget(From, *Forget);
  } else if (const auto *Requested = std::get_if<LoanRequest>(&Message)) {
    onLoanRequest(From, *Requested, Now);
  } else if (const auto *Received = std::get_if<Loan>(&Message)) {
    onLoan(From, *Received, Now);
  } else if (const auto *Digest = std::get_if<PeerDigest>(&Message)) {
    if (Digest->Draining)
      DrainingPeers.insert(From);
    else
      DrainingPeers.erase(From);
  } else if (const auto *Handover = std::get_if<OperationsHandover>(&Message)) {
    Router.onHandover(*Handover, Now);
  }
}

void BudgetAgent::onPeerUnreachable(const InstanceId &Peer, TimePoint Now) {
  LastHeard.erase(Peer);
  Router.onPeerUnreachable(Peer, Now);
}

void BudgetAgent::onMembers(std::vector<Member> Listed, TimePoint Now) {
  const bool Changed = Listed != Members.members();
  Members.update(std::move(Listed));
  for (auto &[Workspace, Budget] : Books) {
    if (!Changed)
      break;
    if (Members.members().size() <= SmallFleet)
      Budget.Grant.setRounding(roundingPosition(Workspace));
    updateCustodians(Workspace, Budget);
    updateReserve(Budget, Now);
  }
  Router.onMembersUpdated(Now);
  Reclaimer.onMembersUpdated(Now);
}

void BudgetAgent::drain(TimePoint Now) {
  Draining = true;
  std::vector<WorkspaceId> Workspaces;
  for (const auto &Entry : Books)
    Workspaces.push_back(Entry.first);
  for (const WorkspaceId &Workspace : Workspaces)
    forwardLoans(Workspace, Now);
  const std::vector<InstanceId> Successors = successors(Now);
  const bool StoreUnreachable = Deps.Store.failingSince().has_value();
  if (StoreUnreachable && Policy.Lending)
    lendToSuccessors(Successors, Now);
  for (const WorkspaceId &Workspace : Workspaces)
    returnFreeBudget(Workspace, Now);
  if (StoreUnreachable)
    Router.handOver({Successors.begin(),
                     Successors.begin() +
                         static_cast<std::ptrdiff_t>(
                             std::min(Successors.size(), HandoverCopies))});
  CopiedBills.commitAll(Now);
}

std::vector<InstanceId> BudgetAgent::otherMembers() const {
  std::vector<InstanceId> Others;
  for (const Member &Peer : Members.members())
    if (Peer.Identity.Instance != Self.Instance)
      Others.push_back(Peer.Identity.Instance);
  return Others;
}

std::vector<InstanceId> BudgetAgent::successors(TimePoint Now) {
  std::vector<InstanceId> Peers = otherMembers();
  std::erase_if(Peers, [this, Now](const InstanceId &Peer) {
    return !isStaying(*Members.find(Peer), Now);
  });
  Deps.Source.shuffle(Peers);
  return Peers;
}

void BudgetAgent::lendToSuccessors(const std::vector<InstanceId> &Successors,
                                   TimePoint Now) {
  if (Successors.empty())
    return;
  for (auto &[Workspace, Budget] : Books) {
    const std::int64_t Free = Budget.Grant.free().micros();
    const std::int64_t Count = static_cast<std::int64_t>(Successors.size());
    // The first successor also gets the remainder of the division.
    Money Amount(Free / Count + Free % Count);
    for (const InstanceId &Peer : Successors) {
      const Money Lent = Budget.Grant.lend(Amount, Amount);
      Amount = Money(Free / Count);
      if (!Lent.isZero())
        Deps.Peers.send(Peer,
                        loanOf(Workspace, {holder(Budget), Now}, Lent, Now));
    }
  }
}

bool BudgetAgent::drained() const {
  return Draining && Bills.empty() && Router.pending() == 0 &&
         CopiedBills.carried() == 0 && held().isZero();
}

bool BudgetAgent::serving(TimePoint Now) const {
  if (Draining)
    return false;
  const std::optional<TimePoint> Failing = Deps.Store.failingSince();
  if (!Failing || Now < *Failing + ShortOutage)
    return true;
  return Now < *Failing + Policy.OfflineService &&
         reachableCarriers(Now) >= Policy.Carriers;
}

std::size_t BudgetAgent::reachableCarriers(TimePoint Now) const {
  std::size_t Count = 0;
  for (const Member &Peer : Members.members())
    if (Peer.Domain != Domain && !Peer.Leaving &&
        heardRecently(Peer.Identity.Instance, Now))
      ++Count;
  return Count;
}

bool BudgetAgent::isStaying(const Member &Peer, TimePoint Now) const {
  return !Peer.Leaving && !DrainingPeers.contains(Peer.Identity.Instance) &&
         heardRecently(Peer.Identity.Instance, Now);
}

bool BudgetAgent::heardRecently(const InstanceId &Peer, TimePoint Now) const {
  const auto Found = LastHeard.find(Peer);
  return Found != LastHeard.end() && Now < Found->second + PeerFreshness;
}

std::string BudgetAgent::describe(const WorkspaceId &Workspace) const {
  const auto Found = Books.find(Workspace);
  if (Found == Books.end())
    return "workspace " + Workspace.Value + " without a grant";
  const Book &Budget = Found->second;
  const AccountBalance Balance =
      Budget.Forecast.balance().value_or(AccountBalance());
  return "workspace " + Workspace.Value + " stated " +
         std::to_string(Budget.TargetPrepaid.micros()) + " held " +
         std::to_string(Budget.Grant.held().micros()) + " free " +
         std::to_string(Budget.Grant.free().micros()) + " borrowed " +
         std::to_string(Loans.free(Workspace).micros()) + " unsettled " +
         (Budget.Unsettled ? std::to_string(Budget.Unsettled->micros())
                           : std::string("unknown")) +
         " waiting " + std::to_string(Budget.Waiting.size()) +
         " record prepaid " + std::to_string(Balance.Prepaid.micros()) +
         " settled " + std::to_string(Balance.Settled.micros()) + " granted " +
         std::to_string(Balance.Granted.micros());
}

std::size_t BudgetAgent::pendingOperations() const { return Router.pending(); }

std::size_t BudgetAgent::carriedBills() const { return CopiedBills.carried(); }

Money BudgetAgent::free() const {
  Money Sum;
  for (const auto &[Workspace, Budget] : Books)
    Sum += Budget.Grant.free() + Loans.free(Workspace);
  return Sum;
}

Money BudgetAgent::held() const {
  Money Sum;
  for (const auto &Entry : Books)
    Sum += Entry.second.Grant.held();
  return Sum;
}

} // namespace bronzeward
