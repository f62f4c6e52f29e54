#include "tools/Commands.h"

#include "bronzeward/src/Budget/SlotCommitter.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <iostream>

namespace bronzeward::tools {

namespace json = boost::json;

/// Times that a top-up is tried against racing committers.
constexpr int MaxTopUpTries = 50;

/// \brief A slot's whole history.
struct SlotHistory {
  SlotRecord Head;
  /// Oldest first.
  std::vector<Segment> Older;
};

static Result<std::vector<SegmentReference>>
listSegments(ControlStore &Store, const SlotRecord &Head) {
  std::vector<SegmentReference> Listed = Head.Segments;
  std::string Next = Head.OlderIndex;
  while (!Next.empty()) {
    const std::string Key = segmentKey(Head.Slot, Next);
    BOOST_OUTCOME_TRY(std::optional<StoreEntry> Entry, Store.read(Key));
    if (!Entry)
      return fail(ErrorKind::NotFound, "read index", Key, "is missing");
    BOOST_OUTCOME_TRY(SegmentIndex Index,
                      decodeSegmentIndex(Entry->Value, Key));
    Listed.insert(Listed.begin(), Index.Segments.begin(), Index.Segments.end());
    Next = Index.OlderIndex;
  }
  return Listed;
}

static Result<SlotHistory> readSlot(ControlStore &Store, SlotId Slot,
                                    bool WithSegments) {
  SlotHistory History;
  History.Head.Slot = Slot;
  BOOST_OUTCOME_TRY(std::optional<StoreEntry> Entry, Store.read(slotKey(Slot)));
  if (!Entry)
    return History;
  BOOST_OUTCOME_TRY(History.Head,
                    decodeSlotRecord(Entry->Value, slotKey(Slot)));
  if (!WithSegments)
    return History;
  BOOST_OUTCOME_TRY(std::vector<SegmentReference> Listed,
                    listSegments(Store, History.Head));
  for (const SegmentReference &Reference : Listed) {
    const std::string Key = segmentKey(Slot, Reference.Id);
    BOOST_OUTCOME_TRY(std::optional<StoreEntry> Stored, Store.read(Key));
    if (!Stored)
      return fail(ErrorKind::NotFound, "read segment", Key, "is missing");
    BOOST_OUTCOME_TRY(Segment Part, decodeSegment(Stored->Value, Key));
    History.Older.push_back(std::move(Part));
  }
  return History;
}

static OperationResult tryTopUp(ControlStore &Store, const TopUp &Change,
                                SlotId Slot, StoreStatus &Status) {
  const StoreReply Read = Store.call(ReadKey{slotKey(Slot)});
  Status = Read.Status;
  if (Status != StoreStatus::Ok)
    return {};
  SlotRecord Head;
  Head.Slot = Slot;
  std::uint64_t Revision = 0;
  if (!Read.Entries.empty()) {
    Result<SlotRecord> Decoded =
        decodeSlotRecord(Read.Entries.front().Value, slotKey(Slot));
    if (!Decoded) {
      Status = StoreStatus::Unavailable;
      return {};
    }
    Head = std::move(Decoded).value();
    Revision = Read.Entries.front().Revision;
  }
  SlotLedger Ledger(std::move(Head));
  OperationResult Outcome = Ledger.apply(Change);
  if (Outcome.Status != OperationStatus::Applied)
    return Outcome;
  Status =
      Store
          .call(CompareAndSwap{slotKey(Slot), encodeSlotRecord(Ledger.record()),
                               Revision, StoreLeaseId{}})
          .Status;
  return Outcome;
}

static int printTopUp(const CommandContext &Context, const TopUp &Change,
                      const OperationResult &Outcome) {
  if (Outcome.Status == OperationStatus::KeyReused) {
    std::cerr << "operation " << Change.Id.Value
              << " was applied before with another amount, "
              << Outcome.Amount.micros() << "\n";
    return Refused;
  }
  if (Outcome.Status == OperationStatus::Rejected) {
    std::cerr << "the amount is out of range\n";
    return Refused;
  }
  const char *Word =
      Outcome.Status == OperationStatus::Applied ? "applied" : "repeated";
  if (Context.Json)
    std::cout << json::serialize(
                     json::object{{"result", Word},
                                  {"workspace", Change.Workspace.Value},
                                  {"operation", Change.Id.Value},
                                  {"amount_micros", Change.Amount.micros()},
                                  {"order", Outcome.Order}})
              << "\n";
  else
    std::cout << Word << ": " << Change.Amount.micros() << " micros to "
              << Change.Workspace.Value << ", operation " << Change.Id.Value
              << "\n";
  return Success;
}

int runTopUp(CommandContext &Context) {
  if (Context.Arguments.size() != 2 || Context.OperationName.empty()) {
    std::cerr << "topup WORKSPACE MICROS --operation=ID\n";
    return Usage;
  }
  const std::string &Digits = Context.Arguments[1];
  std::int64_t Amount = 0;
  const auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Amount);
  if (Parsed.ec != std::errc() || Parsed.ptr != Digits.data() + Digits.size() ||
      Amount <= 0) {
    std::cerr << "amount \"" << Digits
              << "\" is not a whole number of micros above 0\n";
    return Usage;
  }
  const Result<Configuration> InForce = readConfiguration(Context.Store);
  if (!InForce)
    return report(InForce.error());
  const TopUp Change{WorkspaceId{Context.Arguments[0]},
                     OperationId{Context.OperationName}, Money(Amount)};
  const bool Known = std::any_of(
      InForce.value().Workspaces.begin(), InForce.value().Workspaces.end(),
      [&](const WorkspaceSpec &Item) { return Item.Name == Change.Workspace; });
  if (!Known) {
    std::cerr << "no workspace " << Change.Workspace.Value
              << " in the configuration\n";
    return NotFound;
  }
  const SlotId Slot = slotOf(Change.Workspace, InForce.value().Budget.Slots);
  StoreStatus Status = StoreStatus::Conflict;
  bool InDoubt = false;
  for (int Try = 0; Try < MaxTopUpTries; ++Try) {
    const OperationResult Outcome =
        tryTopUp(Context.Store, Change, Slot, Status);
    if (Status == StoreStatus::Ok)
      return printTopUp(Context, Change, Outcome);
    InDoubt = InDoubt || Status == StoreStatus::Unknown;
    if (Status == StoreStatus::Unavailable)
      break;
  }
  std::cerr << (InDoubt ? "unknown: the store's reply was lost; repeat the "
                          "command with the same --operation\n"
                        : "not applied: the store does not answer\n");
  return Away;
}

