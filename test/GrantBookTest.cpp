#include "bronzeward/Budget"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};

BudgetPolicy wholeRequests() {
  BudgetPolicy Policy;
  Policy.GrantHorizon = 5s;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.ReturnMultiple = 1.2;
  return Policy;
}

/// Spends an amount each second for two windows of the rate.
void spend(GrantBook &Book, Money Each, const BudgetPolicy &Policy) {
  Book.drawSent();
  Book.drawn(scaled(Each, 13));
  for (int Second = 0; Second < 12; ++Second) {
    REQUIRE(Book.reserve(Each));
    Book.settle(Each, Each, Policy, Start + Second * 1s);
    Book.charged(Each);
  }
}

TEST_CASE("Reserves in whole requests add up to the horizon's spending",
          "[GrantBook]") {
  const BudgetPolicy Policy = wholeRequests();
  constexpr int Instances = 10;
  // Each instance serves one request of 1000 in ten seconds on average, that is
  // half a request within the horizon.
  Money Sum;
  for (int Index = 0; Index < Instances; ++Index) {
    GrantBook Book;
    Book.setRounding((Index + 0.5) / Instances);
    Book.drawSent();
    Book.drawn(Money(10'000));
    REQUIRE(Book.reserve(Money(1'000)));
    Book.settle(Money(1'000), Money(100), Policy, Start);
    for (int Second = 1; Second < 12; ++Second)
      Book.recordSpending(Money(100), Policy, Start + Second * 1s);
    const Money Reserve = Book.lowWater(Policy, Start + 11s);
    CHECK((Reserve.isZero() || Reserve == Money(1'000)));
    Sum += Reserve;
  }
  // Ten instances spend 100 a second for five seconds; one request more or less
  // is allowed.
  CHECK(Sum >= Money(4'000));
  CHECK(Sum <= Money(6'000));
}

TEST_CASE("Outstanding reservations do not count toward the reserve",
          "[GrantBook]") {
  const BudgetPolicy Policy = wholeRequests();
  GrantBook Book;
  spend(Book, Money(1'000), Policy);
  const TimePoint Now = Start + 11s;
  const Money Idle = Book.lowWater(Policy, Now);
  Book.drawSent();
  Book.drawn(Money(40'000));
  REQUIRE(Book.reserve(Money(1'000)));
  CHECK(Book.lowWater(Policy, Now) == Idle);
  REQUIRE(Book.reserve(Money(1'000)));
  CHECK(Book.lowWater(Policy, Now) == Idle);
}

TEST_CASE("Free budget beyond the reserve is returned", "[GrantBook]") {
  const BudgetPolicy Policy = wholeRequests();
  GrantBook Book;
  spend(Book, Money(1'000), Policy);
  const TimePoint Now = Start + 11s;
  Book.drawSent();
  Book.drawn(Money(40'000));
  const Money Excess = Book.excess(Policy, Now);
  CHECK(Excess > Money(30'000));
  CHECK(Book.free() - Excess >= Book.lowWater(Policy, Now));
}

} // namespace
} // namespace bronzeward
