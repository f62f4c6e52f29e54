#pragma once

#include "bronzeward/Net"
#include "tools/ControlStore.h"

namespace bronzeward::tools {

/// \brief Brings an accepted configuration to the instances at once, so that
/// it is in force even where they cannot read the store right after.
class PeerNotice {
public:
  /// \brief Reads the list of instances; to be done before the acceptance,
  /// since the store may be away after it.
  explicit PeerNotice(ControlStore &Store);

  /// \brief Sends the text to every listed instance and waits shortly for the
  /// deliveries. A lost one is made up for by the instances' digests.
  void send(ConfigurationVersion Version, const std::string &Text) const;

private:
  std::vector<Member> Members;
};

} // namespace bronzeward::tools
