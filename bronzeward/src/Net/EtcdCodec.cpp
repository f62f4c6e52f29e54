#include "bronzeward/src/Net/EtcdCodec.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace bronzeward {

namespace json = boost::json;

std::string encodeBase64(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::string decodeBase64(std::string_view Text) {
  std::string Bytes(3 * Text.size() / 4 + 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return "";
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  return Bytes;
}

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

/// The gateway writes 64-bit numbers as text.
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

EtcdRequest encodeEtcd(const StoreCall &Call) {
  EtcdRequest Made;
  json::object Body;
  if (const auto *Read = std::get_if<ReadKey>(&Call)) {
    Made.Target = "/v3/kv/range";
    Body = {{"key", encodeBase64(Read->Key)}};
  } else if (const auto *List = std::get_if<ListKeys>(&Call)) {
    Made.Target = "/v3/kv/range";
    Body = {{"key", encodeBase64(List->Prefix)},
            {"range_end", encodeBase64(prefixEnd(List->Prefix))}};
  } else if (const auto *Swap = std::get_if<CompareAndSwap>(&Call)) {
    Made.Target = "/v3/kv/txn";
    Body = encodeTxn(*Swap);
  } else if (const auto *Delete = std::get_if<DeleteKey>(&Call)) {
    Made.Target = "/v3/kv/deleterange";
    Body = {{"key", encodeBase64(Delete->Key)}};
  } else if (const auto *Grant = std::get_if<GrantLease>(&Call)) {
    Made.Target = "/v3/lease/grant";
    Body = {{"TTL", std::to_string(Grant->TimeToLive.count())}};
  } else if (const auto *Keep = std::get_if<KeepAlive>(&Call)) {
    Made.Target = "/v3/lease/keepalive";
    Body = {{"ID", std::to_string(Keep->Lease.Number)}};
  }
  Made.Body = json::serialize(Body);
  return Made;
}

static void parseRange(const json::object &Object, StoreReply &Reply) {
  const json::value *Entries = Object.if_contains("kvs");
  if (Entries == nullptr)
    return;
  for (const json::value &Item : Entries->as_array()) {
    const json::object &Entry = Item.as_object();
    StoreEntry Found;
    Found.Key = decodeBase64(Entry.at("key").as_string());
    const json::value *Value = Entry.if_contains("value");
    if (Value != nullptr)
      Found.Value = decodeBase64(Value->as_string());
    Found.Revision = static_cast<std::uint64_t>(number(Entry, "mod_revision"));
    Reply.Entries.push_back(std::move(Found));
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
  // A lapsed lease comes back without a time to live.
  const json::value *Result = Object.if_contains("result");
  const json::object &Lease = Result == nullptr ? Object : Result->as_object();
  if (number(Lease, "TTL") <= 0)
    Reply.Status = StoreStatus::Conflict;
}

Result<StoreReply> parseEtcd(const StoreCall &Call, std::string_view Body) {
  try {
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
  } catch (const std::exception &Failure) {
    return fail(ErrorKind::InvalidData, "parse store reply", "store",
                Failure.what());
  }
}

} // namespace bronzeward
