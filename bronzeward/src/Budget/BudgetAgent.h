#pragma once

#include "bronzeward/src/Budget/BudgetForecast.h"
#include "bronzeward/src/Budget/CarriedBills.h"
#include "bronzeward/src/Budget/ChargeParts.h"
#include "bronzeward/src/Budget/GrantBook.h"
#include "bronzeward/src/Budget/GrantCustody.h"
#include "bronzeward/src/Budget/GrantReclaimer.h"
#include "bronzeward/src/Budget/LoanBook.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace bronzeward {

/// \addtogroup Budget
/// @{

/// \brief Result of a request for budget.
enum class ReserveOutcome {
  Granted,
  /// The request is queued; \ref BudgetListener::onReserved follows.
  Waiting,
  /// The prepaid amount in the ledger does not cover the request.
  Exhausted,
  /// The rest of the budget is granted to instances or reserved by other
  /// requests; it may become available again.
  Held,
  /// This instance serves no new requests, or the store is unreachable and no
  /// grant covers the request.
  Unavailable,
};

/// \brief Result of a claim on an idempotency key.
enum class ClaimOutcome {
  Opened,
  /// Another request holds the claim; it is unknown whether that one ran.
  Held,
  /// The claimed request has finished; its answer is attached if it was kept.
  Finished,
  /// The key was used for a request of different content.
  KeyReused,
  /// The claim was not durable in time; the request has not run.
  Unavailable,
};

/// \brief What to do with the claim of an abandoned request.
enum class ClaimDisposition {
  /// Nothing was sent to an upstream: another request may claim the key.
  Release,
  /// The request may have run: the key stays claimed.
  Keep,
};

/// \brief Result of a bill.
enum class SettleOutcome {
  /// The bill is durable in the ledger.
  Committed,
  /// Enough peers hold a copy, each of which will commit it.
  Carried,
  /// The key was billed before; this request costs nothing.
  BilledBefore,
  /// The key was billed for a request of different content.
  KeyReused,
  /// The grant was reclaimed and the free budget does not cover the bill.
  Fenced,
  /// The result was not known before \ref BudgetPolicy::AnswerHold ended.
  Undecided,
};

/// \brief Result and cost of a settled request.
struct Settlement {
  SettleOutcome Outcome = SettleOutcome::Undecided;
  Money Cost;
  std::uint64_t Order = 0;
};

/// \brief Receives the results of a \ref BudgetAgent.
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

/// \brief Counts of the loans between instances since the start.
struct LoanCounters {
  /// Messages that ask a peer for a loan.
  std::uint64_t Requested = 0;
  std::uint64_t Received = 0;
  std::uint64_t Granted = 0;
};

/// \brief Interfaces that a \ref BudgetAgent depends on.
struct BudgetDependencies {
  StoreClient &Store;
  PeerPort &Peers;
  TimerQueue &Timers;
  Random &Source;
  BudgetListener &Listener;
};

/// \brief One instance's access to every workspace's prepaid budget.
///
/// A request reserves its maximum cost, claims its idempotency key if it must
/// not run twice, and settles its actual cost. docs/BUDGETS.md describes the
/// protocol and proves its guarantees.
class BudgetAgent {
public:
  /// \param OwnIncarnation name of this instance and its registration number,
  /// shifted by \ref RegistrationShift.
  BudgetAgent(Incarnation OwnIncarnation, FailureDomain OwnDomain,
              const BudgetPolicy &Settings, BudgetDependencies Dependencies);
  BudgetAgent(const BudgetAgent &) = delete;
  BudgetAgent &operator=(const BudgetAgent &) = delete;

