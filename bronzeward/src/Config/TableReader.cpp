#include "bronzeward/src/Config/TableReader.h"

#include <algorithm>
#include <sstream>

namespace bronzeward {

std::string describe(const Diagnostic &Fault) {
  return std::to_string(Fault.Line) + ":" + std::to_string(Fault.Column) +
         ": " + Fault.Path + ": found " + Fault.Found + ", allowed " +
         Fault.Allowed;
}

namespace internal {

/// Longest name of a service, upstream or workspace.
constexpr std::size_t MaxNameLength = 200;

/// \returns the text of a value, shortened for use in a message.
static std::string excerpt(const toml::node &Item) {
  std::ostringstream Out;
  Item.visit([&](const auto &Value) { Out << Value; });
  std::string Text = Out.str();
  constexpr std::size_t MaxExcerptLength = 60;
  if (Text.size() > MaxExcerptLength)
    Text = Text.substr(0, MaxExcerptLength) + "...";
  return Text;
}

static bool isPlainName(const std::string &Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](unsigned char Char) {
           return std::isalnum(Char) != 0 || Char == '-' || Char == '_' ||
                  Char == '.';
         });
}

const toml::node *TableReader::node(std::string_view Key) {
  ReadKeys.emplace(Key);
  return Table.get(Key);
}

void TableReader::addFault(std::string_view Key, std::string Found,
                           std::string Allowed) {
  const toml::node *Item = Table.get(Key);
  const toml::source_position Begin =
      (Item == nullptr ? Table.source() : Item->source()).begin;
  Faults.push_back(
      {static_cast<std::uint32_t>(Begin.line),
       static_cast<std::uint32_t>(Begin.column),
       Path.empty() ? std::string(Key) : Path + "." + std::string(Key),
       std::move(Found), std::move(Allowed)});
}

std::string TableReader::name(std::string_view Key) {
  const toml::node *Item = node(Key);
  std::string Value =
      Item == nullptr ? "" : Item->value<std::string>().value_or("");
  if (!isPlainName(Value))
    addFault(Key, Item == nullptr ? "nothing" : excerpt(*Item),
             "1 to 200 letters, digits, '-', '_' or '.'");
  return Value;
}

std::string TableReader::string(std::string_view Key, std::string Default) {
  const toml::node *Item = node(Key);
  if (Item == nullptr)
    return Default;
  if (!Item->is_string()) {
    addFault(Key, excerpt(*Item), "a string in quotes");
    return Default;
  }
  return *Item->value<std::string>();
}

std::int64_t TableReader::integer(std::string_view Key, std::int64_t Default,
                                  std::int64_t Min, std::int64_t Max) {
  const toml::node *Item = node(Key);
  if (Item == nullptr)
    return Default;
  const std::optional<std::int64_t> Value =
      Item->is_integer() ? Item->value<std::int64_t>() : std::nullopt;
  if (!Value || *Value < Min || *Value > Max) {
    addFault(Key, excerpt(*Item),
             "a whole number from " + std::to_string(Min) + " to " +
                 std::to_string(Max));
    return Default;
  }
  return *Value;
}

bool TableReader::flag(std::string_view Key, bool Default) {
  const toml::node *Item = node(Key);
  if (Item == nullptr)
    return Default;
  if (!Item->is_boolean()) {
    addFault(Key, excerpt(*Item), "true or false");
    return Default;
  }
  return *Item->value<bool>();
}

std::vector<std::string> TableReader::strings(std::string_view Key) {
  const toml::node *Item = node(Key);
  std::vector<std::string> Values;
  if (Item == nullptr)
    return Values;
  const toml::array *List = Item->as_array();
  if (List == nullptr) {
    addFault(Key, excerpt(*Item), "a list of strings");
    return Values;
  }
  for (const toml::node &Element : *List) {
    if (Element.is_string())
      Values.push_back(*Element.value<std::string>());
    else
      addFault(Key, excerpt(Element), "a list of strings");
  }
  return Values;
}

const toml::table *TableReader::table(std::string_view Key) {
  const toml::node *Item = node(Key);
  if (Item == nullptr)
    return nullptr;
  if (!Item->is_table())
    addFault(Key, excerpt(*Item), "a table");
  return Item->as_table();
}

std::vector<const toml::table *> TableReader::tables(std::string_view Key) {
  std::vector<const toml::table *> Found;
  const toml::node *Item = node(Key);
  if (Item == nullptr)
    return Found;
  const toml::array *List = Item->as_array();
  if (List == nullptr) {
    addFault(Key, excerpt(*Item), "[[" + std::string(Key) + "]] tables");
    return Found;
  }
  for (const toml::node &Element : *List) {
    if (Element.is_table())
      Found.push_back(Element.as_table());
    else
      addFault(Key, excerpt(Element), "[[" + std::string(Key) + "]] tables");
  }
  return Found;
}

void TableReader::finish() {
  for (const auto &[Key, Value] : Table) {
    if (ReadKeys.contains(Key.str()))
      continue;
    std::string Known;
    for (const std::string &Name : ReadKeys)
      Known += (Known.empty() ? "" : ", ") + Name;
    const toml::source_position Begin = Key.source().begin;
    Faults.push_back({static_cast<std::uint32_t>(Begin.line),
                      static_cast<std::uint32_t>(Begin.column),
                      Path.empty() ? std::string(Key.str())
                                   : Path + "." + std::string(Key.str()),
                      "an unknown key", "one of: " + Known});
  }
}

} // namespace internal
} // namespace bronzeward
