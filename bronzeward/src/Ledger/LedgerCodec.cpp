#include "bronzeward/src/Ledger/LedgerCodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/common.h>
#include <kj/exception.h>

namespace bronzeward {
namespace internal {

static std::int64_t toMs(WallTime Time) {
  return Time.time_since_epoch().count();
}

static WallTime fromMs(std::int64_t Ms) {
  return WallTime(std::chrono::milliseconds(Ms));
}

static void write(schema::RecordedAnswer::Builder Out,
                  const RecordedAnswer &In) {
  Out.setStatus(In.Status);
  Out.setContentType(In.ContentType);
  Out.setBody(In.Body);
  Out.setBodyKept(In.BodyKept);
}

static RecordedAnswer read(schema::RecordedAnswer::Reader In) {
  RecordedAnswer Out;
  Out.Status = In.getStatus();
  Out.ContentType = In.getContentType().cStr();
  Out.Body.assign(In.getBody().begin(), In.getBody().end());
  Out.BodyKept = In.getBodyKept();
  return Out;
}

static void write(schema::TopUpEntry::Builder Out, const TopUpEntry &In) {
  Out.setId(In.Id.Value);
  Out.setAmount(In.Amount.micros());
  Out.setOrder(In.Order);
}

static TopUpEntry read(schema::TopUpEntry::Reader In) {
  return {OperationId{In.getId().cStr()}, Money(In.getAmount()), In.getOrder()};
}

static void write(schema::GrantLine::Builder Out, const GrantLine &In) {
  internal::write(Out.initHolder(), In.Holder);
  Out.setRemaining(In.Remaining.micros());
  Out.setSequence(In.Sequence);
  Out.setLastAmount(In.LastAmount.micros());
}

static GrantLine read(schema::GrantLine::Reader In) {
  return {internal::read(In.getHolder()), Money(In.getRemaining()),
          In.getSequence(), Money(In.getLastAmount())};
}

static void write(schema::Claim::Builder Out, const Claim &In) {
  Out.setKey(In.Key.Value);
  Out.setContent(In.Content.Value);
  Out.setRequest(In.Request.Value);
  internal::write(Out.initHolder(), In.Holder);
  Out.setOpenedMs(toMs(In.Opened));
  Out.setOrder(In.Order);
}

static Claim read(schema::Claim::Reader In) {
  return {IdempotencyKey{In.getKey().cStr()},
          ContentFingerprint{In.getContent().cStr()},
          RequestId{In.getRequest().cStr()},
          internal::read(In.getHolder()),
          fromMs(In.getOpenedMs()),
          In.getOrder()};
}

static void write(schema::SegmentReference::Builder Out,
                  const SegmentReference &In) {
  Out.setId(In.Id);
  Out.setFirstOrder(In.FirstOrder);
  Out.setLastOrder(In.LastOrder);
  Out.setBills(In.Bills);
  Out.setNewestMs(toMs(In.Newest));
}

static SegmentReference read(schema::SegmentReference::Reader In) {
  return {In.getId().cStr(), In.getFirstOrder(), In.getLastOrder(),
          In.getBills(), fromMs(In.getNewestMs())};
}

static void write(schema::Account::Builder Out, const Account &In);
static Account read(schema::Account::Reader In);

/// Writes each element of a vector to a list of the same size.
template <class List, class Item>
static void writeList(List Out, const std::vector<Item> &In) {
  unsigned Index = 0;
  for (const Item &Value : In)
    internal::write(Out[Index++], Value);
}

template <class Item, class List> std::vector<Item> readList(List In) {
  std::vector<Item> Out;
  Out.reserve(In.size());
  for (auto Value : In)
    Out.push_back(internal::read(Value));
  return Out;
}

static void write(schema::Account::Builder Out, const Account &In) {
  Out.setWorkspace(In.Workspace.Value);
  Out.setPrepaid(In.Prepaid.micros());
  Out.setSettled(In.Settled.micros());
  Out.setWrittenOff(In.WrittenOff.micros());
  writeList(Out.initTopUps(In.TopUps.size()), In.TopUps);
  writeList(Out.initGrants(In.Grants.size()), In.Grants);
  writeList(Out.initClaims(In.OpenClaims.size()), In.OpenClaims);
}

static Account read(schema::Account::Reader In) {
  Account Out;
  Out.Workspace.Value = In.getWorkspace().cStr();
  Out.Prepaid = Money(In.getPrepaid());
  Out.Settled = Money(In.getSettled());
  Out.WrittenOff = Money(In.getWrittenOff());
  Out.TopUps = readList<TopUpEntry>(In.getTopUps());
  Out.Grants = readList<GrantLine>(In.getGrants());
  Out.OpenClaims = readList<Claim>(In.getClaims());
  return Out;
}

/// Decodes Bytes as one message and applies Read to its root.
/// \returns the result of Read, or an error if the message is malformed.
template <class Root, class Reader>
static auto decode(std::string_view Bytes, const std::string &Step,
                   const std::string &Key, Reader Read)
    -> Result<decltype(Read(std::declval<typename Root::Reader>()))> {
  if (Bytes.empty() || Bytes.size() % sizeof(capnp::word) != 0)
    return fail(ErrorKind::InvalidData, Step, Key,
                "length is not a whole number of words");
  kj::Array<capnp::word> Words =
      kj::heapArray<capnp::word>(Bytes.size() / sizeof(capnp::word));
  std::memcpy(Words.begin(), Bytes.data(), Bytes.size());
  try {
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = std::uint64_t{64} * 1024 * 1024;
    capnp::FlatArrayMessageReader Message(Words, Options);
    return Read(Message.getRoot<Root>());
  } catch (const kj::Exception &Failure) {
    return fail(ErrorKind::InvalidData, Step, Key,
                Failure.getDescription().cStr());
  }
}

static std::string flatten(capnp::MessageBuilder &Message) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  const kj::ArrayPtr<const kj::byte> Bytes = Words.asBytes();
  return {Bytes.asChars().begin(), Bytes.size()};
}

void write(schema::Incarnation::Builder Out, const Incarnation &In) {
  Out.setInstance(In.Instance.Value);
  Out.setEpoch(In.Epoch);
}

Incarnation read(schema::Incarnation::Reader In) {
  return {InstanceId{In.getInstance().cStr()}, In.getEpoch()};
}

void write(schema::Bill::Builder Out, const Bill &In) {
  Out.setWorkspace(In.Workspace.Value);
  Out.setKey(In.Key.Value);
  Out.setRequest(In.Request.Value);
  Out.setContent(In.Content.Value);
  Out.setService(In.Service.Value);
  Out.setUpstream(In.Upstream.Value);
  write(Out.initHolder(), In.Holder);
  Out.setConfiguration(In.Configuration.Number);
  Out.setAcceptedMs(toMs(In.Accepted));
  Out.setDispatchedMs(toMs(In.Dispatched));
  Out.setFinishedMs(toMs(In.Finished));
  Out.setInputTokens(In.Tokens.InputTokens);
  Out.setCachedTokens(In.Tokens.CachedTokens);
  Out.setOutputTokens(In.Tokens.OutputTokens);
  Out.setCallPrice(In.Rate.Call.micros());
  Out.setInputPrice(In.Rate.InputToken.micros());
  Out.setCachedPrice(In.Rate.CachedToken.micros());
  Out.setOutputPrice(In.Rate.OutputToken.micros());
  Out.setCost(In.Cost.micros());
  Out.setWrittenOff(In.WrittenOff.micros());
  Out.setOrder(In.Order);
  Out.setKeyFromCaller(In.KeyFromCaller);
  Out.setAnswerDigest(In.AnswerDigest);
  Out.setHasAnswer(In.Answer.has_value());
  if (In.Answer)
    write(Out.initAnswer(), *In.Answer);
}

Bill read(schema::Bill::Reader In) {
  Bill Out;
  Out.Workspace.Value = In.getWorkspace().cStr();
  Out.Key.Value = In.getKey().cStr();
  Out.Request.Value = In.getRequest().cStr();
  Out.Content.Value = In.getContent().cStr();
  Out.Service.Value = In.getService().cStr();
  Out.Upstream.Value = In.getUpstream().cStr();
  Out.Holder = read(In.getHolder());
  Out.Configuration.Number = In.getConfiguration();
  Out.Accepted = fromMs(In.getAcceptedMs());
  Out.Dispatched = fromMs(In.getDispatchedMs());
  Out.Finished = fromMs(In.getFinishedMs());
  Out.Tokens.InputTokens = In.getInputTokens();
  Out.Tokens.CachedTokens = In.getCachedTokens();
  Out.Tokens.OutputTokens = In.getOutputTokens();
  Out.Rate.Call = Money(In.getCallPrice());
  Out.Rate.InputToken = Money(In.getInputPrice());
  Out.Rate.CachedToken = Money(In.getCachedPrice());
  Out.Rate.OutputToken = Money(In.getOutputPrice());
  Out.Cost = Money(In.getCost());
  Out.WrittenOff = Money(In.getWrittenOff());
  Out.Order = In.getOrder();
  Out.KeyFromCaller = In.getKeyFromCaller();
  Out.AnswerDigest = In.getAnswerDigest().cStr();
  if (In.getHasAnswer())
    Out.Answer = read(In.getAnswer());
  return Out;
}

static void writeOne(schema::Operation::Builder Out, const TopUp &In) {
  schema::Operation::TopUp::Builder Group = Out.initTopUp();
  Group.setWorkspace(In.Workspace.Value);
  Group.setId(In.Id.Value);
  Group.setAmount(In.Amount.micros());
}

static void writeOne(schema::Operation::Builder Out, const DrawGrant &In) {
  schema::Operation::DrawGrant::Builder Group = Out.initDrawGrant();
  Group.setWorkspace(In.Workspace.Value);
  write(Group.initHolder(), In.Holder);
  Group.setSequence(In.Sequence);
  Group.setMinimum(In.Minimum.micros());
  Group.setWanted(In.Wanted.micros());
  Group.setShare(In.Share);
}

static void writeOne(schema::Operation::Builder Out, const ReturnGrant &In) {
  schema::Operation::ReturnGrant::Builder Group = Out.initReturnGrant();
  Group.setWorkspace(In.Workspace.Value);
  write(Group.initHolder(), In.Holder);
  Group.setSequence(In.Sequence);
  Group.setAmount(In.Amount.micros());
}

static void writeOne(schema::Operation::Builder Out, const CommitBill &In) {
  schema::Operation::CommitBill::Builder Group = Out.initCommitBill();
  write(Group.initBill(), In.Settled);
  Group.setAnswerReleased(In.AnswerReleased);
}

static void writeOne(schema::Operation::Builder Out, const OpenClaim &In) {
  schema::Operation::OpenClaim::Builder Group = Out.initOpenClaim();
  Group.setWorkspace(In.Workspace.Value);
  write(Group.initClaim(), In.Opened);
}

static void writeOne(schema::Operation::Builder Out, const ReleaseClaim &In) {
  schema::Operation::ReleaseClaim::Builder Group = Out.initReleaseClaim();
  Group.setWorkspace(In.Workspace.Value);
  Group.setKey(In.Key.Value);
  Group.setRequest(In.Request.Value);
}

static void writeOne(schema::Operation::Builder Out, const ReclaimGrants &In) {
  write(Out.initReclaimGrants(), In.Holder);
}

static void writeOne(schema::Operation::Builder Out, const RaisePrepaid &In) {
  schema::Operation::RaisePrepaid::Builder Group = Out.initRaisePrepaid();
  Group.setWorkspace(In.Workspace.Value);
  Group.setTotal(In.Total.micros());
}

static Operation readDrawGrant(schema::Operation::DrawGrant::Reader In) {
  return DrawGrant{WorkspaceId{In.getWorkspace().cStr()},
                   read(In.getHolder()),
                   In.getSequence(),
                   Money(In.getMinimum()),
                   Money(In.getWanted()),
                   In.getShare()};
}

static Operation readReturnGrant(schema::Operation::ReturnGrant::Reader In) {
  return ReturnGrant{WorkspaceId{In.getWorkspace().cStr()},
                     read(In.getHolder()), In.getSequence(),
                     Money(In.getAmount())};
}

void write(schema::Operation::Builder Out, const Operation &In) {
  std::visit([&](const auto &Item) { writeOne(Out, Item); }, In);
}

Operation read(schema::Operation::Reader In) {
  switch (In.which()) {
  case schema::Operation::TOP_UP:
    return TopUp{WorkspaceId{In.getTopUp().getWorkspace().cStr()},
                 OperationId{In.getTopUp().getId().cStr()},
                 Money(In.getTopUp().getAmount())};
  case schema::Operation::DRAW_GRANT:
    return readDrawGrant(In.getDrawGrant());
  case schema::Operation::RETURN_GRANT:
    return readReturnGrant(In.getReturnGrant());
  case schema::Operation::COMMIT_BILL:
    return CommitBill{read(In.getCommitBill().getBill()),
                      In.getCommitBill().getAnswerReleased()};
  case schema::Operation::OPEN_CLAIM:
    return OpenClaim{WorkspaceId{In.getOpenClaim().getWorkspace().cStr()},
                     read(In.getOpenClaim().getClaim())};
  case schema::Operation::RELEASE_CLAIM:
    return ReleaseClaim{WorkspaceId{In.getReleaseClaim().getWorkspace().cStr()},
                        IdempotencyKey{In.getReleaseClaim().getKey().cStr()},
                        RequestId{In.getReleaseClaim().getRequest().cStr()}};
  case schema::Operation::RECLAIM_GRANTS:
    return ReclaimGrants{read(In.getReclaimGrants())};
  case schema::Operation::RAISE_PREPAID:
    return RaisePrepaid{WorkspaceId{In.getRaisePrepaid().getWorkspace().cStr()},
                        Money(In.getRaisePrepaid().getTotal())};
  }
  // An operation of a later version. An empty top-up is rejected when applied.
  return TopUp{};
}

void write(schema::OperationResult::Builder Out, const OperationResult &In) {
  Out.setStatus(static_cast<std::uint16_t>(In.Status));
  Out.setAmount(In.Amount.micros());
  Out.setOrder(In.Order);
  writeList(Out.initHolders(In.Holders.size()), In.Holders);
  Out.setPrepaid(In.Balance.Prepaid.micros());
  Out.setSettled(In.Balance.Settled.micros());
  Out.setSetAside(In.Balance.Granted.micros());
  Out.setHolderCount(In.Balance.Holders);
  Out.setHasAnswer(In.Answer.has_value());
  if (In.Answer)
    write(Out.initAnswer(), *In.Answer);
}

OperationResult read(schema::OperationResult::Reader In) {
  OperationResult Out;
  Out.Status = static_cast<OperationStatus>(In.getStatus());
  Out.Amount = Money(In.getAmount());
  Out.Order = In.getOrder();
  Out.Holders = readList<Incarnation>(In.getHolders());
  Out.Balance.Prepaid = Money(In.getPrepaid());
  Out.Balance.Settled = Money(In.getSettled());
  Out.Balance.Granted = Money(In.getSetAside());
  Out.Balance.Holders = In.getHolderCount();
  if (In.getHasAnswer())
    Out.Answer = read(In.getAnswer());
  return Out;
}

} // namespace internal

