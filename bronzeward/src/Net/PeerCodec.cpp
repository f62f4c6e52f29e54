#include "bronzeward/src/Net/PeerCodec.h"

#include "bronzeward/src/Ledger/LedgerCodec.h"

namespace bronzeward::internal {

using Builder = schema::PeerMessage::Builder;

static void writeOne(Builder Out, const SubmitOperations &In) {
  schema::PeerMessage::Submit::Builder Group = Out.initSubmit();
  Group.setNumber(In.Number);
  Group.setSlot(In.Slot.Index);
  auto List = Group.initOperations(In.Operations.size());
  for (unsigned Index = 0; Index < In.Operations.size(); ++Index)
    write(List[Index], In.Operations[Index]);
}

static void writeOne(Builder Out, const OperationResults &In) {
  schema::PeerMessage::Results::Builder Group = Out.initResults();
  Group.setNumber(In.Number);
  Group.setCommitted(In.Committed);
  auto List = Group.initResults(In.Results.size());
  for (unsigned Index = 0; Index < In.Results.size(); ++Index)
    write(List[Index], In.Results[Index]);
}

static void writeOne(Builder Out, const RecallGrant &In) {
  schema::PeerMessage::Recall::Builder Group = Out.initRecall();
  Group.setWorkspace(In.Workspace.Value);
  write(Group.initHolder(), In.Holder);
}

static void writeOne(Builder Out, const CarryBill &In) {
  schema::PeerMessage::Carry::Builder Group = Out.initCarry();
  Group.setNumber(In.Number);
  write(Group.initBill(), In.Settled);
}

static void writeOne(Builder Out, const BillCarried &In) {
  Out.setCarried(In.Number);
}

static void writeOne(Builder Out, const ForgetBills &In) {
  auto List = Out.initForget().initNumbers(In.Numbers.size());
  for (unsigned Index = 0; Index < In.Numbers.size(); ++Index)
    List.set(Index, In.Numbers[Index]);
}

static void write(schema::RateLimitNotice::Builder Out,
                  const RateLimitNotice &In) {
  Out.setName(In.Upstream.Name.Value);
  Out.setStartedMs(In.Upstream.Started.time_since_epoch().count());
  Out.setLimited(In.Limit.has_value());
  Out.setCallsPerSecond(In.Limit.value_or(CallRate()).PerSecond);
  Out.setAgeMs(In.Age.count());
}

static void writeOne(Builder Out, const PeerDigest &In) {
  schema::PeerMessage::Digest::Builder Group = Out.initDigest();
  Group.setConfiguration(In.Configuration.Number);
  Group.setDraining(In.Draining);
  Group.setUpstreamRevision(In.UpstreamRevision);
  Group.setStoreAway(In.StoreUnreachable);
  Group.setPeerAddress(In.PeerAddress);
  Group.setWatchesStore(In.WatchesStore);
  auto List = Group.initSuspects(In.Suspects.size());
  for (unsigned Index = 0; Index < In.Suspects.size(); ++Index)
    List.set(Index, In.Suspects[Index].Value);
  auto Limits = Group.initRateLimits(In.RateLimits.size());
  for (unsigned Index = 0; Index < In.RateLimits.size(); ++Index)
    write(Limits[Index], In.RateLimits[Index]);
  Group.setEvacuationRevision(In.Evacuations.Revision);
  auto Domains = Group.initEvacuatedDomains(In.Evacuations.Domains.size());
  for (unsigned Index = 0; Index < In.Evacuations.Domains.size(); ++Index)
    Domains.set(Index, In.Evacuations.Domains[Index].Value);
}

static void writeOne(Builder Out, const ConfigurationText &In) {
  schema::PeerMessage::Configuration::Builder Group = Out.initConfiguration();
  Group.setVersion(In.Version.Number);
  Group.setPacked(capnp::Data::Reader(
      reinterpret_cast<const kj::byte *>(In.Text.Bytes.data()),
      In.Text.Bytes.size()));
  Group.setLength(In.Text.Length);
}

static void writeOne(Builder Out, const ConfigurationOffer &In) {
  Out.setConfigurationOffer(In.Version.Number);
}

static void writeOne(Builder Out, const ConfigurationRequest &) {
  Out.setConfigurationWanted();
}

static void writeOne(Builder Out, const UpstreamList &In) {
  schema::PeerMessage::Upstreams::Builder Group = Out.initUpstreams();
  Group.setRevision(In.Revision);
  Group.setWhole(In.Whole);
  Group.setSince(In.Since);
  auto List = Group.initEntries(In.Entries.size());
  for (unsigned Index = 0; Index < In.Entries.size(); ++Index) {
    const StoreEntry &Entry = In.Entries[Index];
    // A key may hold a NUL.
    List[Index].setKey(kj::StringPtr(Entry.Key.data(), Entry.Key.size()));
    List[Index].setValue(capnp::Data::Reader(
        reinterpret_cast<const kj::byte *>(Entry.Value.data()),
        Entry.Value.size()));
    List[Index].setRevision(Entry.Revision);
    List[Index].setDeleted(Entry.Deleted);
  }
}

static void writeOne(Builder Out, const LoanRequest &In) {
  schema::PeerMessage::LoanRequest::Builder Group = Out.initLoanRequest();
  Group.setWorkspace(In.Workspace.Value);
  Group.setLeast(In.Minimum.micros());
  Group.setWanted(In.Wanted.micros());
}

static void writeOne(Builder Out, const Loan &In) {
  schema::PeerMessage::Loan::Builder Group = Out.initLoan();
  Group.setWorkspace(In.Workspace.Value);
  write(Group.initLender(), In.Lender);
  Group.setAmount(In.Amount.micros());
  Group.setAgeMs(In.Age.count());
}

static void writeOne(Builder Out, const LoadNotice &In) {
  auto List = Out.initLoad().initUpstreams(In.Upstreams.size());
  for (unsigned Index = 0; Index < In.Upstreams.size(); ++Index) {
    List[Index].setName(In.Upstreams[Index].Name.Value);
    List[Index].setCalls(In.Upstreams[Index].Calls);
    List[Index].setPromptTokens(In.Upstreams[Index].PromptTokens);
  }
}

static void writeOne(Builder Out, const OperationsHandover &In) {
  auto List = Out.initHandover().initOperations(In.Operations.size());
  for (unsigned Index = 0; Index < In.Operations.size(); ++Index) {
    List[Index].setSlot(In.Operations[Index].Slot.Index);
    write(List[Index].initOperation(), In.Operations[Index].Change);
  }
}

static void writeOne(Builder Out, const PermitRequest &In) {
  schema::PeerMessage::PermitRequest::Builder Group = Out.initPermitRequest();
  Group.setNumber(In.Number);
  write(Group.initKnown(), In.Known);
  Group.setWanted(In.Wanted);
}

static void writeOne(Builder Out, const PermitReply &In) {
  schema::PeerMessage::PermitReply::Builder Group = Out.initPermitReply();
  Group.setNumber(In.Number);
  write(Group.initKnown(), In.Known);
  Group.setIssuing(In.Issuing);
  auto List = Group.initDelays(In.Delays.size());
  for (unsigned Index = 0; Index < In.Delays.size(); ++Index)
    List.set(Index, static_cast<std::uint32_t>(In.Delays[Index].count()));
  Group.setUntilNextFreeMs(
      static_cast<std::uint32_t>(In.UntilNextFree.count()));
}

template <typename Builder>
static void writeParts(Builder List, const std::vector<PartNotice> &In) {
  for (unsigned Index = 0; Index < In.size(); ++Index) {
    List[Index].setPart(In[Index].Part);
    List[Index].setAgeMs(static_cast<std::uint32_t>(In[Index].Age.count()));
  }
}

static void writeOne(Builder Out, const PartNews &In) {
  schema::PeerMessage::PartNews::Builder Group = Out.initPartNews();
  auto Crashes = Group.initCrashes(In.Crashes.size());
  for (unsigned Index = 0; Index < In.Crashes.size(); ++Index) {
    const CrashNotice &Item = In.Crashes[Index];
    Crashes[Index].setName(Item.Upstream.Name.Value);
    Crashes[Index].setStartedMs(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Item.Upstream.Started.time_since_epoch())
            .count());
    Crashes[Index].setAgeMs(static_cast<std::uint32_t>(Item.Age.count()));
    auto Parts = Crashes[Index].initParts(Item.Parts.size());
    for (unsigned At = 0; At < Item.Parts.size(); ++At)
      Parts.set(At, Item.Parts[At]);
  }
  writeParts(Group.initAnswered(In.Answered.size()), In.Answered);
  writeParts(Group.initQuarantined(In.Quarantined.size()), In.Quarantined);
}

