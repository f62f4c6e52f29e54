#include "bronzeward/src/Net/EtcdCodec.h"

#include "bronzeward/src/Net/Base64.h"

#include <boost/json.hpp>

namespace bronzeward {

namespace json = boost::json;

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    if (static_cast<unsigned char>(Prefix.back()) != 0xFF) {
      ++Prefix.back();
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

/// The gateway writes 64-bit numbers as strings.
/// \returns 0 if the number is missing.
static std::int64_t number(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr)
    return 0;
  if (Value->is_string())
    return std::stoll(Value->as_string().c_str());
  return Value->to_number<std::int64_t>();
}

static json::object encodeTxn(const CompareAndSwap &Call) {
  const std::string Key = encodeBase64(Call.Key);
  json::object Put{{"key", Key}, {"value", encodeBase64(Call.Value)}};
  if (Call.Lease.Number != 0)
    Put.emplace("lease", std::to_string(Call.Lease.Number));
  const json::object Compare{
      {"key", Key},
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"mod_revision", std::to_string(Call.ExpectedRevision)}};
  return {{"compare", json::array{Compare}},
          {"success", json::array{json::object{{"request_put", Put}}}}};
}

std::optional<StoreHttpCall> EtcdCodec::encode(const StoreCall &Call) const {
  // The gateway serves a watch as an endless stream, which is not supported;
  // callers list the keys instead.
  if (std::holds_alternative<WatchKeys>(Call))
    return std::nullopt;
  StoreHttpCall Encoded;
  Encoded.Method = "POST";
  json::object Body;
  if (const auto *Read = std::get_if<ReadKey>(&Call)) {
    Encoded.Target = "/v3/kv/range";
    Body = {{"key", encodeBase64(Read->Key)}};
  } else if (const auto *List = std::get_if<ListKeys>(&Call)) {
    Encoded.Target = "/v3/kv/range";
    Body = {{"key", encodeBase64(List->Prefix)},
            {"range_end", encodeBase64(prefixEnd(List->Prefix))}};
  } else if (const auto *Swap = std::get_if<CompareAndSwap>(&Call)) {
    Encoded.Target = "/v3/kv/txn";
    Body = encodeTxn(*Swap);
  } else if (const auto *Delete = std::get_if<DeleteKey>(&Call)) {
    Encoded.Target = "/v3/kv/deleterange";
    Body = {{"key", encodeBase64(Delete->Key)}};
  } else if (const auto *Grant = std::get_if<GrantLease>(&Call)) {
    Encoded.Target = "/v3/lease/grant";
    Body = {{"TTL", std::to_string(Grant->TimeToLive.count())}};
  } else if (const auto *Keep = std::get_if<KeepAlive>(&Call)) {
    Encoded.Target = "/v3/lease/keepalive";
    Body = {{"ID", std::to_string(Keep->Lease.Number)}};
  }
  Encoded.Body = json::serialize(Body);
  return Encoded;
}

static void parseRange(const json::object &Object, StoreReply &Reply) {
  const json::value *Entries = Object.if_contains("kvs");
  if (Entries == nullptr)
    return;
  for (const json::value &Item : Entries->as_array()) {
    const json::object &Entry = Item.as_object();
    StoreEntry Parsed;
    Parsed.Key = decodeBase64(Entry.at("key").as_string());
    const json::value *Value = Entry.if_contains("value");
    if (Value != nullptr)
      Parsed.Value = decodeBase64(Value->as_string());
    Parsed.Revision = static_cast<std::uint64_t>(number(Entry, "mod_revision"));
    Reply.Entries.push_back(std::move(Parsed));
  }
}

static void parseTxn(const json::object &Object, StoreReply &Reply) {
  const json::value *Succeeded = Object.if_contains("succeeded");
  if (Succeeded == nullptr || !Succeeded->as_bool()) {
    Reply.Status = StoreStatus::Conflict;
    return;
  }
  Reply.Revision = static_cast<std::uint64_t>(
      number(Object.at("header").as_object(), "revision"));
}

static void parseKeepAlive(const json::object &Object, StoreReply &Reply) {
  // The gateway reports an expired lease without a time to live.
  const json::value *Result = Object.if_contains("result");
  const json::object &Lease = Result == nullptr ? Object : Result->as_object();
  if (number(Lease, "TTL") <= 0)
    Reply.Status = StoreStatus::Conflict;
}

static StoreReply parseBody(const StoreCall &Call, std::string_view Body) {
  const json::value Parsed = json::parse({Body.data(), Body.size()});
  const json::object &Object = Parsed.as_object();
  StoreReply Reply;
  Reply.Status = StoreStatus::Ok;
  if (std::holds_alternative<ReadKey>(Call) ||
      std::holds_alternative<ListKeys>(Call))
    parseRange(Object, Reply);
  else if (std::holds_alternative<CompareAndSwap>(Call))
    parseTxn(Object, Reply);
  else if (std::holds_alternative<GrantLease>(Call))
    Reply.Lease.Number = number(Object, "ID");
  else if (std::holds_alternative<KeepAlive>(Call))
    parseKeepAlive(Object, Reply);
  return Reply;
}

StoreReply EtcdCodec::parse(const StoreCall &Call, std::uint16_t Status,
                            std::string_view Body) const {
  StoreReply Reply;
  Reply.Status = StoreStatus::Unknown;
  if (Status == 404 && std::holds_alternative<KeepAlive>(Call))
    Reply.Status = StoreStatus::Conflict;
  if (Status != 200)
    return Reply;
  try {
    return parseBody(Call, Body);
  } catch (const std::exception &Failure) {
    // The effect of a call is unknown if its reply cannot be parsed.
    Reply.Problem = Failure.what();
    return Reply;
  }
}

} // namespace bronzeward
