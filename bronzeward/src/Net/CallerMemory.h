#pragma once

#include "bronzeward/Base"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief What the memory is used for.
enum class HoldKind {
  /// A request that is arriving. Its caller can be refused: it has not run.
  Arriving,
  /// The body of a request that is being answered, which stays.
  Kept,
  /// An answer, or a part of one, that the caller has not accepted yet.
  Unread
};

/// \brief Identifies a caller's connection that holds memory.
struct HolderId {
  std::uint64_t Number = 0;
  auto operator<=>(const HolderId &) const = default;
};

/// \brief Answer to a holder that needs memory.
struct MemoryVerdict {
  bool Granted = true;
  /// Holders that have to give up their memory; it counts as free already.
  std::vector<HolderId> Evicted;
};

/// \brief Divides a limited amount of memory among callers.
///
/// Load: many callers with large bodies or answers at once, most of which stop
/// and stay connected. If memory is short, holders that lag are evicted, those
/// with the most bytes for the longest time first; arriving requests go before
/// answers. If no such holder is left, the one that asks is refused. A part of
/// the memory is reserved for small holders, so that ordinary requests do not
/// wait behind large ones. Without input and output.
class CallerMemory {
public:
  explicit CallerMemory(std::size_t LimitBytes) : Limit(LimitBytes) {}

  void setLimit(std::size_t LimitBytes) { Limit = LimitBytes; }

  /// \brief Sets what a holder holds in place of what it held. If that is
  /// refused, it holds what it held. What is kept for a running request is
  /// never refused.
  /// \param Bytes total of the holder.
  [[nodiscard]] MemoryVerdict hold(HolderId Holder, HoldKind Kind,
                                   std::size_t Bytes, TimePoint Now);
  /// \brief Records that a caller has accepted bytes of its answer.
  void onProgress(HolderId Holder, TimePoint Now);
  void release(HolderId Holder);

  /// \returns the bytes that all holders hold.
  [[nodiscard]] std::size_t held() const { return Held; }

private:
  struct Holding {
    HoldKind Kind = HoldKind::Arriving;
    std::size_t Bytes = 0;
    TimePoint Since;
    TimePoint LastProgress;
  };
  struct Victim {
    HolderId Holder;
    HoldKind Kind = HoldKind::Arriving;
    std::size_t Bytes = 0;
    /// Bytes times seconds without need.
    double Waste = 0.0;
  };

  /// \returns whether a holder may grow while the others hold Others bytes.
  [[nodiscard]] bool fits(std::size_t Bytes, std::size_t Others) const;
  [[nodiscard]] std::vector<Victim> laggards(HolderId Except,
                                             TimePoint Now) const;
  /// Evicts laggards until a holder with Bytes fits; none if that is not
  /// enough.
  MemoryVerdict makeRoom(HolderId For, std::size_t Bytes, std::size_t Others,
                         TimePoint Now);

  std::size_t Limit;
  std::size_t Held = 0;
  std::map<HolderId, Holding> Holdings;
};

/// @}

} // namespace bronzeward
