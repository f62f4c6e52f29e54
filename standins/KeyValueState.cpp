#include "standins/KeyValueState.h"

#include "bronzeward/src/Net/Base64.h"
#include "bronzeward/src/Net/EtcdCodec.h"

namespace bronzeward::standins {

namespace json = boost::json;

static std::int64_t number(const json::object &In, const char *Name) {
  const json::value *Value = In.if_contains(Name);
  if (Value == nullptr)
    return 0;
  return Value->is_string() ? std::stoll(Value->as_string().c_str())
                            : Value->to_number<std::int64_t>();
}

static std::string bytes(const json::object &In, const char *Name) {
  const json::value *Value = In.if_contains(Name);
  return Value == nullptr ? "" : decodeBase64(Value->as_string());
}

json::object KeyValueState::header() const {
  return {{"revision", std::to_string(Revision)}};
}

std::optional<json::object> KeyValueState::call(const std::string &Target,
                                                const std::string &Body,
                                                TimePoint Now) {
  boost::system::error_code Failure;
  const json::value Parsed = json::parse(Body, Failure);
  if (Failure || !Parsed.is_object())
    return std::nullopt;
  const json::object &In = Parsed.as_object();
  expire(Now);
  if (Target == "/v3/kv/range")
    return range(In);
  if (Target == "/v3/kv/txn")
    return transact(In);
  if (Target == "/v3/kv/deleterange")
    return remove(In);
  if (Target == "/v3/lease/grant")
    return grant(In, Now);
  if (Target == "/v3/lease/keepalive")
    return keepAlive(In, Now);
  return std::nullopt;
}

json::object KeyValueState::range(const json::object &In) const {
  const std::string Key = bytes(In, "key");
  const std::string End = bytes(In, "range_end");
  json::array Found;
  for (auto Item = Entries.lower_bound(Key); Item != Entries.end(); ++Item) {
    const bool Inside = End.empty() ? Item->first == Key : Item->first < End;
    if (!Inside)
      break;
    Found.push_back(
        json::object{{"key", encodeBase64(Item->first)},
                     {"value", encodeBase64(Item->second.Value)},
                     {"mod_revision", std::to_string(Item->second.Revision)},
                     {"version", std::to_string(Item->second.Version)}});
  }
  json::object Reply{{"header", header()},
                     {"count", std::to_string(Found.size())}};
  if (!Found.empty())
    Reply.emplace("kvs", std::move(Found));
  return Reply;
}

bool KeyValueState::holds(const json::object &Compare) const {
  const auto Found = Entries.find(bytes(Compare, "key"));
  const std::uint64_t Current =
      Found == Entries.end() ? 0 : Found->second.Revision;
  return Current == static_cast<std::uint64_t>(number(Compare, "mod_revision"));
}

json::object KeyValueState::transact(const json::object &In) {
  bool Succeeded = true;
  if (const json::value *Compares = In.if_contains("compare"))
    for (const json::value &Item : Compares->as_array())
      Succeeded = Succeeded && holds(Item.as_object());
  const json::value *Operations =
      In.if_contains(Succeeded ? "success" : "failure");
  if (Operations != nullptr)
    for (const json::value &Item : Operations->as_array()) {
      const json::object &Put = Item.at("request_put").as_object();
      Entry &Changed = Entries[bytes(Put, "key")];
      Changed.Value = bytes(Put, "value");
      Changed.Revision = ++Revision;
      ++Changed.Version;
      Changed.Lease = number(Put, "lease");
    }
  return {{"header", header()}, {"succeeded", Succeeded}};
}

json::object KeyValueState::remove(const json::object &In) {
  const std::size_t Deleted = Entries.erase(bytes(In, "key"));
  Revision += Deleted;
  return {{"header", header()}, {"deleted", std::to_string(Deleted)}};
}

json::object KeyValueState::grant(const json::object &In, TimePoint Now) {
  const std::chrono::seconds TimeToLive(number(In, "TTL"));
  Leases[++LastLease] = {TimeToLive, Now + TimeToLive};
  return {{"header", header()},
          {"ID", std::to_string(LastLease)},
          {"TTL", std::to_string(TimeToLive.count())}};
}

json::object KeyValueState::keepAlive(const json::object &In, TimePoint Now) {
  const std::int64_t Id = number(In, "ID");
  json::object Reply{{"header", header()}, {"ID", std::to_string(Id)}};
  const auto Found = Leases.find(Id);
  if (Found != Leases.end()) {
    Found->second.Until = Now + Found->second.TimeToLive;
    Reply.emplace("TTL", std::to_string(Found->second.TimeToLive.count()));
  }
  return {{"result", std::move(Reply)}};
}

void KeyValueState::expire(TimePoint Now) {
  for (auto Item = Leases.begin(); Item != Leases.end();) {
    if (Now < Item->second.Until) {
      ++Item;
      continue;
    }
    const std::int64_t Id = Item->first;
    Revision += std::erase_if(Entries, [Id](const auto &Stored) {
      return Stored.second.Lease == Id;
    });
    Item = Leases.erase(Item);
  }
}

} // namespace bronzeward::standins
