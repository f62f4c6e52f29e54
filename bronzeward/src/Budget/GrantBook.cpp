#include "bronzeward/src/Budget/GrantBook.h"

#include <algorithm>
#include <cmath>

namespace bronzeward {

/// Time over which the observed spend rate is averaged.
constexpr std::chrono::duration<double> RateWindow = 60s;
/// Spending that a grant covers, as a multiple of the expected; requests do
/// not come evenly.
constexpr double SpendingMargin = 1.5;
/// Reservations' worth that a grant holds beyond the expected spending.
constexpr std::int64_t ReservedMultiple = 4;
/// A refill goes to this multiple of the low-water mark.
constexpr std::int64_t RefillMultiple = 2;

bool GrantBook::reserve(Money Bound) {
  if (free() < Bound)
    return false;
  Reserved += Bound;
  PeakReserved = std::max(PeakReserved, Reserved);
  return true;
}

void GrantBook::release(Money Bound) { Reserved -= std::min(Reserved, Bound); }

void GrantBook::settle(Money Bound, Money Cost, TimePoint Now) {
  release(Bound);
  Unbilled += Cost;
  SpendRate =
      rate(Now) + static_cast<double>(Cost.micros()) / RateWindow.count();
  LastSpend = Now;
}

void GrantBook::charged(Money Cost) {
  uncharged(Cost);
  Held -= std::min(Held, Cost);
}

void GrantBook::uncharged(Money Cost) { Unbilled -= std::min(Unbilled, Cost); }

void GrantBook::drawSent() {
  ++Sequence;
  Lifecycle.process(GrantEvent::DrawSent);
}

void GrantBook::drawn(Money Amount) {
  if (Lifecycle.process(GrantEvent::DrawApplied))
    Held += Amount;
}

void GrantBook::drawRefused() {
  // A refused draw did not use its number.
  if (Lifecycle.process(GrantEvent::DrawRefused))
    --Sequence;
}

void GrantBook::returnSent(Money Amount) {
  if (!Lifecycle.process(GrantEvent::ReturnSent))
    return;
  ++Sequence;
  ReturnUnderWay = Amount;
  Held -= Amount;
}

void GrantBook::returned() {
  Lifecycle.process(GrantEvent::ReturnApplied);
  ReturnUnderWay = Money();
}

void GrantBook::returnOvertaken(Money Amount) {
  Held += ReturnUnderWay + Amount;
  returned();
}

void GrantBook::fenced() {
  Lifecycle.process(GrantEvent::Fenced);
  Held = Money();
  Reserved = Money();
  Unbilled = Money();
  ReturnUnderWay = Money();
  Sequence = 0;
}

Money GrantBook::free() const {
  const Money Used = Reserved + Unbilled;
  return Held > Used ? Held - Used : Money();
}

double GrantBook::rate(TimePoint Now) const {
  const std::chrono::duration<double> Age = Now - LastSpend;
  return SpendRate * std::exp(-Age.count() / RateWindow.count());
}

Money GrantBook::lowWater(const BudgetPolicy &Policy, TimePoint Now) const {
  const std::chrono::duration<double> Horizon = Policy.GrantHorizon;
  const double Spending = SpendingMargin * rate(Now) * Horizon.count();
  return Money(static_cast<std::int64_t>(std::min(Spending, 1e17))) +
         scaled(PeakReserved, ReservedMultiple);
}

Money GrantBook::target(const BudgetPolicy &Policy, TimePoint Now) const {
  return scaled(lowWater(Policy, Now), RefillMultiple);
}

} // namespace bronzeward