  /// \brief Reserves Bound, the maximum cost of a request.
  /// \returns Waiting if the listener gets the result later.
  ReserveOutcome reserve(const RequestId &Request, const WorkspaceId &Workspace,
                         Money Bound, TimePoint Now);
  /// \brief Cancels a reservation, granted or waiting.
  /// \param Disposition what to do with the request's claim, if it has one.
  void abandon(const RequestId &Request, ClaimDisposition Disposition,
               TimePoint Now);
  /// \brief Durably claims the right to run a request.
  void claim(const RequestId &Request, const Claim &Requested, TimePoint Now);
  /// \brief Bills a request and ends its reservation.
  /// \param Settled bill without holder, order and write-off; its cost is
  /// capped at the reserved amount.
  void settle(const RequestId &Request, Bill Settled, TimePoint Now);
  /// \brief Bills a request whose whole answer the caller already has. The
  /// listener is not called; the cost stays charged to the grant until the
  /// bill is durable.
  void settleReleased(const RequestId &Request, Bill Settled, TimePoint Now);
  /// \brief Raises a workspace's prepaid amount in the ledger to Total; no
  /// effect if it is not higher. Draws a first grant if
  /// \ref BudgetPolicy::DrawAhead is set.
  void raisePrepaid(const WorkspaceId &Workspace, Money Total, TimePoint Now);
  /// \brief Returns loans and free budget that this instance does not need.
  void returnExcess(TimePoint Now);

  void onPeerMessage(const InstanceId &From, const PeerMessage &Message,
                     TimePoint Now);
  void onPeerUnreachable(const InstanceId &Peer, TimePoint Now);
  /// \brief Called when the store is reachable again.
  void onStoreRegained(TimePoint Now) { Router.onStoreRegained(Now); }
  /// \brief Updates the list of live instances.
  void onMembers(std::vector<Member> Listed, TimePoint Now);
  /// \brief Returns every grant and commits carried bills before shutdown;
  /// called repeatedly until \ref drained.
  void drain(TimePoint Now);

