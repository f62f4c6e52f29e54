#include "review/harness/Store.h"

#include <algorithm>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

/// Calls that all machines may make in a second.
constexpr int WritesPerSecond = 400;
constexpr int ReadsPerSecond = 2000;
/// Number of items in one page of a range.
constexpr std::size_t PageItems = 500;

static const char *const Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          (Group << 8U) |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text +=
          Index <= Count ? Alphabet[(Group >> (18 - 6 * Index)) & 63U] : '=';
  }
  return Text;
}

static std::string decodeBase64(std::string_view Text) {
  const std::string_view Known(Alphabet);
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (const char Character : Text) {
    const std::size_t Value = Known.find(Character);
    if (Value == std::string_view::npos)
      break;
    Group = (Group << 6U) | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>((Group >> static_cast<unsigned>(Bits)) & 255U);
  }
  return Bytes;
}

static std::string decodePercent(std::string_view Text) {
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Out += static_cast<char>(
          std::stoi(std::string(Text.substr(At + 1, 2)), nullptr, 16));
      At += 2;
    } else {
      Out += Text[At];
    }
  }
  return Out;
}

static std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Query;
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Pair = Target.substr(At + 1, End - At - 1);
    const std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Query[Pair.substr(0, Equals)] = decodePercent(Pair.substr(Equals + 1));
    At = End;
  }
  return Query;
}

Store::Store(std::string Address, std::uint16_t ListenPort)
    : Ip(std::move(Address)), Port(ListenPort), Listener(listenAt(Ip, Port)) {
  if (!Listener.open())
    return;
  Threads.emplace_back([this] { acceptLoop(); });
  Threads.emplace_back([this] { expireLoop(); });
}

Store::~Store() {
  Stopping = true;
  Changed.notify_all();
  std::list<std::thread> Ended;
  {
    const std::lock_guard<std::mutex> Guard(ThreadsLock);
    Ended.swap(Threads);
  }
  for (std::thread &Item : Ended)
    Item.join();
  // Connections that were accepted meanwhile.
  for (std::thread &Item : Threads)
    Item.join();
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Guard(Lock);
  write(Key, Value, 0);
}

void Store::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(Lock);
  erase(Key);
}

std::size_t Store::count(const std::string &Prefix) {
  const std::lock_guard<std::mutex> Guard(Lock);
  return static_cast<std::size_t>(
      std::count_if(Items.begin(), Items.end(), [&](const auto &Held) {
        return Held.first.starts_with(Prefix);
      }));
}