std::string encodeBill(const Bill &Settled) {
  capnp::MallocMessageBuilder Message;
  internal::write(Message.initRoot<schema::Bill>(), Settled);
  return internal::flatten(Message);
}

std::string encodeSlotRecord(const SlotRecord &Record) {
  capnp::MallocMessageBuilder Message;
  schema::SlotRecord::Builder Out = Message.initRoot<schema::SlotRecord>();
  Out.setSlot(Record.Slot.Index);
  Out.setNextOrder(Record.NextOrder);
  Out.setChain(Record.Chain);
  Out.setRolledChain(Record.RolledChain);
  internal::writeList(Out.initAccounts(Record.Accounts.size()),
                      Record.Accounts);
  internal::writeList(Out.initBills(Record.Bills.size()), Record.Bills);
  internal::writeList(Out.initSegments(Record.Segments.size()),
                      Record.Segments);
  Out.setOlderIndex(Record.OlderIndex);
  return internal::flatten(Message);
}

Result<SlotRecord> decodeSlotRecord(std::string_view Bytes,
                                    const std::string &Key) {
  return internal::decode<schema::SlotRecord>(
      Bytes, "decode slot record", Key, [](schema::SlotRecord::Reader In) {
        SlotRecord Out;
        Out.Slot.Index = In.getSlot();
        Out.NextOrder = In.getNextOrder();
        Out.Chain = In.getChain().cStr();
        Out.RolledChain = In.getRolledChain().cStr();
        Out.Accounts = internal::readList<Account>(In.getAccounts());
        Out.Bills = internal::readList<Bill>(In.getBills());
        Out.Segments = internal::readList<SegmentReference>(In.getSegments());
        Out.OlderIndex = In.getOlderIndex().cStr();
        return Out;
      });
}