  /// \returns whether the drain is complete: no bill, operation or grant left.
  [[nodiscard]] bool drained() const;
  /// \returns whether new requests are accepted.
  [[nodiscard]] bool serving(TimePoint Now) const;
  [[nodiscard]] const Membership &membership() const { return Members; }
  [[nodiscard]] std::size_t pendingOperations() const;
  [[nodiscard]] std::size_t carriedBills() const;
  /// \returns the age of the oldest operation without a result; zero if there
  /// is none.
  [[nodiscard]] Duration oldestOperationAge(TimePoint Now) const {
    return Router.oldestAge(Now);
  }
  [[nodiscard]] const LoanCounters &loanCounters() const { return LoanCounts; }
  [[nodiscard]] CommitCounters commitCounters() const {
    return Router.commitCounters();
  }
  [[nodiscard]] std::size_t waitingCommits() const {
    return Router.waitingCommits();
  }
  /// \returns the amount of grants and loans that can be reserved here, over
  /// all workspaces.
  [[nodiscard]] Money free() const;
  /// \returns the workspaces with grants of former incarnations, and their
  /// sums, in the slots that this instance commits.
  [[nodiscard]] const std::map<WorkspaceId, Money> &lostGrants() const {
    return Reclaimer.lostGrants();
  }
  /// \returns the state of a workspace's budget as text for the log.
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
    /// Earliest time of the next draw for the reserve, after one that granted
    /// nothing; draws for waiting requests do not wait for it.
    TimePoint NextReserveDraw;
    bool ReturnPending = false;
    /// Whether to draw the first grant before any request needs it.
    bool DrawAhead = false;
    /// Total passed to the last raisePrepaid(); zero before.
    Money TargetPrepaid;
    /// Earliest time of the next loan request to peers.
    TimePoint NextLoanRequest;
    /// Peers that were not asked yet in the current search for a loan; the next
    /// ones are at the end.
    std::vector<InstanceId> NotAsked;
    /// Whether the current search is scheduled to go on.
    bool LoanRoundScheduled = false;
    /// Sender of the last loan, which may have more.
    InstanceId LastLender;
    /// Requests are refused without waiting until this time, because neither
    /// the ledger nor the peers had budget left.
    TimePoint RefuseUntil;
    /// Prepaid minus settled amount as last read from the ledger; it can only
    /// fall until the prepaid amount is raised.
    std::optional<Money> Unsettled;
    BudgetForecast Forecast;
    /// Rate at which this instance lends, less what is returned.
    SpendingRate Lending;
    /// Time of the first loan that this instance granted.
    std::optional<TimePoint> FirstLent;
    /// Instances that hold the workspace's grants if it needs custody.
    std::vector<InstanceId> Custodians;
    /// Moving average of the bounds of requests.
    Money TypicalBound;
  };
  /// How this instance gets the budget of a workspace.
  enum class GrantRole {
    /// It holds a grant for its own requests.
    Holder,
    /// It holds a grant for all instances.
    Custodian,
    /// It borrows what its requests need.
    Borrower,
  };
  struct Reservation {
    WorkspaceId Workspace;
    Money Bound;
    std::uint64_t LostGrants = 0;
    /// What the reservation is charged to; empty until it is granted.
    std::vector<ChargePart> Parts;
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
    std::optional<TimerQueue::Handle> HoldTimer;
    std::optional<TimerQueue::Handle> CarryTimer;
    std::set<InstanceId> Asked;
    std::set<InstanceId> Carriers;
    /// Whether the listener was called.
    bool Answered = false;
    /// Whether the caller may have the answer, so the bill must be recorded.
    bool Released = false;
  };

  /// \returns a workspace's book, created if missing.
  Book &book(const WorkspaceId &Workspace);
  /// Updates who holds a workspace's grants after a change of the members.
  void updateCustodians(const WorkspaceId &Workspace, Book &Budget);
  /// Adds a request to the moving average of bounds.
  static void recordBound(Book &Budget, Money Bound);
  [[nodiscard]] GrantRole roleFor(const Book &Budget) const;
  [[nodiscard]] bool isCustodian(const Book &Budget) const;
  /// Sets the reserve of the grant from this instance's role.
  void updateReserve(Book &Budget, TimePoint Now) const;
  /// \returns what a custodian of the workspace should hold.
  [[nodiscard]] Money custodianReserve(const Book &Budget, TimePoint Now) const;
  /// \returns the sum of the bounds of waiting requests.
  [[nodiscard]] static Money waitingBounds(const Book &Budget);
  /// Draws for requests that still wait although loans were requested.
  void drawForWaiting(const WorkspaceId &Workspace, TimePoint Now);
  /// \returns this instance's position, from 0 to 1, for rounding a
  /// workspace's reserve; see GrantBook::setRounding().
  [[nodiscard]] double roundingPosition(const WorkspaceId &Workspace) const;
  [[nodiscard]] Incarnation holder(const Book &Budget) const;
  /// \returns whether a holder is this incarnation, even if its grant was
  /// reclaimed since.
  [[nodiscard]] bool isOwnIncarnation(const Incarnation &Holder) const;
  [[nodiscard]] SlotId slot(const WorkspaceId &Workspace) const;

  void submitPrepaid(const WorkspaceId &Workspace, Money Total, TimePoint Now);
  /// Ends a reservation and adds a bill for each part that is charged.
  /// \returns the numbers of the bills, at least one.
  std::vector<std::uint64_t> addBills(const RequestId &Request, Bill Settled,
                                      TimePoint Now);
  /// Charges a cost to a part of a reservation and frees the rest of the part.
  void chargePart(const Reservation &Item, const ChargePart &Part, Money Cost,
                  TimePoint Now);
  /// Adds a bill that is charged to one part of a reservation.
  std::uint64_t addBill(const RequestId &Request, const Reservation &Item,
                        const ChargePart &Part, Bill Settled, TimePoint Now);
  /// Submits an operation on a workspace's account and updates the forecast
  /// from the balance in its result.
  std::uint64_t submit(const WorkspaceId &Workspace, Operation Change,
                       TimePoint Now, OperationRouter::Handler Done);
  [[nodiscard]] ReserveOutcome shortage(const Book &Budget, Money Bound) const;
  /// Sends a loan back to its lender, or to a successor if this instance is
  /// draining and the lender is leaving.
  /// \returns whether there was an instance to send it to.
  bool forwardLoan(const Loan &Borrowed, TimePoint Now);
  void forwardLoans(const WorkspaceId &Workspace, TimePoint Now);
  void returnLoans(TimePoint Now);
  void dropExpiredLoans(TimePoint Now);
  /// Lends the free budget to the successors in equal parts.
  void lendToSuccessors(const std::vector<InstanceId> &Successors,
                        TimePoint Now);
  [[nodiscard]] std::vector<InstanceId> otherMembers() const;
  /// \returns reachable peers that are not leaving, in random order.
  [[nodiscard]] std::vector<InstanceId> successors(TimePoint Now);
  void returnAmount(const WorkspaceId &Workspace, Money Amount, TimePoint Now);
  /// Reserves Item.Bound from a loan, from this instance's grant or, if the
  /// policy allows it, from all of them together.
  [[nodiscard]] bool tryReserve(Reservation &Item);
  [[nodiscard]] bool reserveCombined(Reservation &Item);
  /// Requests a loan that lets requests with these bounds be served here.
  void requestLoanFor(const WorkspaceId &Workspace, Money Bounds,
                      TimePoint Now);
  void requestLoan(const WorkspaceId &Workspace, Money Minimum, Money Wanted,
                   TimePoint Now);
  /// Requests a loan for the first waiting request, if any.
  void requestLoanForWaiting(const WorkspaceId &Workspace, TimePoint Now);
  void onLoanRequest(const InstanceId &From, const LoanRequest &Message,
                     TimePoint Now);
  void onLoan(const InstanceId &From, const Loan &Message, TimePoint Now);
  /// \returns the next peers to ask for a loan. Successive calls return all
  /// peers before any is returned again.
  [[nodiscard]] std::vector<InstanceId> nextLenders(Book &Budget);
  /// Moves a workspace's custodians to the end of the peers to ask, a preferred
  /// one last.
  void preferCustodians(Book &Budget) const;
  void draw(const WorkspaceId &Workspace, TimePoint Now);
  /// \returns the divisor of the free budget that limits one draw.
  [[nodiscard]] std::uint32_t drawDivisor(const Book &Budget) const;
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
  void dropGrant(const WorkspaceId &Workspace, TimePoint Now);
  void returnFreeBudget(const WorkspaceId &Workspace, TimePoint Now);
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
  void expireAnswerHold(std::uint64_t Number, TimePoint Now);
  void carryBill(std::uint64_t Number, TimePoint Now);
  void onCarried(const InstanceId &From, const BillCarried &Message,
                 TimePoint Now);
  void answerSettled(PendingBill &Item, const Settlement &Done, TimePoint Now);
  void forgetBill(std::uint64_t Number, TimePoint Now);
  void recordCharge(const PendingBill &Item, bool Charged, TimePoint Now);

  [[nodiscard]] std::vector<InstanceId>
  carrierCandidates(const PendingBill &Item);
  /// \returns whether a peer is reachable and not leaving.
  [[nodiscard]] bool isStaying(const Member &Peer, TimePoint Now) const;
  [[nodiscard]] bool heardRecently(const InstanceId &Peer, TimePoint Now) const;
  [[nodiscard]] std::size_t reachableCarriers(TimePoint Now) const;

  Incarnation Self;
  FailureDomain Domain;
  const BudgetPolicy &Policy;
  BudgetDependencies Deps;
  Membership Members;
  OperationRouter Router;
  GrantReclaimer Reclaimer;
  CarriedBills CopiedBills;
  std::map<WorkspaceId, Book> Books;
  LoanBook Loans;
  LoanCounters LoanCounts;
  std::optional<TimePoint> FirstSettled;
  std::map<RequestId, Reservation> Reservations;
  std::map<RequestId, PendingClaim> Claims;
  std::map<std::uint64_t, PendingBill> Bills;
  std::map<InstanceId, TimePoint> LastHeard;
  /// Peers whose last digest reported a drain; the list of members does not
  /// change while the store is unreachable.
  std::set<InstanceId> DrainingPeers;
  std::uint64_t LastBill = 0;
  bool Draining = false;
};

/// @}

} // namespace bronzeward