/// \returns whether the system cannot write a key.
static bool isForeign(const std::string &Key) {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

void Store::restoreCopy(milliseconds Age, milliseconds Away) {
  IsAway = true;
  Changed.notify_all();
  std::this_thread::sleep_for(Away);
  const std::lock_guard<std::mutex> Guard(Lock);
  const Clock::time_point Now = Clock::now();
  const Clock::time_point Copied = Now - Away - Age;
  std::map<std::string, Item> Foreign;
  for (const auto &[Key, Held] : Items)
    if (isForeign(Key))
      Foreign.emplace(Key, Held);
  std::erase_if(History,
                [Copied](const Change &Made) { return Made.At > Copied; });
  Items.clear();
  Revision = FirstRevision;
  for (const Change &Made : History) {
    Revision = Made.Revision;
    if (Made.Written)
      Items[Made.Key] = *Made.Written;
    else
      Items.erase(Made.Key);
  }
  std::erase_if(Leases, [Copied](const auto &Held) {
    return Held.second.Granted > Copied;
  });
  for (auto &[Number, Held] : Leases)
    Held.Ends = Now + Held.Length;
  ++Era;
  std::vector<std::string> Gone;
  for (const auto &[Key, Held] : Items)
    if (isForeign(Key) && !Foreign.contains(Key))
      Gone.push_back(Key);
  for (const std::string &Key : Gone)
    erase(Key);
  for (const auto &[Key, Held] : Foreign)
    if (!Items.contains(Key) || Items[Key].Value != Held.Value)
      write(Key, Held.Value, 0);
  IsAway = false;
}

void Store::acceptLoop() {
  while (!Stopping) {
    Socket Next = acceptFrom(Listener, milliseconds(20));
    if (IsAway)
      Next.reset();
    if (!Next.open())
      continue;
    const std::lock_guard<std::mutex> Guard(ThreadsLock);
    Threads.emplace_back([this, Connection = std::move(Next)]() mutable {
      serve(std::move(Connection));
    });
  }
}

void Store::expireLoop() {
  while (!Stopping) {
    std::this_thread::sleep_for(milliseconds(20));
    const std::lock_guard<std::mutex> Guard(Lock);
    const Clock::time_point Now = Clock::now();
    for (auto Ended = Leases.begin(); Ended != Leases.end();) {
      if (Now < Ended->second.Ends) {
        ++Ended;
        continue;
      }
      std::vector<std::string> Keys;
      for (const auto &[Key, Held] : Items)
        if (Held.Lease == Ended->first)
          Keys.push_back(Key);
      for (const std::string &Key : Keys)
        erase(Key);
      Ended = Leases.erase(Ended);
    }
  }
}

void Store::serve(Socket Connection) {
  Reader From(Connection, [this] { return Stopping || IsAway; });
  while (!Stopping) {
    const Message Request = From.readRequest();
    if (!Request.Whole)
      return;
    const Reply Made = handle(Request);
    ++Calls;
    if (IsAway ||
        !sendAll(Connection, answerText(Made.Status,
                                        {{"Content-Type", "application/json"},
                                         {"Store-Era", std::to_string(Era)}},
                                        json::serialize(Made.Body))))
      return;
  }
}

bool Store::exceedsRate(bool Writes) {
  const std::lock_guard<std::mutex> Guard(Lock);
  const Clock::time_point Now = Clock::now();
  if (Now >= SecondBegin + std::chrono::seconds(1)) {
    SecondBegin = Now;
    ReadsInSecond = 0;
    WritesInSecond = 0;
  }
  return Writes ? ++WritesInSecond > WritesPerSecond
                : ++ReadsInSecond > ReadsPerSecond;
}

Store::Reply Store::handle(const Message &Request) {
  const std::string Path = Request.Target.substr(0, Request.Target.find('?'));
  const std::map<std::string, std::string> Query = queryOf(Request.Target);
  const std::string Keep = "/bronzeward/kv-keep/";
  // A renewal counts as a read.
  const bool Writes = Request.Method == "POST" && !Path.starts_with(Keep);
  const bool Uncounted = Query.contains("allow_stale");
  if (!Uncounted && exceedsRate(Writes))
    return {429, {}};
  if (Path == "/bronzeward/kv-key")
    return readKey(Query);
  if (Path == "/bronzeward/kv-range")
    return readRange(Query);
  if (Path == "/bronzeward/kv-watch")
    return watch(Query);
  if (Path == "/bronzeward/kv-txn")
    return commit(Request);
  if (Path == "/bronzeward/kv-lease")
    return grantLease(Request);
  if (Path.starts_with(Keep))
    return keepLease(std::stoll(Path.substr(Keep.size())));
  return {404, {}};
}

json::object Store::describe(const std::string &Key, const Item &Held) {
  return {{"key", Key},
          {"value", encodeBase64(Held.Value)},
          {"rev", Held.Revision},
          {"create_revision", Held.Created},
          {"lease", Held.Lease}};
}

Store::Reply Store::readKey(const std::map<std::string, std::string> &Query) {
  const std::lock_guard<std::mutex> Guard(Lock);
  const auto Found = Items.find(Query.at("key"));
  if (Found == Items.end())
    return {404, {{"store_revision", Revision}}};
  Reply Made{200, describe(Found->first, Found->second)};
  Made.Body["store_revision"] = Revision;
  return Made;
}

Store::Reply Store::readRange(const std::map<std::string, std::string> &Query) {
  const std::lock_guard<std::mutex> Guard(Lock);
  const std::string &Prefix = Query.at("prefix");
  const auto After = Query.find("after");
  auto At = After == Query.end() ? Items.lower_bound(Prefix)
                                 : Items.upper_bound(After->second);
  json::array Listed;
  while (At != Items.end() && At->first.starts_with(Prefix) &&
         Listed.size() < PageItems) {
    Listed.push_back(describe(At->first, At->second));
    ++At;
  }
  const bool More = At != Items.end() && At->first.starts_with(Prefix);
  return {200,
          {{"items", std::move(Listed)},
           {"has_more", More},
           {"store_revision", Revision}}};
}

Store::Reply Store::watch(const std::map<std::string, std::string> &Query) {
  std::unique_lock<std::mutex> Guard(Lock);
  const std::string &Prefix = Query.at("prefix");
  const std::uint64_t After = std::stoull(Query.at("after"));
  const Clock::time_point Until =
      Clock::now() + milliseconds(std::stoll(Query.at("wait_ms")));
  while (true) {
    json::array Events;
    for (const Change &Made : History)
      if (Made.Revision > After && Made.Key.starts_with(Prefix))
        Events.push_back(Made.Written ? describe(Made.Key, *Made.Written)
                                      : json::object{{"key", Made.Key},
                                                     {"rev", Made.Revision},
                                                     {"deleted", true}});
    if (After > Revision)
      return {410, {}};
    if (!Events.empty() || Stopping || IsAway || Clock::now() >= Until)
      return {200,
              {{"events", std::move(Events)}, {"store_revision", Revision}}};
    Changed.wait_until(Guard, Until);
  }
}

json::array Store::presentItems(const json::value &Transaction) const {
  json::array Present;
  for (const json::value &Row : Transaction.at("expected_rev").as_array()) {
    const auto Found = Items.find(std::string(Row.at("key").as_string()));
    if (Found != Items.end())
      Present.push_back(describe(Found->first, Found->second));
  }
  return Present;
}

Store::Reply Store::commit(const Message &Request) {
  const json::value Parsed = json::parse(Request.Body);
  const std::lock_guard<std::mutex> Guard(Lock);
  for (const json::value &Row : Parsed.at("expected_rev").as_array()) {
    const auto Found = Items.find(std::string(Row.at("key").as_string()));
    const std::uint64_t Present =
        Found == Items.end() ? 0 : Found->second.Revision;
    if (Present != Row.at("rev").to_number<std::uint64_t>())
      return {412, {{"items", presentItems(Parsed)}}};
  }
  for (const json::value &Row : Parsed.at("writes").as_array()) {
    const json::value *Under = Row.as_object().if_contains("lease");
    const std::int64_t Number =
        Under == nullptr ? 0 : Under->to_number<std::int64_t>();
    if (Number != 0 && !Leases.contains(Number))
      return {404, {}};
  }
  for (const json::value &Row : Parsed.at("writes").as_array()) {
    const json::value *Under = Row.as_object().if_contains("lease");
    write(std::string(Row.at("key").as_string()),
          decodeBase64(Row.at("value").as_string()),
          Under == nullptr ? 0 : Under->to_number<std::int64_t>());
  }
  for (const json::value &Key : Parsed.at("remove").as_array())
    erase(std::string(Key.as_string()));
  return {200, {{"rev", Revision}}};
}

Store::Reply Store::grantLease(const Message &Request) {
  const json::value Parsed = json::parse(Request.Body);
  const milliseconds Length(Parsed.at("ttl_ms").to_number<std::int64_t>());
  const std::lock_guard<std::mutex> Guard(Lock);
  const Clock::time_point Now = Clock::now();
  Leases[++LastLease] = {Length, Now, Now + Length};
  return {200, {{"lease", LastLease}, {"ttl_ms", Length.count()}}};
}

Store::Reply Store::keepLease(std::int64_t Number) {
  const std::lock_guard<std::mutex> Guard(Lock);
  const auto Found = Leases.find(Number);
  if (Found == Leases.end())
    return {404, {}};
  Found->second.Ends = Clock::now() + Found->second.Length;
  return {200, {{"ttl_ms", Found->second.Length.count()}}};
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::int64_t LeaseNumber) {
  Item &Held = Items[Key];
  Held.Value = Value;
  Held.Revision = ++Revision;
  Held.Created = Held.Created == 0 ? Revision : Held.Created;
  Held.Lease = LeaseNumber;
  History.push_back({Key, Revision, Held, Clock::now()});
  Changed.notify_all();
}

void Store::erase(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  History.push_back({Key, ++Revision, std::nullopt, Clock::now()});
  Changed.notify_all();
}

} // namespace review
