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

/// \brief Names a lease of the platform's service; zero for none.
struct StoreLeaseId {
  std::int64_t Number = 0;
  auto operator<=>(const StoreLeaseId &) const = default;
};

/// \brief Reads one key.
struct ReadKey {
  std::string Key;
};

/// \brief Reads every key that begins with a prefix. A store may answer in
/// pages, which are not one snapshot.
struct ListKeys {
  std::string Prefix;
  /// Key after which the page begins; empty for the first.
  std::string After;
  /// Whether an answer that is seconds old will do.
  bool MayBeStale = false;
};

/// \brief Waits for changes to keys that begin with a prefix.
struct WatchKeys {
  std::string Prefix;
  /// Changes after this revision are wanted.
  std::uint64_t AfterRevision = 0;
  /// Longest wait for the first change.
  std::chrono::milliseconds Wait{0};
};

/// \brief Replaces a value if its revision is still the expected one.
struct CompareAndSwap {
  std::string Key;
  std::string Value;
  /// Revision of the last change to the key; zero where it must not exist.
  std::uint64_t ExpectedRevision = 0;
  /// Lease that deletes the key when it lapses; zero for none.
  StoreLeaseId Lease;
};

/// \brief Deletes one key.
struct DeleteKey {
  std::string Key;
};

/// \brief Asks for a lease.
struct GrantLease {
  std::chrono::seconds TimeToLive{0};
};

/// \brief Extends a lease.
struct KeepAlive {
  StoreLeaseId Lease;
};

using StoreCall = std::variant<ReadKey, ListKeys, WatchKeys, CompareAndSwap,
                               DeleteKey, GrantLease, KeepAlive>;

/// \brief What is known of a call's effect.
enum class StoreStatus {
  Ok,
  /// The expected revision is not the current one; nothing was changed.
  Conflict,
  /// The call certainly had no effect.
  Unavailable,
  /// The call may or may not have had its effect, now or later.
  Unknown,
};

/// \brief One key as read.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  /// Set where a watch tells of a deletion; Value is then empty.
  bool Deleted = false;
};

/// \brief Reply to a \ref StoreCall.
struct StoreReply {
  StoreStatus Status = StoreStatus::Unavailable;
  /// Keys found by a read or list.
  std::vector<StoreEntry> Entries;
  /// Revision after a successful change; the store's own after a list or
  /// watch.
  std::uint64_t Revision = 0;
  /// Whether a list has a further page.
  bool More = false;
  /// Whether a watch failed since the changes it asked for are dropped.
  bool HistoryLost = false;
  StoreLeaseId Lease;
  /// What could not be read of the reply, for the log; empty where all could.
  std::string Problem;
};

/// \brief Sends calls to the platform's service.
class StorePort {
public:
  virtual ~StorePort() = default;
  /// \brief Sends one call; its reply comes back with the same number.
  virtual void send(StoreCallId Id, const StoreCall &Call) = 0;
};

/// @}

} // namespace bronzeward