std::string encodeSegment(const Segment &Value) {
  capnp::MallocMessageBuilder Message;
  schema::Segment::Builder Out = Message.initRoot<schema::Segment>();
  Out.setChainBefore(Value.ChainBefore);
  internal::writeList(Out.initBills(Value.Bills.size()), Value.Bills);
  return internal::flatten(Message);
}

Result<Segment> decodeSegment(std::string_view Bytes, const std::string &Key) {
  return internal::decode<schema::Segment>(
      Bytes, "decode segment", Key, [](schema::Segment::Reader In) {
        Segment Out;
        Out.ChainBefore = In.getChainBefore().cStr();
        Out.Bills = internal::readList<Bill>(In.getBills());
        return Out;
      });
}

std::string encodeSegmentIndex(const SegmentIndex &Index) {
  capnp::MallocMessageBuilder Message;
  schema::SegmentIndex::Builder Out = Message.initRoot<schema::SegmentIndex>();
  internal::writeList(Out.initSegments(Index.Segments.size()), Index.Segments);
  Out.setOlderIndex(Index.OlderIndex);
  return internal::flatten(Message);
}

Result<SegmentIndex> decodeSegmentIndex(std::string_view Bytes,
                                        const std::string &Key) {
  return internal::decode<schema::SegmentIndex>(
      Bytes, "decode segment index", Key, [](schema::SegmentIndex::Reader In) {
        SegmentIndex Out;
        Out.Segments = internal::readList<SegmentReference>(In.getSegments());
        Out.OlderIndex = In.getOlderIndex().cStr();
        return Out;
      });
}

} // namespace bronzeward
