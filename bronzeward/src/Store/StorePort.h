#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzeward {

/// \addtogroup Store
/// @{

/// \brief Matches a reply with its call.
struct StoreCallId {
  std::uint64_t Number = 0;
  auto operator<=>(const StoreCallId &) const = default;
};

/// \brief Identifies a lease of the store; zero for none.
struct StoreLeaseId {
  std::int64_t Number = 0;
  auto operator<=>(const StoreLeaseId &) const = default;
};

/// \brief Reads one key.
struct ReadKey {
  std::string Key;
};

/// \brief Reads every key that begins with a prefix. A store may reply in
/// pages, which together are no consistent snapshot.
struct ListKeys {
  std::string Prefix;
  /// Key after which the page begins; empty for the first page.
  std::string After;
  /// Whether a reply that is seconds out of date is acceptable.
  bool MayBeStale = false;
};

/// \brief Waits for changes to keys that begin with a prefix.
struct WatchKeys {
  std::string Prefix;
  /// Only changes after this revision are returned.
  std::uint64_t AfterRevision = 0;
  /// Longest wait for the first change.
  std::chrono::milliseconds Wait{0};
};

/// \brief Replaces a value if the key's revision is the expected one.
struct CompareAndSwap {
  std::string Key;
  std::string Value;
  /// Revision of the last change to the key; zero where it must not exist.
  std::uint64_t ExpectedRevision = 0;
  /// Lease whose expiry deletes the key; zero for none.
  StoreLeaseId Lease;
};

/// \brief Deletes one key.
struct DeleteKey {
  std::string Key;
};

/// \brief Requests a lease.
struct GrantLease {
  std::chrono::seconds TimeToLive{0};
};

/// \brief Extends a lease.
struct KeepAlive {
  StoreLeaseId Lease;
};

using StoreCall = std::variant<ReadKey, ListKeys, WatchKeys, CompareAndSwap,
                               DeleteKey, GrantLease, KeepAlive>;

/// \brief What is known about a call's effect.
enum class StoreStatus {
  Ok,
  /// The expected revision is not the current one; nothing was changed.
  Conflict,
  /// The call certainly had no effect.
  Unavailable,
  /// The call may have taken effect, or may still take effect later.
  Unknown,
};

/// \brief One key as read.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// Set where a watch reports a deletion; Value is then empty.
  bool Deleted = false;
};

/// \brief Reply to a \ref StoreCall.
struct StoreReply {
  StoreStatus Status = StoreStatus::Unavailable;
  /// Keys found by a read or list, or changed during a watch.
  std::vector<StoreEntry> Entries;
  /// Revision after a successful change; the store's own after a list or
  /// watch.
  std::uint64_t Revision = 0;
  /// Whether a list has a further page.
  bool More = false;
  /// Key of the last item of a list's page, after which the next page begins.
  /// Also set if that item was skipped because it could not be read.
  std::string LastKey;
  /// Whether a list could not be read to its end; keys that are missing from
  /// it may exist.
  bool Truncated = false;
  /// Whether a watch failed because the store no longer has the changes after
  /// its revision.
  bool HistoryLost = false;
  StoreLeaseId Lease;
  /// Why a reply could not be parsed, for the log; empty where it could.
  std::string Problem;
};

/// \brief What has arrived of a reply that is not complete.
enum class StoreProgress {
  Bytes,
  /// A whole page of a list; the call for the next one is sent.
  Page,
};

/// \brief Sends calls to the store.
class StorePort {
public:
  virtual ~StorePort() = default;
  /// \brief Sends one call; its reply is delivered with the same Id.
  virtual void send(StoreCallId Id, const StoreCall &Call) = 0;
};

/// @}

} // namespace bronzeward
