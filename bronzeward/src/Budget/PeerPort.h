#pragma once

#include "bronzeward/Ledger"
#include "bronzeward/src/Store/StorePort.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzeward {

/// \addtogroup Budget
/// @{

/// \brief Asks a slot's committer to commit operations.
struct SubmitOperations {
  std::uint64_t Number = 0;
  SlotId Slot;
  std::vector<Operation> Operations;
};

/// \brief Reply to \ref SubmitOperations.
struct OperationResults {
  std::uint64_t Number = 0;
  /// False if the committer gave up; the effects are unknown and Results is
  /// empty.
  bool Committed = false;
  std::vector<OperationResult> Results;
};

/// \brief Asks a holder to return the free part of its grant.
struct RecallGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
};

/// \brief Asks a peer to commit a bill if its origin does not.
struct CarryBill {
  std::uint64_t Number = 0;
  Bill Settled;
};

/// \brief Confirms \ref CarryBill.
struct BillCarried {
  std::uint64_t Number = 0;
};

/// \brief Tells a carrier which bills are settled, so that it drops its copies.
struct ForgetBills {
  std::vector<std::uint64_t> Numbers;
};

/// \brief What an instance knows about the rate limit of an upstream.
struct RateLimitNotice {
  UpstreamRun Upstream;
  /// Empty if the upstream no longer states a limit.
  std::optional<CallRate> Limit;
  /// Time since which it is not known whether Limit is still in force.
  std::chrono::milliseconds Age{0};
};

/// \brief Asks the instance that issues an upstream's permits for some. A
/// permit allows to send one call to the upstream.
struct PermitRequest {
  std::uint64_t Number = 0;
  RateLimitNotice Known;
  std::uint32_t Wanted = 0;
};

/// \brief Reply to \ref PermitRequest.
struct PermitReply {
  std::uint64_t Number = 0;
  RateLimitNotice Known;
  /// False if the sender does not issue the upstream's permits now.
  bool Issuing = false;
  /// For each permit, the time from the reply until it may be used.
  std::vector<std::chrono::milliseconds> Delays;
  /// Time from the reply until the earliest time that no permit covers yet.
  std::chrono::milliseconds UntilNextFree{0};
};

/// \brief Prompt parts of calls that the crash of an upstream interrupted.
struct CrashNotice {
  UpstreamRun Upstream;
  /// Time since the crash.
  std::chrono::milliseconds Age{0};
  std::vector<std::uint64_t> Parts;
};

/// \brief A prompt part and the time since something happened to it.
struct PartNotice {
  std::uint64_t Part = 0;
  std::chrono::milliseconds Age{0};
};

/// \brief What the sender learned about prompt parts that may crash upstreams.
struct PartNews {
  std::vector<CrashNotice> Crashes;
  /// Suspects on which an upstream wrote an answer.
  std::vector<PartNotice> Answered;
  std::vector<PartNotice> Quarantined;
};

/// \brief The failure domains that operators have evacuated.
struct EvacuationNotice {
  /// Store revision of Domains.
  std::uint64_t Revision = 0;
  std::vector<FailureDomain> Domains;
};

/// \brief State that peers send each other periodically.
struct PeerDigest {
  ConfigurationVersion Configuration;
  bool Draining = false;
  /// Fingerprints of quarantined contents.
  std::vector<ContentFingerprint> Suspects;
  /// Store revision of the sender's list of upstreams.
  std::uint64_t UpstreamRevision = 0;
  /// Whether the sender cannot reach the store, so it depends on its peers for
  /// updates.
  bool StoreUnreachable = false;
  /// Address on which the sender listens for peers, "ip:port"; it may not be in
  /// the list of members yet.
  std::string PeerAddress;
  /// Whether the sender watches the store and is up to date, so that peers may
  /// rely on its updates.
  bool WatchesStore = false;
  /// Rate limits that changed recently.
  std::vector<RateLimitNotice> RateLimits;
  EvacuationNotice Evacuations;
};

