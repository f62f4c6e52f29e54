#pragma once

#include "bronzeward/src/Budget/BillCarrier.h"
#include "bronzeward/src/Budget/BudgetOutlook.h"
#include "bronzeward/src/Budget/GrantBook.h"
#include "bronzeward/src/Budget/HolderWatch.h"
#include "bronzeward/src/Budget/LoanBook.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace bronzeward {

/// \addtogroup Budget
/// @{

/// \brief What became of a request for budget.
enum class ReserveOutcome {
  Granted,
  /// The answer follows through \ref BudgetListener.
  Waiting,
  /// The record shows that the prepaid amount does not cover the request.
  Exhausted,
  /// What is left is set aside, here or at other instances; it may come back.
  Held,
  /// The store has been away for longer than the policy serves without it.
  Unavailable,
};

/// \brief What became of a claim.
enum class ClaimOutcome {
  Opened,
  /// Another request has the claim; whether it ran is not known here.
  Held,
  /// The claimed request finished before; its answer is attached if kept.
  Finished,
  KeyReused,
  /// Not durable in time; the request has not run.
  Unavailable,
};

/// \brief What becomes of the claim of an abandoned request.
enum class ClaimFate {
  /// No byte was sent: another request may have the key.
  Release,
  /// The request may have run: the key stays taken.
  Keep,
};

/// \brief What became of a bill.
enum class SettleOutcome {
  /// Durable in the ledger.
  Committed,
  /// Held by enough peers, each of which will commit it.
  Carried,
  /// The key was billed before; this request costs nothing.
  BilledBefore,
  KeyReused,
  /// The grant is gone and the budget does not cover the bill.
  Fenced,
  /// Not known within the policy's time.
  Undecided,
};

/// \brief A settled request.
struct Settlement {
  SettleOutcome Outcome = SettleOutcome::Undecided;
  Money Cost;
  std::uint64_t Order = 0;
};

/// \brief Receives answers of the \ref BudgetAgent.
class BudgetListener {
public:
  virtual ~BudgetListener() = default;
  virtual void onReserved(const RequestId &Request, ReserveOutcome Outcome,
                          TimePoint Now) = 0;
  virtual void onClaimed(const RequestId &Request, ClaimOutcome Outcome,
                         const std::optional<RecordedAnswer> &Answer,
                         TimePoint Now) = 0;
  virtual void onSettled(const RequestId &Request, const Settlement &Done,
                         TimePoint Now) = 0;
};

/// \brief Interfaces through which a \ref BudgetAgent reaches the outside.
struct BudgetSurroundings {
  StoreClient &Store;
  PeerPort &Peers;
  TimerQueue &Timers;
  Random &Source;
  BudgetListener &Listener;
};

/// \brief One instance's access to every workspace's prepaid budget.
///
/// A request reserves the most it can cost, claims its key where it may not be
/// repeated, and settles what it did cost. docs/BUDGETS.md gives the protocol
/// and the argument for each promise.
class BudgetAgent {
public:
  /// \param Life this instance and its registration number, shifted by
  /// \ref RegistrationShift.
  BudgetAgent(Incarnation Life, FailureDomain Home,
              const BudgetPolicy &Settings, BudgetSurroundings Parts);
  BudgetAgent(const BudgetAgent &) = delete;
  BudgetAgent &operator=(const BudgetAgent &) = delete;

