#pragma once

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace bronzeward {

/// \ingroup Base
/// \brief Source of random numbers; tests and benches seed it.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine(Seed) {}

  /// \param Limit exclusive upper bound, above zero.
  /// \returns a number in [0, Limit).
  std::uint64_t below(std::uint64_t Limit) {
    return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Engine);
  }
  /// \returns a number in [0, 1).
  double unit() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(Engine);
  }
  /// \param Mean mean of the distribution, above zero.
  double exponential(double Mean) {
    return std::exponential_distribution<double>(1.0 / Mean)(Engine);
  }
  /// \brief Puts the items in random order.
  template <typename Item> void shuffle(std::vector<Item> &Items) {
    for (std::size_t Left = Items.size(); Left > 1; --Left)
      std::swap(Items[Left - 1], Items[below(Left)]);
  }

private:
  std::mt19937_64 Engine;
};

} // namespace bronzeward
