#pragma once

#include "bronzeward/src/Config/Diagnostic.h"

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeward::internal {

/// \brief Reads one table of the operators' text and notes every fault.
///
/// A faulty value reads as its default, so that the rest is still checked.
class TableReader {
public:
  /// \param Path name of the table in diagnostics.
  TableReader(const toml::table &Source, std::string Path, Diagnostics &Sink)
      : Table(Source), Where(std::move(Path)), Faults(Sink) {}

  /// \returns text that must be present and hold 1 to 200 plain characters.
  std::string name(std::string_view Key);
  /// \returns text, or Default where absent.
  std::string text(std::string_view Key, std::string Default);
  /// \returns a whole number in [Least, Most], or Default where absent.
  std::int64_t integer(std::string_view Key, std::int64_t Default,
                       std::int64_t Least, std::int64_t Most);
  bool flag(std::string_view Key, bool Default);
  std::vector<std::string> texts(std::string_view Key);
  /// \returns a nested table, or null where absent.
  const toml::table *table(std::string_view Key);
  /// \returns the tables of an array of tables.
  std::vector<const toml::table *> tables(std::string_view Key);

  /// \brief Notes every key that was not read.
  void finish();
  /// \brief Notes a fault at a key, or at the table where it is absent.
  void fault(std::string_view Key, std::string Found, std::string Allowed);

  [[nodiscard]] const std::string &path() const { return Where; }
  /// \brief Names the table after one of its values.
  void rename(std::string Path) { Where = std::move(Path); }

private:
  const toml::node *node(std::string_view Key);

  const toml::table &Table;
  std::string Where;
  Diagnostics &Faults;
  std::set<std::string, std::less<>> Read;
};

} // namespace bronzeward::internal