static json::object toJson(const Bill &Item) {
  return {{"request", Item.Request.Value},
          {"workspace", Item.Workspace.Value},
          {"key", Item.Key.Value},
          {"order", Item.Order},
          {"service", Item.Service.Value},
          {"upstream", Item.Upstream.Value},
          {"instance", Item.Holder.Instance.Value},
          {"configuration_version", Item.Configuration.Number},
          {"accepted_ms", Item.Accepted.time_since_epoch().count()},
          {"dispatched_ms", Item.Dispatched.time_since_epoch().count()},
          {"finished_ms", Item.Finished.time_since_epoch().count()},
          {"input_tokens", Item.Tokens.InputTokens},
          {"cached_tokens", Item.Tokens.CachedTokens},
          {"output_tokens", Item.Tokens.OutputTokens},
          {"call_price_micros", Item.Rate.Call.micros()},
          {"input_token_price_micros", Item.Rate.InputToken.micros()},
          {"cached_token_price_micros", Item.Rate.CachedToken.micros()},
          {"output_token_price_micros", Item.Rate.OutputToken.micros()},
          {"cost_micros", Item.Cost.micros()},
          {"written_off_micros", Item.WrittenOff.micros()},
          {"content", Item.Content.Value},
          {"answer_digest", Item.AnswerDigest}};
}

static json::object toJson(const Account &Budget, const LostGrants &Lost) {
  json::array Grants;
  for (const GrantLine &Line : Budget.Grants)
    Grants.push_back(
        json::object{{"instance", Line.Holder.Instance.Value},
                     {"epoch", Line.Holder.Epoch},
                     {"remaining_micros", Line.Remaining.micros()}});
  json::array Claims;
  for (const Claim &Item : Budget.OpenClaims)
    Claims.push_back(
        json::object{{"key", Item.Key.Value},
                     {"request", Item.Request.Value},
                     {"instance", Item.Holder.Instance.Value},
                     {"opened_ms", Item.Opened.time_since_epoch().count()}});
  return {{"workspace", Budget.Workspace.Value},
          {"prepaid_micros", Budget.Prepaid.micros()},
          {"settled_micros", Budget.Settled.micros()},
          {"granted_micros", outstanding(Budget).micros()},
          {"lost_micros", Lost.sum(Budget).micros()},
          {"available_micros", available(Budget).micros()},
          {"written_off_micros", Budget.WrittenOff.micros()},
          {"top_ups", Budget.TopUps.size()},
          {"grants", std::move(Grants)},
          {"open_claims", std::move(Claims)}};
}