static void writeOne(Builder Out, const StreamOriginNotice &In) {
  auto List = Out.initStreamOrigins().initStreams(In.Streams.size());
  for (unsigned Index = 0; Index < In.Streams.size(); ++Index) {
    List[Index].setStream(In.Streams[Index].Stream.Hash);
    List[Index].setVersion(In.Streams[Index].Version.Hash);
    List[Index].setAgeMs(
        static_cast<std::uint32_t>(In.Streams[Index].Age.count()));
  }
}

static void writeOne(Builder Out, const StreamOriginRecall &) {
  Out.setStreamOriginRecall();
}

static void writeOne(Builder Out, const StreamOriginRequest &In) {
  schema::PeerMessage::StreamOriginRequest::Builder Group =
      Out.initStreamOriginRequest();
  Group.setNumber(In.Number);
  Group.setService(In.Service.Value);
  Group.setStream(In.Stream.Hash);
}

static void writeOne(Builder Out, const StreamOriginReply &In) {
  schema::PeerMessage::StreamOriginReply::Builder Group =
      Out.initStreamOriginReply();
  Group.setNumber(In.Number);
  Group.setService(In.Service.Value);
  Group.setKnown(In.Origin.has_value());
  Group.setVersion(In.Origin.value_or(VersionId()).Hash);
  Group.setCertain(In.Uncertainty.has_value());
  Group.setUncertaintyMs(static_cast<std::uint32_t>(
      In.Uncertainty.value_or(std::chrono::milliseconds()).count()));
  auto List = Group.initPossible(In.Possible.size());
  for (unsigned Index = 0; Index < In.Possible.size(); ++Index)
    List.set(Index, In.Possible[Index].Hash);
}

