#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Store"

#include <functional>
#include <map>
#include <vector>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// Prefix of the store keys that list live instances.
inline constexpr const char *InstancePrefix = "bronzeward/instances/";

/// \returns the stored form of a member, as JSON. Its registration number is
/// zero before the first registration.
[[nodiscard]] std::string encodeMember(const Member &Item);

/// \returns the member that a store entry describes. Where the entry has no
/// registration number, the entry's revision is used.
[[nodiscard]] Result<Member> parseMember(const StoreEntry &Entry);

/// \brief Keeps this instance's entry in the store under a lease, and reads the
/// entries of all instances.
class InstanceRegistry {
public:
  using RegisteredHandler = std::function<void(const Incarnation &, TimePoint)>;
  using ListedHandler = std::function<void(std::vector<Member>, TimePoint)>;

  InstanceRegistry(Member Own, StoreClient &Client, TimerQueue &Queue,
                   Random &RandomSource);

  /// \brief Begins to register this instance and to read the list.
  /// \param OnRegistered called once, with this instance's incarnation.
  /// \param OnListed called with each list that was read successfully.
  void start(TimePoint Now, RegisteredHandler OnRegistered,
             ListedHandler OnListed);
  /// \brief Marks this instance's entry as leaving.
  void leave(TimePoint Now);
  /// \brief Deletes this instance's entry.
  void remove(TimePoint Now);

  /// \returns the time between two reads of the list.
  [[nodiscard]] static Duration listPeriod(std::size_t Members);

private:
  void obtainLease(TimePoint Now);
  void readOwnEntry(TimePoint Now);
  void writeOwnEntry(std::uint64_t ExpectedRevision, TimePoint Now);
  void keepAlive(TimePoint Now);
  void onWritten(TimePoint Now);
  void list(TimePoint Now);
  void readList(bool MayBeStale, TimePoint Now);
  void applyList(const StoreReply &Reply, TimePoint Now);
  void retry(TimePoint Now);
  [[nodiscard]] std::string ownKey() const;

  Member Self;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Jitter;
  RegisteredHandler RegisteredCallback;
  ListedHandler ListedCallback;
  StoreLeaseId Lease;
  /// Revision of the entry that this incarnation wrote; zero before.
  std::uint64_t OwnRevision = 0;
  /// Members as of the latest list; those that are missing from a truncated
  /// list are kept.
  std::map<InstanceId, Member> Listed;
  /// Whether the incarnation is known.
  bool HasIncarnation = false;
  bool Removed = false;
};

/// @}

} // namespace bronzeward
