#include "bronzeward/src/Budget/GrantBook.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// Reserves of more requests than this are not rounded.
constexpr double MaxRoundedRequests = 8.0;

/// One loan is at most the free amount divided by this.
constexpr std::int64_t LendDivisor = 2;

static Money scaledBy(Money Amount, double Factor) {
  const double Product = static_cast<double>(Amount.micros()) * Factor;
  return Money(static_cast<std::int64_t>(std::min(Product, 1e17)));
}

bool GrantBook::reserve(Money Bound) {
  if (free() < Bound)
    return false;
  Reserved += Bound;
  PeakReserved = std::max(PeakReserved, Reserved);
  NewPeak = std::max(NewPeak, Reserved);
  PeakBound = std::max(PeakBound, Bound);
  NewPeakBound = std::max(NewPeakBound, Bound);
  return true;
}

void GrantBook::release(Money Bound) { Reserved -= std::min(Reserved, Bound); }

void GrantBook::settle(Money Bound, Money Cost, const BudgetPolicy &Policy,
                       TimePoint Now) {
  release(Bound);
  Unbilled += Cost;
  recordSpending(Cost, Policy, Now);
}

void GrantBook::recordSpending(Money Cost, const BudgetPolicy &Policy,
                               TimePoint Now) {
  Spending.record(Cost, Policy.RateWindow, Now);
  if (Now >= PeakSince + Policy.RateWindow) {
    // Keep the peaks of the window that ended and start a new one.
    PeakSince = Now;
    PeakReserved = NewPeak;
    NewPeak = Reserved;
    if (!NewPeakBound.isZero())
      PeakBound = NewPeakBound;
    NewPeakBound = Money();
  }
}

void GrantBook::charged(Money Cost) {
  uncharged(Cost);
  Held -= std::min(Held, Cost);
}

void GrantBook::uncharged(Money Cost) { Unbilled -= std::min(Unbilled, Cost); }

Money GrantBook::lend(Money Minimum, Money Wanted) {
  const std::int64_t Divisor = FixedReserve ? 1 : LendDivisor;
  Money Lent = std::min(Wanted, Money(free().micros() / Divisor));
  if (Lent < Minimum)
    Lent = free() < Minimum ? Money() : Minimum;
  // The amount stays in this instance's grant in the ledger, to which the
  // borrower's bills are charged.
  Held -= Lent;
  return Lent;
}

void GrantBook::loanReturned(Money Amount) { Held += Amount; }

void GrantBook::drawSent() {
  ++Sequence;
  Lifecycle.process(GrantEvent::DrawSent);
}

void GrantBook::drawn(Money Amount) {
  if (Lifecycle.process(GrantEvent::DrawApplied))
    Held += Amount;
}

void GrantBook::drawRefused() {
  // A refused draw does not use its sequence number.
  if (Lifecycle.process(GrantEvent::DrawRefused))
    --Sequence;
}

void GrantBook::returnSent(Money Amount) {
  if (!Lifecycle.process(GrantEvent::ReturnSent))
    return;
  ++Sequence;
  PendingReturn = Amount;
  Held -= Amount;
}

void GrantBook::returned() {
  Lifecycle.process(GrantEvent::ReturnApplied);
  PendingReturn = Money();
}

void GrantBook::returnOvertaken(Money Amount) {
  Held += PendingReturn + Amount;
  returned();
}

void GrantBook::fenced() {
  Lifecycle.process(GrantEvent::Fenced);
  Held = Money();
  Reserved = Money();
  Unbilled = Money();
  PendingReturn = Money();
  Sequence = 0;
}

Money GrantBook::free() const {
  const Money Used = Reserved + Unbilled;
  return Held > Used ? Held - Used : Money();
}

Money GrantBook::lowWater(const BudgetPolicy &Policy, TimePoint Now) const {
  if (FixedReserve)
    return *FixedReserve;
  const std::chrono::duration<double> Covered =
      std::min(Policy.GrantHorizon, Horizon);
  const double Rate = Spending.perSecond(Policy.RateWindow, Now);
  const double Cost = Policy.SpendingMargin * Rate * Covered.count();
  const Money Expected(static_cast<std::int64_t>(std::min(Cost, 1e17)));
  if (Policy.ReserveWholeRequests)
    return wholeRequests(Expected);
  return Expected + scaled(PeakReserved, Policy.ReservedMultiple);
}

Money GrantBook::wholeRequests(Money Amount) const {
  if (PeakBound.isZero())
    return Amount;
  const double Requests = static_cast<double>(Amount.micros()) /
                          static_cast<double>(PeakBound.micros());
  if (Requests > MaxRoundedRequests)
    return Amount;
  return scaled(PeakBound, static_cast<std::int64_t>(
                               std::floor(Requests + 1.0 - RoundingPosition)));
}

Money GrantBook::target(const BudgetPolicy &Policy, TimePoint Now) const {
  return scaledBy(lowWater(Policy, Now), Policy.RefillMultiple);
}

Money GrantBook::refill(Money Missing, const BudgetPolicy &Policy,
                        TimePoint Now) const {
  const Money Target = target(Policy, Now) + Missing;
  const Money Current = Policy.ReserveWholeRequests ? free() : Held;
  return std::max(Missing - free(), Target - Current);
}

Money GrantBook::excess(const BudgetPolicy &Policy, TimePoint Now) const {
  if (Policy.ReturnMultiple <= 0.0)
    return Money();
  const Money Kept = target(Policy, Now);
  const Money Limit = scaledBy(Kept, Policy.ReturnMultiple);
  return free() > Limit ? free() - Kept : Money();
}

} // namespace bronzeward
