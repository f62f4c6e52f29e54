#pragma once

#include "bronzeward/src/Config/Diagnostic.h"

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward::internal {

/// \brief Reads one table of the operators' configuration and records every
/// fault.
///
/// A faulty value is replaced by its default, so that the rest is still
/// checked.
class TableReader {
public:
  /// \param Name path of the table in diagnostics.
  TableReader(const toml::table &Source, std::string Name, Diagnostics &Sink)
      : Table(Source), Path(std::move(Name)), Faults(Sink) {}

  /// \returns a required name of 1 to 200 letters, digits, '-', '_' or '.'.
  std::string name(std::string_view Key);
  /// \returns a string, or Default where absent.
  std::string string(std::string_view Key, std::string Default);
  /// \returns an integer in [Min, Max], or Default where absent.
  std::int64_t integer(std::string_view Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  /// \returns a boolean, or Default where absent.
  bool flag(std::string_view Key, bool Default);
  /// \returns the strings of an array; empty where absent.
  std::vector<std::string> strings(std::string_view Key);
  /// \returns a nested table, or null where absent.
  const toml::table *table(std::string_view Key);
  /// \returns the tables of an array of tables; empty where absent.
  std::vector<const toml::table *> tables(std::string_view Key);

  /// \brief Records a fault for every key that was not read.
  void finish();
  /// \brief Records a fault at the position of a key, or at that of the table
  /// where the key is absent.
  void addFault(std::string_view Key, std::string Found, std::string Allowed);

  [[nodiscard]] const std::string &path() const { return Path; }
  /// \brief Replaces the table's path in diagnostics, such as "service" by
  /// "service.NAME" once the name is known.
  void rename(std::string NewPath) { Path = std::move(NewPath); }

private:
  const toml::node *node(std::string_view Key);

  const toml::table &Table;
  std::string Path;
  Diagnostics &Faults;
  /// Keys that were asked for, present or not.
  std::set<std::string, std::less<>> ReadKeys;
};

} // namespace bronzeward::internal