void write(Builder Out, const InstanceId &Sender, const PeerMessage &In) {
  Out.setSender(Sender.Value);
  std::visit([&](const auto &Item) { writeOne(Out, Item); }, In);
}

static PeerMessage readSubmit(schema::PeerMessage::Submit::Reader In) {
  SubmitOperations Out;
  Out.Number = In.getNumber();
  Out.Slot.Index = In.getSlot();
  for (schema::Operation::Reader Item : In.getOperations())
    Out.Operations.push_back(read(Item));
  return Out;
}

static PeerMessage readResults(schema::PeerMessage::Results::Reader In) {
  OperationResults Out;
  Out.Number = In.getNumber();
  Out.Committed = In.getCommitted();
  for (schema::OperationResult::Reader Item : In.getResults())
    Out.Results.push_back(read(Item));
  return Out;
}

static PeerMessage readForget(schema::PeerMessage::Forget::Reader In) {
  ForgetBills Out;
  for (const std::uint64_t Number : In.getNumbers())
    Out.Numbers.push_back(Number);
  return Out;
}

static RateLimitNotice readRateLimit(schema::RateLimitNotice::Reader In) {
  RateLimitNotice Out;
  Out.Upstream.Name.Value = In.getName().cStr();
  Out.Upstream.Started = WallTime(std::chrono::milliseconds(In.getStartedMs()));
  if (In.getLimited())
    Out.Limit = CallRate{In.getCallsPerSecond()};
  Out.Age = std::chrono::milliseconds(In.getAgeMs());
  return Out;
}

