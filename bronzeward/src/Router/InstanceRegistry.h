#pragma once

#include "bronzeward/Budget"
#include "bronzeward/Store"

#include <functional>
#include <vector>

namespace bronzeward {

/// \addtogroup Router
/// @{

/// Prefix of the store keys that list live instances.
inline constexpr const char *InstancePrefix = "bronzeward/instances/";

/// \returns the stored form of a member.
/// \param Life registration number; zero before the first registration.
[[nodiscard]] std::string encodeMember(const Member &Item);

/// \returns the member that an entry of the list describes. A member without
/// a registration number takes the entry's revision.
[[nodiscard]] Result<Member> parseMember(const StoreEntry &Entry);

/// \brief Keeps this instance listed under a lease and reads the list.
class InstanceRegistry {
public:
  using RegisteredHandler = std::function<void(const Incarnation &, TimePoint)>;
  using ListedHandler = std::function<void(std::vector<Member>, TimePoint)>;

  InstanceRegistry(Member Own, StoreClient &Client, TimerQueue &Queue,
                   Random &Source);

  /// \brief Begins to register and to read the list.
  /// \param OnRegistered called once, with this instance's life.
  /// \param OnListed called with each list that was read.
  void start(TimePoint Now, RegisteredHandler OnRegistered,
             ListedHandler OnListed);
  /// \brief Lists this instance as leaving.
  void leave(TimePoint Now);
  /// \brief Takes this instance off the list.
  void remove(TimePoint Now);

private:
  void obtainLease(TimePoint Now);
  void readOwnEntry(TimePoint Now);
  void writeOwnEntry(std::uint64_t ExpectedRevision, TimePoint Now);
  void keepAlive(TimePoint Now);
  void onWritten(TimePoint Now);
  void list(TimePoint Now);
  void readList(bool MayBeStale, TimePoint Now);
  void takeList(const std::vector<StoreEntry> &Entries, TimePoint Now);
  void retry(TimePoint Now);
  [[nodiscard]] std::string ownKey() const;

  Member Self;
  StoreClient &Store;
  TimerQueue &Timers;
  Random &Jitter;
  RegisteredHandler Registered;
  ListedHandler Listed;
  StoreLeaseId Lease;
  /// Revision of the entry that this life wrote; zero before.
  std::uint64_t OwnRevision = 0;
  int ListedMembers = 0;
  bool Announced = false;
  bool Removed = false;
};

/// @}

} // namespace bronzeward