  /// \brief Sets Bound aside for a request.
  ReserveOutcome reserve(const RequestId &Request, const WorkspaceId &Workspace,
                         Money Bound, TimePoint Now);
  /// \brief Gives up a reservation, granted or waiting.
  /// \param Fate what becomes of the request's claim, if it has one.
  void abandon(const RequestId &Request, ClaimFate Fate, TimePoint Now);
  /// \brief Makes the right to run a request durable.
  void claim(const RequestId &Request, const Claim &Wanted, TimePoint Now);
  /// \brief Bills a request and ends its reservation.
  /// \param Settled bill without holder, order and write-off; its cost is
  /// lowered to the reservation where it exceeds it.
  void settle(const RequestId &Request, Bill Settled, TimePoint Now);
  /// \brief Bills a request whose whole answer the caller already has. The
  /// listener hears nothing more; until the bill is durable its cost stays
  /// charged to the grant.
  void settleReleased(const RequestId &Request, Bill Settled, TimePoint Now);
  /// \brief States a workspace's whole prepaid amount; the record follows where
  /// it is higher. Draws a first grant where the policy says so.
  void raisePrepaid(const WorkspaceId &Workspace, Money Total, TimePoint Now);
  /// \brief Returns what is not needed here, where the policy says so.
  void returnExcess(TimePoint Now);

  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now);
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now);
  /// \brief Learns that the store answers again.
  void onStoreRegained(TimePoint Now) { Router.onStoreRegained(Now); }
  /// \brief Takes in a fresh list of live instances.
  void onMembers(std::vector<Member> Listed, TimePoint Now);
  /// \brief Returns every grant and commits carried bills before a stop.
  void drain(TimePoint Now);

  /// \returns whether nothing of this instance's is left undone.
  [[nodiscard]] bool drained() const;
  /// \returns whether new requests may be taken.
  [[nodiscard]] bool serving(TimePoint Now) const;
  [[nodiscard]] const Membership &membership() const { return Members; }
  [[nodiscard]] std::size_t pendingOperations() const;
  [[nodiscard]] std::size_t carriedBills() const;
  /// \returns what is known of a workspace's budget, for the log.
  [[nodiscard]] std::string describe(const WorkspaceId &Workspace) const;
  /// \returns the sum of grants held here, over all workspaces.
  [[nodiscard]] Money held() const;

