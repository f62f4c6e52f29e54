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
/// Held is never above the record's remaining amount, so what is reserved here
/// can always be billed while the grant stands.
class GrantBook {
public:
  /// \brief Sets where this instance stands among those that round their
  /// reserve up, from 0 to 1; places should be spread evenly.
  void setRounding(double Place) { RoundingPlace = Place; }

  /// \brief Sets the spending to cover, where that is less than the policy's.
  void setHorizon(Duration Covered) { Horizon = Covered; }

  /// \brief Sets Bound aside where that much is free.
  [[nodiscard]] bool reserve(Money Bound);
  /// \brief Gives a reservation back unspent.
  void release(Money Bound);
  /// \brief Turns a reservation into an amount that waits for its bill.
  void settle(Money Bound, Money Cost, const BudgetPolicy &Policy,
              TimePoint Now);
  /// \brief Notes spending that is charged elsewhere, for the rate.
  void noteSpending(Money Cost, const BudgetPolicy &Policy, TimePoint Now);
  /// \brief Hands over up to half of what is free, or Least where that is more.
  /// \returns the amount, or zero where Least is not free; what bills charge to
  /// it is no longer counted here.
  [[nodiscard]] Money lend(Money Least, Money Wanted);
  /// \brief Takes back what a borrower did not need.
  void lentBack(Money Amount);
  /// \brief Ends the wait for a bill that was charged to the grant.
  void charged(Money Cost);
  /// \brief Ends the wait for a bill that was not charged to the grant.
  void uncharged(Money Cost);

  void drawSent();
  void drawn(Money Amount);
  void drawRefused();
  void returnSent(Money Amount);
  void returned();
  /// \brief Learns that a return's number was used by an earlier draw, which
  /// had seemed refused; the return had no effect.
  void returnOvertaken(Money Amount);
  /// \brief Forgets the grant after the ledger took it back.
  void fenced();

  [[nodiscard]] Money held() const { return Held; }
  /// \returns what can be reserved now.
  [[nodiscard]] Money free() const;
  /// \returns the free amount that covers the policy's horizon; the grant is
  /// refilled below it.
  [[nodiscard]] Money lowWater(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns the amount to draw for a refill and for requests that wait.
  [[nodiscard]] Money refill(Money Missing, const BudgetPolicy &Policy,
                             TimePoint Now) const;
  /// \returns the free amount that is not needed here; zero unless the policy
  /// returns such.
  [[nodiscard]] Money excess(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns the number of the change under way.
  [[nodiscard]] std::uint64_t sequence() const { return Sequence; }
  [[nodiscard]] const GrantLifecycle &lifecycle() const { return Lifecycle; }

private:
  /// \returns what a refill goes to: free in whole requests, or else held.
  [[nodiscard]] Money target(const BudgetPolicy &Policy, TimePoint Now) const;
  /// \returns an amount rounded to whole requests, up or down by the place, so
  /// that the instances' reserves come to the whole amount together.
  [[nodiscard]] Money wholeRequests(Money Amount) const;

  GrantLifecycle Lifecycle;
  Money Held;
  Money Reserved;
  Money Unbilled;
  Money ReturnUnderWay;
  Money PeakReserved;
  /// Peak of the window that began at PeakSince.
  Money NewPeak;
  /// Largest request of the same windows.
  Money PeakBound;
  Money NewPeakBound;
  TimePoint PeakSince;
  double RoundingPlace = 0.5;
  std::uint64_t Sequence = 0;
  SpendingRate Spending;
  Duration Horizon = Duration::max();
};

} // namespace bronzeward
