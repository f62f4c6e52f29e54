#pragma once

#include "bronzeward/Ledger"
#include "bronzeward/src/Store/StorePort.h"

#include <cstdint>
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

/// \brief Answers \ref SubmitOperations.
struct OperationResults {
  std::uint64_t Number = 0;
  /// False where the committer could not reach the store; nothing is known.
  bool Committed = false;
  std::vector<OperationResult> Results;
};

/// \brief Asks a holder to return what it does not need.
struct RecallGrant {
  WorkspaceId Workspace;
  Incarnation Holder;
};

/// \brief Asks a peer to commit a bill should its origin not.
struct CarryBill {
  std::uint64_t Number = 0;
  Bill Settled;
};

/// \brief Confirms \ref CarryBill.
struct BillCarried {
  std::uint64_t Number = 0;
};

/// \brief Tells a carrier which bills are durable.
struct ForgetBills {
  std::vector<std::uint64_t> Numbers;
};

/// \brief What peers tell each other at every period.
struct PeerDigest {
  ConfigurationVersion Configuration;
  bool Draining = false;
  /// Content fingerprints under quarantine.
  std::vector<ContentFingerprint> Suspects;
  /// Store revision up to which the sender knows the upstreams.
  std::uint64_t UpstreamRevision = 0;
  /// Whether the store does not answer the sender, so that it depends on what
  /// peers tell it.
  bool StoreAway = false;
  /// Where the sender listens for peers, "ip:port"; it may not be listed yet.
  std::string PeerAddress;
  /// Whether the sender follows the store's keys itself and is up to date, so
  /// that others may rely on its word.
  bool WatchesStore = false;
};

/// \brief An accepted configuration, for a peer whose version is older.
struct ConfigurationText {
  ConfigurationVersion Version;
  PackedText Text;
};

/// \brief Tells a peer whose configuration is older of the sender's, which the
/// peer may ask for.
struct ConfigurationOffer {
  ConfigurationVersion Version;
};

/// \brief Asks a peer for its configuration.
struct ConfigurationWanted {};

/// \brief Registry entries of upstreams, for peers that do not follow the
/// store themselves: every one, or those that changed.
struct UpstreamList {
  /// Store revision up to which the sender knows the entries.
  std::uint64_t Revision = 0;
  std::vector<StoreEntry> Entries;
  /// Whether every entry is listed.
  bool Whole = false;
  /// Store revision after which every change is listed, where Whole is false.
  std::uint64_t Since = 0;
};

/// \brief Asks a peer for a part of its grant.
struct LoanRequest {
  WorkspaceId Workspace;
  /// Least amount of use, and the amount wanted.
  Money Least;
  Money Wanted;
};

/// \brief Hands over a part of a grant. Bills charged to it name the lender's
/// life as their holder, so the ledger's record needs no change.
struct Loan {
  WorkspaceId Workspace;
  Incarnation Lender;
  Money Amount;
  /// Time since the lender gave it, over all instances that had it.
  std::chrono::milliseconds Age{0};
};

/// \brief An operation and the slot whose record it changes.
struct SlotOperation {
  SlotId Slot;
  Operation Change;
};

/// \brief Operations that the sender could not commit before it stops; the
/// receiver goes on with them. Operations are idempotent, so more than one
/// receiver may.
struct OperationsHandover {
  std::vector<SlotOperation> Operations;
};

/// \brief What the sender has under way at one upstream.
struct UpstreamBacklog {
  UpstreamName Name;
  std::uint32_t Calls = 0;
  /// Prompt tokens of calls without a first byte.
  std::int64_t PromptTokens = 0;

  bool operator==(const UpstreamBacklog &) const = default;
};

/// \brief What the sender has under way, at every upstream with any.
struct LoadNotice {
  std::vector<UpstreamBacklog> Upstreams;
};

/// \brief One message between instances.
using PeerMessage =
    std::variant<SubmitOperations, OperationResults, RecallGrant, CarryBill,
                 BillCarried, ForgetBills, PeerDigest, ConfigurationText,
                 ConfigurationOffer, ConfigurationWanted, UpstreamList,
                 LoanRequest, Loan, LoadNotice, OperationsHandover>;

/// \brief Sends messages to other instances; any of them may be lost.
class PeerPort {
public:
  virtual ~PeerPort() = default;
  virtual void send(const InstanceId &To, const PeerMessage &Message) = 0;
};

/// @}

} // namespace bronzeward