static PeerMessage readDigest(schema::PeerMessage::Digest::Reader In) {
  PeerDigest Out;
  Out.Configuration.Number = In.getConfiguration();
  Out.Draining = In.getDraining();
  for (capnp::Text::Reader Item : In.getSuspects())
    Out.Suspects.push_back(ContentFingerprint{Item.cStr()});
  Out.UpstreamRevision = In.getUpstreamRevision();
  Out.StoreUnreachable = In.getStoreAway();
  Out.PeerAddress = In.getPeerAddress().cStr();
  Out.WatchesStore = In.getWatchesStore();
  for (schema::RateLimitNotice::Reader Item : In.getRateLimits())
    Out.RateLimits.push_back(readRateLimit(Item));
  Out.Evacuations.Revision = In.getEvacuationRevision();
  for (capnp::Text::Reader Item : In.getEvacuatedDomains())
    Out.Evacuations.Domains.push_back(FailureDomain{Item.cStr()});
  return Out;
}

static PeerMessage readUpstreams(schema::PeerMessage::Upstreams::Reader In) {
  UpstreamList Out;
  Out.Revision = In.getRevision();
  Out.Whole = In.getWhole();
  Out.Since = In.getSince();
  for (schema::UpstreamEntry::Reader Item : In.getEntries()) {
    StoreEntry Entry;
    // A key may hold a NUL.
    Entry.Key.assign(Item.getKey().begin(), Item.getKey().size());
    Entry.Value.assign(Item.getValue().asChars().begin(),
                       Item.getValue().asChars().end());
    Entry.Revision = Item.getRevision();
    Entry.Deleted = Item.getDeleted();
    Out.Entries.push_back(std::move(Entry));
  }
  return Out;
}

static PeerMessage readLoad(schema::PeerMessage::Load::Reader In) {
  LoadNotice Out;
  for (schema::UpstreamBacklog::Reader Item : In.getUpstreams())
    Out.Upstreams.push_back({UpstreamName{Item.getName().cStr()},
                             Item.getCalls(), Item.getPromptTokens()});
  return Out;
}

static PeerMessage
readConfiguration(schema::PeerMessage::Configuration::Reader In) {
  ConfigurationText Out;
  Out.Version.Number = In.getVersion();
  if (!In.hasPacked()) {
    Out.Text = packText(In.getText().cStr());
    return Out;
  }
  Out.Text.Bytes.assign(In.getPacked().asChars().begin(),
                        In.getPacked().size());
  Out.Text.Length = In.getLength();
  return Out;
}

static PeerMessage readHandover(schema::PeerMessage::Handover::Reader In) {
  OperationsHandover Out;
  for (schema::SlotOperation::Reader Item : In.getOperations())
    Out.Operations.push_back(
        {SlotId{Item.getSlot()}, read(Item.getOperation())});
  return Out;
}

static PeerMessage
readPermitRequest(schema::PeerMessage::PermitRequest::Reader In) {
  return PermitRequest{In.getNumber(), readRateLimit(In.getKnown()),
                       In.getWanted()};
}

static PeerMessage
readPermitReply(schema::PeerMessage::PermitReply::Reader In) {
  PermitReply Out;
  Out.Number = In.getNumber();
  Out.Known = readRateLimit(In.getKnown());
  Out.Issuing = In.getIssuing();
  for (const std::uint32_t Delay : In.getDelays())
    Out.Delays.emplace_back(Delay);
  Out.UntilNextFree = std::chrono::milliseconds(In.getUntilNextFreeMs());
  return Out;
}

static std::vector<PartNotice>
readParts(capnp::List<schema::PartNotice>::Reader In) {
  std::vector<PartNotice> Out;
  for (schema::PartNotice::Reader Item : In)
    Out.push_back({Item.getPart(), std::chrono::milliseconds(Item.getAgeMs())});
  return Out;
}

static PeerMessage readPartNews(schema::PeerMessage::PartNews::Reader In) {
  PartNews Out;
  for (schema::CrashNotice::Reader Item : In.getCrashes()) {
    CrashNotice Crash;
    Crash.Upstream.Name.Value = Item.getName().cStr();
    Crash.Upstream.Started =
        WallTime(std::chrono::milliseconds(Item.getStartedMs()));
    Crash.Age = std::chrono::milliseconds(Item.getAgeMs());
    for (const std::uint64_t Part : Item.getParts())
      Crash.Parts.push_back(Part);
    Out.Crashes.push_back(std::move(Crash));
  }
  Out.Answered = readParts(In.getAnswered());
  Out.Quarantined = readParts(In.getQuarantined());
  return Out;
}

