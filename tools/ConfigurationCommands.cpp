#include "tools/Commands.h"
#include "tools/PeerNotice.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace bronzeward::tools {

namespace json = boost::json;

static Result<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path);
  if (!In)
    return fail(ErrorKind::NotFound, "read file", Path, "cannot be opened");
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Prints every fault. \returns whether there is none.
static bool checkText(const CommandContext &Context, const std::string &Path,
                      const std::string &Text) {
  const auto Parsed = parseConfiguration(Text);
  if (Parsed)
    return true;
  json::array Listed;
  for (const Diagnostic &Fault : Parsed.error()) {
    if (!Context.Json)
      std::cerr << Path << ":" << describe(Fault) << "\n";
    Listed.push_back(json::object{{"line", Fault.Line},
                                  {"column", Fault.Column},
                                  {"path", Fault.Path},
                                  {"found", Fault.Found},
                                  {"allowed", Fault.Allowed}});
  }
  if (Context.Json)
    std::cout << json::serialize(json::object{{"faults", Listed}}) << "\n";
  return false;
}

struct StoredHead {
  ConfigurationHead Head;
  std::uint64_t Revision = 0;
};

static Result<StoredHead> readHead(ControlStore &Store) {
  BOOST_OUTCOME_TRY(std::optional<StoreEntry> Entry,
                    Store.read(ConfigurationKey));
  StoredHead Found;
  if (!Entry)
    return Found;
  BOOST_OUTCOME_TRY(Found.Head, parseConfigurationHead(Entry->Value));
  Found.Revision = Entry->Revision;
  return Found;
}

static Result<std::string> readText(ControlStore &Store,
                                    const std::string &Digest) {
  BOOST_OUTCOME_TRY(std::optional<StoreEntry> Entry,
                    Store.read(archiveKey(Digest)));
  if (!Entry)
    return fail(ErrorKind::NotFound, "read text", Digest, "not in the store");
  return Entry->Value;
}

Result<Configuration> readConfiguration(ControlStore &Store) {
  BOOST_OUTCOME_TRY(StoredHead Found, readHead(Store));
  if (Found.Revision == 0)
    return fail(ErrorKind::NotFound, "read configuration", Store.address(),
                "none was accepted yet");
  BOOST_OUTCOME_TRY(std::string Text,
                    readText(Store, Found.Head.Current.TextDigest));
  auto Parsed = parseConfiguration(Text);
  if (!Parsed)
    return fail(ErrorKind::InvalidData, "parse configuration", Store.address(),
                describe(Parsed.error().front()));
  return std::move(Parsed).value();
}

int runCheck(CommandContext &Context) {
  if (Context.Arguments.size() != 1)
    return Usage;
  const Result<std::string> Text = readFile(Context.Arguments[0]);
  if (!Text)
    return report(Text.error());
  if (!checkText(Context, Context.Arguments[0], Text.value()))
    return Refused;
  std::cout << (Context.Json ? "{\"faults\":[]}" : "the text is right") << "\n";
  return Success;
}

static void printRevision(const CommandContext &Context, const char *Word,
                          const ConfigurationRevision &Item) {
  if (Context.Json)
    std::cout << json::serialize(json::object{
                     {"result", Word},
                     {"version", Item.Version.Number},
                     {"digest", Item.TextDigest},
                     {"operator", Item.Operator},
                     {"accepted_ms", Item.Accepted.time_since_epoch().count()}})
              << "\n";
  else
    std::cout << Word << " version " << Item.Version.Number << " by "
              << Item.Operator << " text " << Item.TextDigest << "\n";
}

/// Prints the lines that the other operator's text has and ours lacks.
static void printOtherEdit(ControlStore &Store,
                           const ConfigurationRevision &Other,
                           const std::string &Ours) {
  const Result<std::string> Text = readText(Store, Other.TextDigest);
  if (!Text)
    return;
  std::set<std::string> Known;
  std::stringstream OwnLines(Ours);
  std::string Line;
  while (std::getline(OwnLines, Line))
    Known.insert(Line);
  std::stringstream OtherLines(Text.value());
  while (std::getline(OtherLines, Line))
    if (!Known.contains(Line))
      std::cerr << "  theirs: " << Line << "\n";
}

static int reportConflict(CommandContext &Context,
                          const ConfigurationRevision &Other,
                          const std::string &Ours) {
  std::cerr << "conflict: version " << Other.Version.Number << " by "
            << Other.Operator << " is in force, not the expected one\n";
  printOtherEdit(Context.Store, Other, Ours);
  return Conflict;
}

