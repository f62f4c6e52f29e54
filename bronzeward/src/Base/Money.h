#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <stdexcept>

namespace bronzeward {

/// \ingroup Base
/// \brief An amount of prepaid budget in whole micro-units of currency.
///
/// Arithmetic is checked: a sum that does not fit 64 bits throws
/// `std::overflow_error`. Amounts from outside pass through \ref checkedSum.
class Money {
public:
  constexpr Money() = default;
  /// \param Micros amount in millionths of a currency unit.
  constexpr explicit Money(std::int64_t Micros) : Amount(Micros) {}

  /// \returns the amount in millionths of a currency unit.
  [[nodiscard]] constexpr std::int64_t micros() const { return Amount; }
  [[nodiscard]] constexpr bool isZero() const { return Amount == 0; }

  constexpr auto operator<=>(const Money &) const = default;

  friend Money operator+(Money Left, Money Right) {
    std::int64_t Sum = 0;
    if (__builtin_add_overflow(Left.Amount, Right.Amount, &Sum))
      throw std::overflow_error("money sum does not fit 64 bits");
    return Money(Sum);
  }
  friend Money operator-(Money Left, Money Right) {
    std::int64_t Difference = 0;
    if (__builtin_sub_overflow(Left.Amount, Right.Amount, &Difference))
      throw std::overflow_error("money difference does not fit 64 bits");
    return Money(Difference);
  }
  Money &operator+=(Money Other) { return *this = *this + Other; }
  Money &operator-=(Money Other) { return *this = *this - Other; }

private:
  std::int64_t Amount = 0;
};

/// \ingroup Base
/// \returns the sum, or nothing where it does not fit 64 bits.
[[nodiscard]] inline std::optional<Money> checkedSum(Money Left, Money Right) {
  std::int64_t Sum = 0;
  if (__builtin_add_overflow(Left.micros(), Right.micros(), &Sum))
    return std::nullopt;
  return Money(Sum);
}

/// \ingroup Base
/// \param Unit price of one item.
/// \param Count number of items.
/// \returns Unit times Count; throws `std::overflow_error` past 64 bits.
[[nodiscard]] inline Money scaled(Money Unit, std::int64_t Count) {
  std::int64_t Product = 0;
  if (__builtin_mul_overflow(Unit.micros(), Count, &Product))
    throw std::overflow_error("money product does not fit 64 bits");
  return Money(Product);
}

} // namespace bronzeward