static PeerMessage
readStreamOrigins(schema::PeerMessage::StreamOrigins::Reader In) {
  StreamOriginNotice Out;
  for (schema::StreamOrigin::Reader Item : In.getStreams())
    Out.Streams.push_back({StreamKey{Item.getStream()},
                           VersionId{Item.getVersion()},
                           std::chrono::milliseconds(Item.getAgeMs())});
  return Out;
}

static PeerMessage
readStreamOriginReply(schema::PeerMessage::StreamOriginReply::Reader In) {
  StreamOriginReply Out;
  Out.Number = In.getNumber();
  Out.Service.Value = In.getService().cStr();
  if (In.getKnown())
    Out.Origin = VersionId{In.getVersion()};
  if (In.getCertain())
    Out.Uncertainty = std::chrono::milliseconds(In.getUncertaintyMs());
  for (const std::uint64_t Version : In.getPossible())
    Out.Possible.push_back(VersionId{Version});
  return Out;
}

PeerMessage read(schema::PeerMessage::Reader In) {
  switch (In.which()) {
  case schema::PeerMessage::SUBMIT:
    return readSubmit(In.getSubmit());
  case schema::PeerMessage::RESULTS:
    return readResults(In.getResults());
  case schema::PeerMessage::RECALL:
    return RecallGrant{WorkspaceId{In.getRecall().getWorkspace().cStr()},
                       read(In.getRecall().getHolder())};
  case schema::PeerMessage::CARRY:
    return CarryBill{In.getCarry().getNumber(), read(In.getCarry().getBill())};
  case schema::PeerMessage::CARRIED:
    return BillCarried{In.getCarried()};
  case schema::PeerMessage::FORGET:
    return readForget(In.getForget());
  case schema::PeerMessage::DIGEST:
    return readDigest(In.getDigest());
  case schema::PeerMessage::CONFIGURATION:
    return readConfiguration(In.getConfiguration());
  case schema::PeerMessage::CONFIGURATION_OFFER:
    return ConfigurationOffer{ConfigurationVersion{In.getConfigurationOffer()}};
  case schema::PeerMessage::CONFIGURATION_WANTED:
    return ConfigurationRequest{};
  case schema::PeerMessage::UPSTREAMS:
    return readUpstreams(In.getUpstreams());
  case schema::PeerMessage::LOAN_REQUEST:
    return LoanRequest{WorkspaceId{In.getLoanRequest().getWorkspace().cStr()},
                       Money(In.getLoanRequest().getLeast()),
                       Money(In.getLoanRequest().getWanted())};
  case schema::PeerMessage::LOAN:
    return Loan{WorkspaceId{In.getLoan().getWorkspace().cStr()},
                read(In.getLoan().getLender()), Money(In.getLoan().getAmount()),
                std::chrono::milliseconds(In.getLoan().getAgeMs())};
  case schema::PeerMessage::LOAD:
    return readLoad(In.getLoad());
  case schema::PeerMessage::HANDOVER:
    return readHandover(In.getHandover());
  case schema::PeerMessage::PERMIT_REQUEST:
    return readPermitRequest(In.getPermitRequest());
  case schema::PeerMessage::PERMIT_REPLY:
    return readPermitReply(In.getPermitReply());
  case schema::PeerMessage::PART_NEWS:
    return readPartNews(In.getPartNews());
  case schema::PeerMessage::STREAM_ORIGINS:
    return readStreamOrigins(In.getStreamOrigins());
  case schema::PeerMessage::STREAM_ORIGIN_RECALL:
    return StreamOriginRecall{};
  case schema::PeerMessage::STREAM_ORIGIN_REQUEST:
    return StreamOriginRequest{
        In.getStreamOriginRequest().getNumber(),
        ServiceName{In.getStreamOriginRequest().getService().cStr()},
        StreamKey{In.getStreamOriginRequest().getStream()}};
  case schema::PeerMessage::STREAM_ORIGIN_REPLY:
    return readStreamOriginReply(In.getStreamOriginReply());
  }
  // A message of a later version is unknown to this one; an empty list of bills
  // has no effect.
  return ForgetBills{};
}

} // namespace bronzeward::internal
