#pragma once

#include "bronzeward/Base"
#include "bronzeward/src/Budget/GrantLifecycle.h"
#include "bronzeward/src/Budget/SpendingRate.h"
#include "bronzeward/src/Config/BudgetPolicy.h"

#include <cstdint>
#include <optional>

namespace bronzeward {

/// \ingroup Budget
/// \brief This instance's view of its grant from one workspace.
///
/// The held amount never exceeds the remaining amount in the ledger, so every
/// reservation can be billed unless the grant is reclaimed.
class GrantBook {
public:
  /// \brief Sets this instance's position, from 0 to 1, which decides whether
  /// it rounds its reserve up or down; instances should be spread evenly.
  void setRounding(double Position) { RoundingPosition = Position; }

  /// \brief Limits the time of spending to cover; the policy's horizon applies
  /// if it is shorter.
  void setHorizon(Duration Covered) { Horizon = Covered; }

  /// \brief Fixes the free amount to keep, regardless of the spending here;
  /// empty to keep what the spending here needs.
  void setReserve(std::optional<Money> Amount) { FixedReserve = Amount; }

  /// \brief Reserves Bound.
  /// \returns false, without effect, if less than that is free.
  [[nodiscard]] bool reserve(Money Bound);
  /// \brief Cancels a reservation of Bound.
  void release(Money Bound);
  /// \brief Replaces a reservation of Bound by Cost, whose bill is pending.
  void settle(Money Bound, Money Cost, const BudgetPolicy &Policy,
              TimePoint Now);
  /// \brief Adds to the spending rate without a charge to this grant.
  void recordSpending(Money Cost, const BudgetPolicy &Policy, TimePoint Now);
  /// \brief Lends up to half of the free amount, or up to all of it if the
  /// reserve is fixed, which is kept for borrowers; or Minimum if that is more.
  /// \returns the amount, or zero if Minimum is not free. Bills of the borrower
  /// are not counted here.
  [[nodiscard]] Money lend(Money Minimum, Money Wanted);
  /// \brief Adds an amount that a borrower gave back.
  void loanReturned(Money Amount);
  /// \brief Removes a pending bill that was charged to the grant.
  void charged(Money Cost);
  /// \brief Removes a pending bill that was not charged to the grant.
  void uncharged(Money Cost);

  void drawSent();
  void drawn(Money Amount);
  void drawRefused();
  void returnSent(Money Amount);
  void returned();
  /// \brief Called when an earlier draw, thought to be refused, had used the
  /// sequence number of the pending return, so the return had no effect.
  /// \param Amount amount of that draw.
  void returnOvertaken(Money Amount);
  /// \brief Clears the grant after the ledger reclaimed it.
  void fenced();

  [[nodiscard]] Money held() const { return Held; }
  /// \returns the amount that can be reserved now.
  [[nodiscard]] Money free() const;
  /// \returns the free amount that covers the horizon's spending; the grant is
  /// refilled when less is free.
  [[nodiscard]] Money lowWater(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns the amount to draw for a refill and for waiting requests.
  /// \param Missing sum of the waiting requests' bounds.
  [[nodiscard]] Money refill(Money Missing, const BudgetPolicy &Policy,
                             TimePoint Now) const;
  /// \returns the free amount that this instance does not need; zero if the
  /// policy does not return any.
  [[nodiscard]] Money excess(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns the sequence number of the current or last change.
  [[nodiscard]] std::uint64_t sequence() const { return Sequence; }
  [[nodiscard]] const GrantLifecycle &lifecycle() const { return Lifecycle; }

private:
  /// \returns the target of a refill: of the free amount if reserves are whole
  /// requests, else of the held amount.
  [[nodiscard]] Money target(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns an amount rounded to whole requests, up or down depending on
  /// RoundingPosition, so that the instances' reserves add up to the sum of
  /// their amounts.
  [[nodiscard]] Money wholeRequests(Money Amount) const;

  GrantLifecycle Lifecycle;
  Money Held;
  Money Reserved;
  /// Cost of settled requests whose bills are pending.
  Money Unbilled;
  Money PendingReturn;
  /// Highest value of Reserved in the previous window and the current one.
  Money PeakReserved;
  /// Highest value of Reserved in the window that began at PeakSince.
  Money NewPeak;
  /// Largest reservation of the same windows.
  Money PeakBound;
  Money NewPeakBound;
  TimePoint PeakSince;
  double RoundingPosition = 0.5;
  std::uint64_t Sequence = 0;
  SpendingRate Spending;
  Duration Horizon = Duration::max();
  std::optional<Money> FixedReserve;
};

} // namespace bronzeward