static std::vector<const Bill *> allBills(const SlotHistory &History) {
  std::vector<const Bill *> Bills;
  for (const Segment &Part : History.Older)
    for (const Bill &Item : Part.Bills)
      Bills.push_back(&Item);
  for (const Bill &Item : History.Head.Bills)
    Bills.push_back(&Item);
  return Bills;
}

static void printAccount(const CommandContext &Context, const Account &Budget,
                         const SlotHistory &History) {
  json::object Shown = toJson(Budget, LostGrants(History.Head));
  json::array Bills;
  for (const Bill *Item : allBills(History))
    if (Item->Workspace == Budget.Workspace)
      Bills.push_back(toJson(*Item));
  if (Context.Json) {
    Shown.emplace("bills", std::move(Bills));
    std::cout << json::serialize(Shown) << "\n";
    return;
  }
  std::cout << "workspace " << Budget.Workspace.Value << "\n";
  for (const char *Field :
       {"prepaid_micros", "settled_micros", "granted_micros", "lost_micros",
        "available_micros", "written_off_micros"})
    std::cout << "  " << Field << " " << Shown.at(Field) << "\n";
  std::cout << "  bills " << Bills.size() << ", open claims "
            << Budget.OpenClaims.size() << "\n";
}

int runAccount(CommandContext &Context) {
  if (Context.Arguments.size() > 1) {
    std::cerr << "account [WORKSPACE] [--verify]\n";
    return Usage;
  }
  const Result<Configuration> InForce = readConfiguration(Context.Store);
  if (!InForce)
    return report(InForce.error());
  bool Found = false;
  bool Right = true;
  for (std::uint32_t Index = 0; Index < InForce.value().Budget.Slots; ++Index) {
    const Result<SlotHistory> History =
        readSlot(Context.Store, SlotId{Index}, true);
    if (!History)
      return report(History.error());
    for (const Account &Budget : History.value().Head.Accounts) {
      if (!Context.Arguments.empty() &&
          Budget.Workspace.Value != Context.Arguments[0])
        continue;
      Found = true;
      printAccount(Context, Budget, History.value());
    }
    if (!Context.Verify)
      continue;
    for (const std::string &Problem :
         verifySlot(History.value().Head, History.value().Older)) {
      Right = false;
      std::cerr << "slot " << Index << ": " << Problem << "\n";
    }
  }
  if (!Found && !Context.Arguments.empty()) {
    std::cerr << "no account " << Context.Arguments[0] << "\n";
    return NotFound;
  }
  if (Context.Verify && Right && !Context.Json)
    std::cout << "verified: bills add up, one bill a key, the chain holds\n";
  return Right ? Success : Refused;
}

int runRequest(CommandContext &Context) {
  if (Context.Arguments.size() != 1) {
    std::cerr << "request REQUEST-ID\n";
    return Usage;
  }
  const Result<Configuration> InForce = readConfiguration(Context.Store);
  if (!InForce)
    return report(InForce.error());
  const std::string &Wanted = Context.Arguments[0];
  for (std::uint32_t Index = 0; Index < InForce.value().Budget.Slots; ++Index) {
    const Result<SlotHistory> History =
        readSlot(Context.Store, SlotId{Index}, true);
    if (!History)
      return report(History.error());
    for (const Bill *Item : allBills(History.value())) {
      if (Item->Request.Value != Wanted && Item->Key.Value != Wanted)
        continue;
      std::cout << json::serialize(toJson(*Item)) << "\n";
      return Success;
    }
    for (const Account &Budget : History.value().Head.Accounts)
      for (const Claim &Item : Budget.OpenClaims)
        if (Item.Request.Value == Wanted || Item.Key.Value == Wanted) {
          std::cout << "open claim of " << Budget.Workspace.Value << ", key "
                    << Item.Key.Value
                    << ": whether it ran is not recorded; not billed\n";
          return Success;
        }
  }
  std::cerr << "no bill and no claim for " << Wanted << "\n";
  return NotFound;
}

} // namespace bronzeward::tools
