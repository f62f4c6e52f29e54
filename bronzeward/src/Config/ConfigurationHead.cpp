#include "bronzeward/src/Config/ConfigurationHead.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

/// Number of earlier versions that the head lists.
constexpr std::size_t MaxHistory = 50;

std::string archiveKey(const std::string &TextDigest) {
  return std::string(ConfigurationKey) + "/text/" + TextDigest;
}

ConfigurationHead succeed(const ConfigurationHead &Head,
                          const std::string &Text, std::string Operator,
                          WallTime Now) {
  ConfigurationHead Next;
  Next.Current = {ConfigurationVersion{Head.Current.Version.Number + 1},
                  sha256Hex(Text), std::move(Operator), Now};
  if (Head.Current.Version.Number > 0)
    Next.History.push_back(Head.Current);
  Next.History.insert(Next.History.end(), Head.History.begin(),
                      Head.History.end());
  if (Next.History.size() > MaxHistory)
    Next.History.resize(MaxHistory);
  return Next;
}

static json::object toObject(const ConfigurationRevision &Item) {
  return {{"version", Item.Version.Number},
          {"digest", Item.TextDigest},
          {"operator", Item.Operator},
          {"accepted_ms", Item.Accepted.time_since_epoch().count()}};
}

std::string encodeConfigurationHead(const ConfigurationHead &Head) {
  json::array History;
  for (const ConfigurationRevision &Item : Head.History)
    History.push_back(toObject(Item));
  json::object Object = toObject(Head.Current);
  Object.emplace("history", std::move(History));
  return json::serialize(Object);
}

static ConfigurationRevision parseRevision(const json::value &Value) {
  ConfigurationRevision Item;
  Item.Version.Number = Value.at("version").to_number<std::uint64_t>();
  Item.TextDigest = Value.at("digest").as_string().c_str();
  Item.Operator = Value.at("operator").as_string().c_str();
  Item.Accepted = WallTime(std::chrono::milliseconds(
      Value.at("accepted_ms").to_number<std::int64_t>()));
  return Item;
}

Result<ConfigurationHead> parseConfigurationHead(std::string_view Bytes) {
  try {
    const json::value Value = json::parse({Bytes.data(), Bytes.size()});
    ConfigurationHead Head;
    Head.Current = parseRevision(Value);
    for (const json::value &Item : Value.at("history").as_array())
      Head.History.push_back(parseRevision(Item));
    return Head;
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse configuration head",
                ConfigurationKey, Failure.what());
  }
}

} // namespace bronzeward
