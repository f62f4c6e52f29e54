#pragma once

#include "bronzeward/Routing"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Estimates how likely an upstream's memory still holds the beginning
/// of a prompt. The memory evicts what was least recently used, so a prefix is
/// lost once as many tokens came in since its last use as are not held by
/// running calls.
///
/// Load pattern: a hot prefix whose upstream has no room; prefixes that were
/// used once while other calls pass through the same memory.
class PrefixRetention {
public:
  /// \brief Who uses a prefix at the upstream.
  enum class Users {
    ThisInstance,
    /// All instances, each as often as this one. Their last use is then more
    /// recent than this instance's by the ratio of all tokens to its own.
    AllInstances,
  };

  /// \brief Records that a call of this instance was sent.
  /// \param Prefixes of all parts of its prompt.
  /// \param NewTokens that it brings into the memory.
  /// \param Memory of the upstream in tokens.
  void onCall(const PrefixBlocks &Prefixes, std::int64_t NewTokens,
              std::int64_t Memory);
  /// \brief Records tokens that calls of other instances brought in.
  void onOthersTokens(double NewTokens) { OthersTokens += NewTokens; }
  /// \brief Forgets all prefixes, since the upstream may have lost them.
  void clear();

  /// \param Spare tokens of the memory that running calls do not hold.
  /// \returns the probability that a prefix is held, 0 to 1.
  [[nodiscard]] double heldProbability(std::uint64_t Prefix, std::int64_t Spare,
                                       Users Who) const;
  [[nodiscard]] std::size_t size() const { return Uses.size(); }

private:
  /// Counts of tokens at the last use of a prefix by this instance.
  struct Use {
    std::uint64_t Prefix = 0;
    double OwnTokens = 0.0;
    double OthersTokens = 0.0;
  };

  /// Tokens brought into the memory so far.
  double OwnTokens = 0.0;
  double OthersTokens = 0.0;
  /// Most recently used first.
  std::list<Use> Recent;
  std::unordered_map<std::uint64_t, std::list<Use>::iterator> Uses;
};

/// @}

} // namespace bronzeward