/// \brief An accepted configuration, for a peer that has an older version.
struct ConfigurationText {
  ConfigurationVersion Version;
  PackedText Text;
};

/// \brief Announces the sender's configuration to a peer that has an older
/// version; the peer may request it.
struct ConfigurationOffer {
  ConfigurationVersion Version;
};

/// \brief Asks a peer for its configuration.
struct ConfigurationRequest {};

/// \brief Registry entries of upstreams, for peers that do not watch the store:
/// all of them, or only those that changed.
struct UpstreamList {
  /// Store revision of the sender's entries.
  std::uint64_t Revision = 0;
  std::vector<StoreEntry> Entries;
  /// Whether all entries are listed.
  bool Whole = false;
  /// If Whole is false: all changes after this store revision are listed.
  std::uint64_t Since = 0;
};

/// \brief Asks a peer to lend part of its grant.
struct LoanRequest {
  WorkspaceId Workspace;
  /// Minimum useful amount.
  Money Minimum;
  Money Wanted;
};

/// \brief Transfers part of a grant. Bills charged to it name the lender's
/// incarnation as their holder, so the ledger does not change.
struct Loan {
  WorkspaceId Workspace;
  Incarnation Lender;
  Money Amount;
  /// Time since the lender granted it, over all instances that held it.
  std::chrono::milliseconds Age{0};
};

/// \brief An operation and the slot whose record it changes.
struct SlotOperation {
  SlotId Slot;
  Operation Change;
};

/// \brief Operations that the sender cannot commit before it stops; the
/// receivers commit them. Operations are idempotent, so there may be several
/// receivers.
struct OperationsHandover {
  std::vector<SlotOperation> Operations;
};

/// \brief The sender's outstanding calls to one upstream.
struct UpstreamBacklog {
  UpstreamName Name;
  std::uint32_t Calls = 0;
  /// Prompt tokens of calls that have no first byte of an answer yet.
  std::int64_t PromptTokens = 0;

  bool operator==(const UpstreamBacklog &) const = default;
};

/// \brief The sender's outstanding calls, for each upstream that has any.
struct LoadNotice {
  std::vector<UpstreamBacklog> Upstreams;
};

/// \brief Tells at which versions streams began.
struct StreamOriginNotice {
  std::vector<StreamOrigin> Streams;
};

/// \brief Asks for the streams that the sender has to remember, because it has
/// just started.
struct StreamOriginRecall {};

/// \brief Asks at which version a stream began.
struct StreamOriginRequest {
  std::uint64_t Number = 0;
  ServiceName Service;
  StreamKey Stream;
};

/// \brief Reply to \ref StreamOriginRequest.
struct StreamOriginReply {
  std::uint64_t Number = 0;
  ServiceName Service;
  /// Empty if the sender does not know the stream.
  std::optional<VersionId> Origin;
  /// Versions at which running streams of the service may have begun; empty if
  /// the sender does not know.
  std::vector<VersionId> Possible;
  /// Time before the reply from which on the sender may have missed a change;
  /// empty if it does not know.
  std::optional<std::chrono::milliseconds> Uncertainty;
};

/// \brief A message between instances.
using PeerMessage =
    std::variant<SubmitOperations, OperationResults, RecallGrant, CarryBill,
                 BillCarried, ForgetBills, PeerDigest, ConfigurationText,
                 ConfigurationOffer, ConfigurationRequest, UpstreamList,
                 LoanRequest, Loan, LoadNotice, OperationsHandover,
                 PermitRequest, PermitReply, PartNews, StreamOriginNotice,
                 StreamOriginRecall, StreamOriginRequest, StreamOriginReply>;

/// \brief Sends messages to other instances, without a delivery guarantee.
class PeerPort {
public:
  virtual ~PeerPort() = default;
  virtual void send(const InstanceId &To, const PeerMessage &Message) = 0;
};

/// @}

} // namespace bronzeward
