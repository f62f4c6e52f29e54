#pragma once

#include <map>
#include <string>
#include <vector>

namespace bronzeward::bench {

/// \brief Collects figures over several seeds, keeps the worst of each, and
/// holds them against the bounds of a file.
///
/// The file has a line for each bound: name, "<=" or ">=", value. Bounds come
/// from the stated targets.
class Report {
public:
  /// \brief Notes one seed's figure; the largest counts.
  void atMost(const std::string &Name, double Value);
  /// \brief Notes one seed's figure; the smallest counts.
  void atLeast(const std::string &Name, double Value);

  /// \brief Prints every figure beside its bound.
  /// \returns how many bounds are broken or have no figure.
  int print(const std::string &BoundsFile, const std::string &Prefix) const;

private:
  std::map<std::string, double> Figures;
};

} // namespace bronzeward::bench
