#include "bronzeward/src/Relay/EventStream.h"

#include <charconv>

namespace bronzeward {

/// \returns the numeric "id" field of an event, if there is one.
static std::optional<std::int64_t> idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event = End == std::string_view::npos ? std::string_view()
                                          : Event.substr(End + 1);
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    while (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::int64_t Id = 0;
    const auto Parsed =
        std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Parsed.ec == std::errc())
      return Id;
  }
  return std::nullopt;
}

/// \returns the length of the first event, including the empty line that ends
/// it; zero if it is incomplete.
static std::size_t eventLength(std::string_view Bytes) {
  const std::size_t LineFeeds = Bytes.find("\n\n");
  const std::size_t CarriageReturns = Bytes.find("\r\n\r\n");
  if (CarriageReturns < LineFeeds)
    return CarriageReturns + 4;
  return LineFeeds == std::string_view::npos ? 0 : LineFeeds + 2;
}

std::string EventStream::feed(std::string_view Bytes) {
  Partial.append(Bytes);
  std::string Complete;
  std::string_view Remaining = Partial;
  for (std::size_t Length = eventLength(Remaining); Length > 0;
       Length = eventLength(Remaining)) {
    const std::string_view Event = Remaining.substr(0, Length);
    if (acceptEvent(Event))
      Complete.append(Event);
    Remaining.remove_prefix(Length);
  }
  Partial.erase(0, Partial.size() - Remaining.size());
  return Complete;
}

bool EventStream::acceptEvent(std::string_view Event) {
  const std::optional<std::int64_t> Id = idOf(Event);
  if (Id && LastId && *Id <= *LastId)
    return false;
  if (Id)
    LastId = Id;
  ++Events;
  return true;
}

void EventStream::continueElsewhere() { Partial.clear(); }

std::string EventStream::lastId() const {
  return LastId ? std::to_string(*LastId) : std::string();
}

} // namespace bronzeward
