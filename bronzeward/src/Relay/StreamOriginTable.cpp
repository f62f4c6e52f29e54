#include "bronzeward/src/Relay/StreamOriginTable.h"

namespace bronzeward {

void StreamOriginTable::add(const StreamOrigin &Begun, TimePoint Now) {
  const TimePoint BegunAt = Now - Begun.Age;
  if (Begun.Age >= KeptFor ||
      !Versions.try_emplace(Begun.Stream, Item{Begun.Version, BegunAt}).second)
    return;
  Order.push_back(Begun.Stream);
  while (Order.size() > Limit ||
         Now >= Versions.at(Order.front()).BegunAt + KeptFor) {
    Versions.erase(Order.front());
    Order.pop_front();
  }
}

std::vector<StreamOrigin> StreamOriginTable::newest(std::size_t Count,
                                                    TimePoint Now) const {
  std::vector<StreamOrigin> Found;
  for (auto Stream = Order.rbegin();
       Stream != Order.rend() && Found.size() < Count; ++Stream) {
    const Item &Known = Versions.at(*Stream);
    if (Now < Known.BegunAt + KeptFor)
      Found.push_back({*Stream, Known.Version,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           Now - Known.BegunAt)});
  }
  return Found;
}

std::optional<VersionId> StreamOriginTable::find(StreamKey Stream,
                                                 TimePoint Now) const {
  const auto Found = Versions.find(Stream);
  if (Found == Versions.end() || Now >= Found->second.BegunAt + KeptFor)
    return std::nullopt;
  return Found->second.Version;
}

} // namespace bronzeward