/// Writes the text under its digest; writing it again changes nothing.
static Result<void> archive(ControlStore &Store, const std::string &Text) {
  const std::string Key = archiveKey(sha256Hex(Text));
  const StoreReply Reply =
      Store.call(CompareAndSwap{Key, Text, 0, StoreLeaseId{}});
  if (Reply.Status == StoreStatus::Ok || Reply.Status == StoreStatus::Conflict)
    return boost::outcome_v2::success();
  return fail(ErrorKind::Unavailable, "write text", Store.address(),
              "the store does not answer; nothing was accepted");
}

int runApply(CommandContext &Context) {
  if (Context.Arguments.size() != 1)
    return Usage;
  const Result<std::string> Text = readFile(Context.Arguments[0]);
  if (!Text)
    return report(Text.error());
  if (!checkText(Context, Context.Arguments[0], Text.value()))
    return Refused;
  const Result<StoredHead> Found = readHead(Context.Store);
  if (!Found)
    return report(Found.error());
  const ConfigurationRevision &Current = Found.value().Head.Current;
  const bool Expected = Context.ExpectedVersion < 0 ||
                        static_cast<std::uint64_t>(Context.ExpectedVersion) ==
                            Current.Version.Number;
  if (!Expected)
    return reportConflict(Context, Current, Text.value());
  if (Found.value().Revision != 0) {
    const Result<Configuration> InForce = readConfiguration(Context.Store);
    const auto Wanted = parseConfiguration(Text.value());
    if (InForce &&
        InForce.value().Budget.Slots != Wanted.value().Budget.Slots) {
      std::cerr << "deployment.slots cannot change once accounts exist; it is "
                << InForce.value().Budget.Slots << "\n";
      return Refused;
    }
  }
  const Result<void> Archived = archive(Context.Store, Text.value());
  if (!Archived)
    return report(Archived.error());
  const ConfigurationHead Next =
      nextHead(Found.value().Head, Text.value(), Context.Operator,
               SystemClock().wallNow());
  const PeerNotice Notice(Context.Store);
  const StoreReply Reply = Context.Store.call(
      CompareAndSwap{ConfigurationKey, encodeConfigurationHead(Next),
                     Found.value().Revision, StoreLeaseId{}});
  if (Reply.Status == StoreStatus::Ok) {
    Notice.send(Next.Current.Version, Text.value());
    printRevision(Context, "accepted", Next.Current);
    return Success;
  }
  // A lost reply and a conflict are told apart by reading back.
  const Result<StoredHead> After = readHead(Context.Store);
  if (!After) {
    std::cerr << "unknown: the store's reply was lost; whether version "
              << Next.Current.Version.Number
              << " was accepted will show in `bronzewardctl history`\n";
    return Away;
  }
  const ConfigurationRevision &Seen = After.value().Head.Current;
  if (Seen.Version == Next.Current.Version &&
      Seen.TextDigest == Next.Current.TextDigest &&
      Seen.Operator == Next.Current.Operator &&
      Seen.Accepted == Next.Current.Accepted) {
    Notice.send(Seen.Version, Text.value());
    printRevision(Context, "accepted", Seen);
    return Success;
  }
  return reportConflict(Context, Seen, Text.value());
}

int runShow(CommandContext &Context) {
  const Result<StoredHead> Found = readHead(Context.Store);
  if (!Found)
    return report(Found.error());
  if (Found.value().Revision == 0) {
    std::cerr << "no configuration was accepted yet\n";
    return NotFound;
  }
  const ConfigurationRevision *Wanted = &Found.value().Head.Current;
  if (Context.ExpectedVersion >= 0)
    for (const ConfigurationRevision &Item : Found.value().Head.History)
      if (Item.Version.Number ==
          static_cast<std::uint64_t>(Context.ExpectedVersion))
        Wanted = &Item;
  const Result<std::string> Text = readText(Context.Store, Wanted->TextDigest);
  if (!Text)
    return report(Text.error());
  if (Context.Json)
    std::cout << json::serialize(
                     json::object{{"version", Wanted->Version.Number},
                                  {"text", Text.value()}})
              << "\n";
  else
    std::cout << Text.value();
  return Success;
}

int runHistory(CommandContext &Context) {
  const Result<StoredHead> Found = readHead(Context.Store);
  if (!Found)
    return report(Found.error());
  if (Found.value().Revision == 0)
    return Success;
  printRevision(Context, "in force", Found.value().Head.Current);
  for (const ConfigurationRevision &Item : Found.value().Head.History)
    printRevision(Context, "earlier", Item);
  return Success;
}

} // namespace bronzeward::tools
