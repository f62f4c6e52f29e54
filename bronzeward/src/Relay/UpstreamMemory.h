#pragma once

#include "bronzeward/Routing"

#include <cstdint>
#include <map>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Tokens that a call holds in an upstream's memory while it runs.
struct CallFootprint {
  /// Prefix hash and token count of each part that other calls may share;
  /// equally long.
  PrefixBlocks SharedPrefixes;
  std::vector<std::int64_t> SharedTokens;
  /// The rest of the prompt and the longest answer.
  std::int64_t OwnTokens = 0;

  [[nodiscard]] std::int64_t total() const;
};

/// \param Prefixes and PartTokens of all parts of the prompt, equally long. The
/// last part is the call's own.
[[nodiscard]] CallFootprint
parseFootprint(const PrefixBlocks &Prefixes,
               const std::vector<std::int64_t> &PartTokens,
               std::int64_t PromptTokens, std::int64_t OutputTokens);

/// \brief Counts the tokens that calls hold in one upstream's memory. A shared
/// part counts once for all calls that run with it.
class HeldTokens {
public:
  void add(const CallFootprint &Call);
  void remove(const CallFootprint &Call);

  [[nodiscard]] std::int64_t total() const { return Total; }
  /// \returns whether a call runs with a shared prefix.
  [[nodiscard]] bool holds(std::uint64_t Prefix) const {
    return Shared.contains(Prefix);
  }
  /// \returns the tokens that a call would hold beside those held already.
  /// \param CachedParts number of its leading parts that are in memory anyway.
  [[nodiscard]] std::int64_t addedBy(const CallFootprint &Call,
                                     std::size_t CachedParts) const;

private:
  std::int64_t Total = 0;
  struct SharedPart {
    std::int64_t Calls = 0;
    std::int64_t Tokens = 0;
  };
  /// The shared parts of the calls that run, by prefix hash.
  std::map<std::uint64_t, SharedPart> Shared;
};

/// \brief Tokens in an upstream's memory, from the view of a new call.
struct MemoryUse {
  std::int64_t Memory = 0;
  /// Held by calls that run or wait there.
  std::int64_t Held = 0;
  /// What the new call adds.
  std::int64_t Needed = 0;
};

/// \returns the expected time until a call fits. The calls that hold the memory
/// are at any point of their run, so it is freed evenly over the time of one.
///
/// Load pattern: long calls that fill an upstream's memory while most of its
/// slots are free.
/// \param ServiceTime mean time of a call.
[[nodiscard]] Duration timeUntilRoom(const MemoryUse &Use,
                                     Duration ServiceTime);

/// @}

} // namespace bronzeward
