#pragma once

#include "bronzeward/Base"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Remembers for a limited time at which versions streams began. The
/// oldest ones are dropped where there are too many.
class StreamOriginTable {
public:
  StreamOriginTable(Duration Retention, std::size_t MaxStreams)
      : KeptFor(Retention), Limit(MaxStreams) {}

  /// \brief Adds a stream; its age counts towards the retention.
  void add(const StreamOrigin &Begun, TimePoint Now);
  [[nodiscard]] std::optional<VersionId> find(StreamKey Stream,
                                              TimePoint Now) const;
  /// \returns the streams that were added last, in that order.
  [[nodiscard]] std::vector<StreamOrigin> newest(std::size_t Count,
                                                 TimePoint Now) const;
  [[nodiscard]] std::size_t size() const { return Versions.size(); }

private:
  struct Item {
    VersionId Version;
    TimePoint BegunAt;
  };

  Duration KeptFor;
  std::size_t Limit;
  std::map<StreamKey, Item> Versions;
  /// Streams in the order in which they were added.
  std::deque<StreamKey> Order;
};

/// @}

} // namespace bronzeward
