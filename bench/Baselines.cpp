#include "bench/Baselines.h"

#include <algorithm>

namespace bronzeward::bench {

static double unspentShare(Money Prepaid, Money Spent, Money Refused) {
  const Money Useful = std::min(Prepaid - Spent, Refused);
  return static_cast<double>(Useful.micros()) /
         static_cast<double>(Prepaid.micros());
}

ShareOutcome fixedSplit(const std::vector<Demand> &Requests,
                        std::size_t Instances, Money Prepaid) {
  std::vector<Money> Left(
      Instances,
      Money(Prepaid.micros() / static_cast<std::int64_t>(Instances)));
  Money Spent;
  Money Refused;
  for (const Demand &Item : Requests) {
    Money &Own = Left[Item.Instance];
    if (Own < Item.Bound) {
      Refused += Item.Cost;
      continue;
    }
    Own -= Item.Cost;
    Spent += Item.Cost;
  }
  return {unspentShare(Prepaid, Spent, Refused), 0.0};
}

ShareOutcome storeCallPerRequest(const std::vector<Demand> &Requests,
                                 Money Prepaid) {
  constexpr double CallsPerRequest = 4.0;
  Money Spent;
  Money Refused;
  for (const Demand &Item : Requests) {
    if (Prepaid - Spent < Item.Bound)
      Refused += Item.Cost;
    else
      Spent += Item.Cost;
  }
  return {unspentShare(Prepaid, Spent, Refused), CallsPerRequest};
}

} // namespace bronzeward::bench
