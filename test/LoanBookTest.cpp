#include "bronzeward/Budget"

#include <catch2/catch.hpp>

namespace bronzeward {
namespace {

const TimePoint Start{1h};
const WorkspaceId Khan{"khan"};
const Incarnation Lender{InstanceId{"lender"}, 7};

TEST_CASE("A loan keeps its age through a reservation", "[LoanBook]") {
  LoanBook Book;
  Book.credit(Khan, {Lender, Start}, Money(100));
  const std::optional<LoanOrigin> Reserved = Book.reserve(Khan, Money(100));
  REQUIRE(Reserved);
  CHECK(Book.free(Khan).isZero());
  // The reservation is released unused an hour later.
  Book.credit(Khan, *Reserved, Money(100));
  CHECK(Book.takeOlder(2h, Start + 1h).empty());
  const std::vector<Loan> Old = Book.takeOlder(1h, Start + 1h);
  REQUIRE(Old.size() == 1);
  CHECK(Old.front().Amount == Money(100));
  CHECK(Old.front().Age == 1h);
  CHECK(Book.free(Khan).isZero());
}

TEST_CASE("A loan keeps its age when it is passed on", "[LoanBook]") {
  LoanBook First;
  First.credit(Khan, {Lender, Start}, Money(100));
  const std::vector<Loan> PassedOn = First.take(Khan, Start + 1h);
  REQUIRE(PassedOn.size() == 1);
  // The next instance's clock has another origin.
  const TimePoint Elsewhere{500h};
  LoanBook Second;
  Second.credit(Khan, originOf(PassedOn.front(), Elsewhere), Money(100));
  CHECK(Second.takeOlder(2h, Elsewhere + 59min).empty());
  CHECK(Second.takeOlder(2h, Elsewhere + 1h).size() == 1);
}

TEST_CASE("Amounts of one lender get the age of the oldest", "[LoanBook]") {
  LoanBook Book;
  Book.credit(Khan, {Lender, Start + 1h}, Money(100));
  Book.credit(Khan, {Lender, Start}, Money(50));
  const std::vector<Loan> Old = Book.takeOlder(1h, Start + 1h);
  REQUIRE(Old.size() == 1);
  CHECK(Old.front().Amount == Money(150));
}

TEST_CASE("A request takes the smallest loan that covers it", "[LoanBook]") {
  LoanBook Book;
  const Incarnation Other{InstanceId{"other"}, 3};
  Book.credit(Khan, {Lender, Start}, Money(100));
  Book.credit(Khan, {Other, Start}, Money(60));
  CHECK_FALSE(Book.reserve(Khan, Money(101)));
  const std::optional<LoanOrigin> Reserved = Book.reserve(Khan, Money(50));
  REQUIRE(Reserved);
  CHECK(Reserved->Lender == Other);
  CHECK(Book.free(Khan) == Money(110));
}

} // namespace
} // namespace bronzeward
