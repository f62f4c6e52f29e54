#include "bench/Report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bronzeward::bench {

void Report::atMost(const std::string &Name, double Value) {
  const auto Placed = Figures.try_emplace(Name, Value).first;
  Placed->second = std::max(Placed->second, Value);
}

void Report::atLeast(const std::string &Name, double Value) {
  const auto Placed = Figures.try_emplace(Name, Value).first;
  Placed->second = std::min(Placed->second, Value);
}

/// One line of the bounds' file.
struct Bound {
  std::string Relation;
  double Limit = 0.0;
};

static std::map<std::string, Bound> readBounds(const std::string &File,
                                               const std::string &Prefix) {
  std::map<std::string, Bound> Bounds;
  std::ifstream In(File);
  std::string Line;
  while (std::getline(In, Line)) {
    std::stringstream Words(Line);
    std::string Name;
    Bound Read;
    if (Words >> Name >> Read.Relation >> Read.Limit &&
        Name.starts_with(Prefix))
      Bounds[Name] = Read;
  }
  return Bounds;
}

int Report::print(const std::string &BoundsFile,
                  const std::string &Prefix) const {
  const std::map<std::string, Bound> Bounds = readBounds(BoundsFile, Prefix);
  int Broken = 0;
  for (const auto &[Name, Value] : Figures) {
    std::printf("%-52s %14.6g", Name.c_str(), Value);
    const auto Found = Bounds.find(Name);
    if (Found != Bounds.end()) {
      const bool Holds = Found->second.Relation == "<="
                             ? Value <= Found->second.Limit
                             : Value >= Found->second.Limit;
      std::printf("  %s %g  %s", Found->second.Relation.c_str(),
                  Found->second.Limit, Holds ? "holds" : "BROKEN");
      Broken += Holds ? 0 : 1;
    }
    std::printf("\n");
  }
  for (const auto &[Name, Limit] : Bounds)
    if (!Figures.contains(Name)) {
      std::printf("%-52s has a bound but no figure\n", Name.c_str());
      ++Broken;
    }
  return Broken;
}

} // namespace bronzeward::bench