private:
  struct WaitingReservation {
    RequestId Request;
    Money Bound;
    TimerQueue::Handle Timeout;
  };
  struct Book {
    GrantBook Grant;
    std::uint64_t LostGrants = 0;
    std::deque<WaitingReservation> Waiting;
    bool RedrawScheduled = false;
    TimePoint NextRefill;
    bool ReturnWanted = false;
    /// Whether the first grant is to be drawn before it is asked for.
    bool DrawAhead = false;
    /// Total last stated for the record.
    Money Stated;
    /// When peers may be asked for a loan again.
    TimePoint NextLoanRequest;
    /// Until when neither the record nor the peers are expected to have any,
    /// so that requests are refused at once.
    TimePoint ShortUntil;
    /// Prepaid and unsettled as the record last showed; it only falls until a
    /// higher total is stated.
    std::optional<Money> Unsettled;
    BudgetOutlook Outlook;
  };
  struct Reservation {
    WorkspaceId Workspace;
    Money Bound;
    std::uint64_t LostGrants = 0;
    bool Granted = false;
    /// Whose grant it is charged to, where that is not this instance's.
    std::optional<LoanOrigin> Borrowed;
    std::optional<Claim> Opened;
  };
  struct PendingClaim {
    WorkspaceId Workspace;
    IdempotencyKey Key;
    std::uint64_t Operation = 0;
    std::optional<TimerQueue::Handle> Timeout;
  };
  struct PendingBill {
    RequestId Request;
    Bill Settled;
    std::uint64_t LostGrants = 0;
    /// Whether it is charged to another instance's grant.
    bool Borrowed = false;
    std::uint64_t Operation = 0;
    std::optional<TimerQueue::Handle> Hold;
    std::optional<TimerQueue::Handle> Carry;
    std::set<InstanceId> Asked;
    std::set<InstanceId> Carriers;
    /// Whether the listener has its answer.
    bool Answered = false;
    bool Released = false;
  };

  /// \returns a workspace's book, made where missing.
  Book &book(const WorkspaceId &Workspace);
  /// \returns where this instance stands in rounding a workspace's reserve.
  [[nodiscard]] double roundingPlace(const WorkspaceId &Workspace) const;
  [[nodiscard]] Incarnation holder(const Book &Budget) const;
  /// \returns whether a holder is this life of this instance, be its grant
  /// present or lost.
  [[nodiscard]] bool ofThisLife(const Incarnation &Holder) const;
  [[nodiscard]] SlotId slot(const WorkspaceId &Workspace) const;

  void submitStated(const WorkspaceId &Workspace, Money Total, TimePoint Now);
  std::uint64_t addBill(const RequestId &Request, Bill Settled, TimePoint Now);
  /// Submits an operation on a workspace's account and learns from its result
  /// how long the budget lasts.
  std::uint64_t submit(const WorkspaceId &Workspace, Operation Change,
                       TimePoint Now, OperationRouter::Handler Done);
  [[nodiscard]] ReserveOutcome shortage(const Book &Budget, Money Bound) const;
  /// Sends a loan to its lender, or to a successor where that is leaving.
  /// \returns whether there was anyone to send it to.
  bool passOn(const Loan &Borrowed, TimePoint Now);
  void passOnLoans(const WorkspaceId &Workspace, TimePoint Now);
  void giveBackLoans(TimePoint Now);
  void dropOldLoans(TimePoint Now);
  /// Lends what is free here to the successors, in equal parts.
  void lendRemainders(const std::vector<InstanceId> &Successors, TimePoint Now);
  [[nodiscard]] std::vector<InstanceId> otherMembers() const;
  /// \returns peers that stay and were heard lately, in random order.
  [[nodiscard]] std::vector<InstanceId> successors(TimePoint Now);
  void returnAmount(const WorkspaceId &Workspace, Money Amount, TimePoint Now);
  /// Sets Bound aside in this instance's grant or in a loan.
  [[nodiscard]] bool setAside(Reservation &Item);
  void askForLoan(const WorkspaceId &Workspace, Money Least, Money Wanted,
                  TimePoint Now);
  /// Asks for a loan for the first request that still waits.
  void askForWaiting(const WorkspaceId &Workspace, TimePoint Now);
  void onLoanRequest(const InstanceId &From, const LoanRequest &Message,
                     TimePoint Now);
  void onLoan(const Loan &Message, TimePoint Now);
  void draw(const WorkspaceId &Workspace, TimePoint Now);
  /// \returns the share of the free budget that one draw takes at most.
  [[nodiscard]] std::uint32_t drawShare(const Book &Budget) const;
  void onDrawn(const WorkspaceId &Workspace, const OperationResult &Outcome,
               TimePoint Now);
  void onInsufficient(const WorkspaceId &Workspace,
                      const OperationResult &Outcome, TimePoint Now);
  void scheduleRedraw(const WorkspaceId &Workspace, TimePoint Now);
  void serveWaiting(const WorkspaceId &Workspace, TimePoint Now);
  void refuseWaiting(const WorkspaceId &Workspace, ReserveOutcome Outcome,
                     TimePoint Now);
  void expireWaiting(const WorkspaceId &Workspace, const RequestId &Request,
                     TimePoint Now);
  void refill(const WorkspaceId &Workspace, TimePoint Now);
  void loseGrant(const WorkspaceId &Workspace, TimePoint Now);
  void giveBack(const WorkspaceId &Workspace, TimePoint Now);
  void onReturned(const WorkspaceId &Workspace, const OperationResult &Outcome,
                  TimePoint Now);

  void onClaimResult(const RequestId &Request, const OperationResult &Outcome,
                     TimePoint Now);
  void expireClaim(const RequestId &Request, TimePoint Now);
  void releaseClaim(const WorkspaceId &Workspace, const IdempotencyKey &Key,
                    const RequestId &Request, TimePoint Now);

  void submitBill(std::uint64_t Number, TimePoint Now);
  void onBillResult(std::uint64_t Number, const OperationResult &Outcome,
                    TimePoint Now);
  void expireHold(std::uint64_t Number, TimePoint Now);
  void carryBill(std::uint64_t Number, TimePoint Now);
  void onCarried(const InstanceId &From, const BillCarried &Message,
                 TimePoint Now);
  void answerSettled(PendingBill &Item, const Settlement &Done, TimePoint Now);
  void forgetBill(std::uint64_t Number, TimePoint Now);
  void noteCharge(const PendingBill &Item, bool Charged, TimePoint Now);

  [[nodiscard]] std::vector<InstanceId>
  carrierCandidates(const PendingBill &Item);
  /// \returns whether a peer was heard lately and is not about to stop.
  [[nodiscard]] bool stays(const Member &Peer, TimePoint Now) const;
  [[nodiscard]] bool heard(const InstanceId &Peer, TimePoint Now) const;
  [[nodiscard]] std::size_t reachableCarriers(TimePoint Now) const;

  Incarnation Self;
  FailureDomain Domain;
  const BudgetPolicy &Policy;
  BudgetSurroundings Around;
  Membership Members;
  OperationRouter Router;
  HolderWatch Watch;
  BillCarrier Carrier;
  std::map<WorkspaceId, Book> Books;
  LoanBook Loans;
  std::optional<TimePoint> FirstSettled;
  std::map<RequestId, Reservation> Reservations;
  std::map<RequestId, PendingClaim> Claims;
  std::map<std::uint64_t, PendingBill> Bills;
  std::map<InstanceId, TimePoint> LastHeard;
  /// Peers whose last digest told that they are draining; the list of members
  /// does not change while the store is away.
  std::set<InstanceId> SaidLeaving;
  std::uint64_t LastBill = 0;
  bool Draining = false;
};

/// @}

} // namespace bronzeward
