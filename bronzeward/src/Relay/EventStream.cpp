#include "bronzeward/src/Relay/EventStream.h"

#include <charconv>

namespace bronzeward {

/// \returns the number of the "id" field of an event.
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

/// \returns the length of the first event with the empty line that ends it;
/// zero where it is not complete.
static std::size_t eventLength(std::string_view Bytes) {
  const std::size_t Plain = Bytes.find("\n\n");
  const std::size_t WithReturn = Bytes.find("\r\n\r\n");
  if (WithReturn < Plain)
    return WithReturn + 4;
  return Plain == std::string_view::npos ? 0 : Plain + 2;
}

std::string EventStream::feed(std::string_view Bytes) {
  Partial.append(Bytes);
  std::string Whole;
  std::string_view Left = Partial;
  for (std::size_t Length = eventLength(Left); Length > 0;
       Length = eventLength(Left)) {
    const std::string_view Event = Left.substr(0, Length);
    if (takeEvent(Event))
      Whole.append(Event);
    Left.remove_prefix(Length);
  }
  Partial.erase(0, Partial.size() - Left.size());
  return Whole;
}

bool EventStream::takeEvent(std::string_view Event) {
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
