#include "bronzeward/src/Relay/EventStream.h"

#include <algorithm>
#include <charconv>

namespace bronzeward {

/// Mark that may precede a stream and belongs to none of its lines.
constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/// \brief One line of a stream.
struct EventLine {
  std::string_view Text;
  /// Length with the line's end; zero if the line is incomplete.
  std::size_t Length = 0;
};

/// \returns the first line. Lines end with CRLF, LF or CR.
static EventLine firstLine(std::string_view Bytes) {
  const std::size_t End = Bytes.find_first_of("\r\n");
  if (End == std::string_view::npos)
    return {Bytes, 0};
  const bool TwoBytes = Bytes.substr(End, 2) == "\r\n";
  return {Bytes.substr(0, End), End + (TwoBytes ? 2 : 1)};
}

/// Goes on with the search for the end of the first event.
/// \returns the event's length, including the empty line that ends it; zero if
/// it is incomplete.
static std::size_t eventLength(std::string_view Bytes, EventSearch &Search) {
  while (true) {
    const std::size_t End = Bytes.find_first_of("\r\n", Search.Searched);
    if (End == std::string_view::npos) {
      Search.Searched = Bytes.size();
      return 0;
    }
    Search.Searched = End;
    const bool TwoBytes = Bytes.substr(End, 2) == "\r\n";
    const bool Empty = End == Search.LineBegin;
    // The LF of a CRLF may still follow.
    const bool HalfCrLf = Bytes.substr(End) == "\r";
    if (HalfCrLf && (!Empty || Search.AfterCrLf))
      return 0;
    Search = {End + (TwoBytes ? 2 : 1), End + (TwoBytes ? 2 : 1), TwoBytes};
    if (Empty)
      return Search.LineBegin;
  }
}

namespace {

/// \brief Decoded fields of an event.
struct EventFields {
  /// Whether the event has a line that is neither empty nor a comment.
  bool Any = false;
  /// The last "id" field, which is the one that counts.
  std::optional<std::string_view> Id;
};

} // namespace

static EventFields fieldsOf(std::string_view Event) {
  EventFields Fields;
  for (EventLine Line = firstLine(Event); Line.Length > 0;
       Line = firstLine(Event)) {
    Event.remove_prefix(Line.Length);
    if (Line.Text.empty() || Line.Text.starts_with(':'))
      continue;
    Fields.Any = true;
    const std::size_t Colon = Line.Text.find(':');
    if (Line.Text.substr(0, Colon) != "id")
      continue;
    std::string_view Value;
    if (Colon != std::string_view::npos)
      Value = Line.Text.substr(Colon + 1);
    if (Value.starts_with(' '))
      Value.remove_prefix(1);
    Fields.Id = Value;
  }
  return Fields;
}

/// \returns the number that is the whole text, if it is one.
static std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End ||
      Number < 0)
    return std::nullopt;
  return Number;
}

void EventStream::resumeAfter(std::string_view Id) {
  const std::optional<std::int64_t> Number = parseNumber(Id);
  if (!Number)
    return;
  LastNumber = Number;
  LastIdText = Id;
}

std::string EventStream::feed(std::string_view Bytes) {
  if (Faulty)
    return {};
  Partial.append(Bytes);
  std::string Complete;
  std::string_view Remaining = Partial;
  for (std::size_t Length = eventLength(Remaining, Search);
       Length > 0 && !Faulty; Length = eventLength(Remaining, Search)) {
    std::string_view Event = Remaining.substr(0, Length);
    std::string_view Mark;
    if (AtStart && Event.starts_with(ByteOrderMark)) {
      Mark = ByteOrderMark;
      Event.remove_prefix(Mark.size());
    }
    AtStart = false;
    const bool Joined = Events > 0;
    if (acceptEvent(Event))
      Complete.append(Joined ? std::string_view() : Mark).append(Event);
    Remaining.remove_prefix(Length);
    Search = {};
  }
  Partial.erase(0, Partial.size() - Remaining.size());
  return Complete;
}

bool EventStream::acceptEvent(std::string_view Event) {
  const EventFields Fields = fieldsOf(Event);
  if (!Fields.Any)
    return true;
  const std::optional<std::int64_t> Number =
      Fields.Id ? parseNumber(*Fields.Id) : std::nullopt;
  const bool Behind = Joining || (UpstreamNumber && LastNumber &&
                                  *UpstreamNumber < *LastNumber);
  // It cannot be told whether an event without a number was returned before.
  Faulty = !Number && Behind;
  if (Faulty || (Number && !acceptNumber(*Number)))
    return false;
  if (Number) {
    LastNumber = Number;
    LastIdText = *Fields.Id;
  }
  Resumable = Number.has_value();
  ++Events;
  return true;
}

void EventStream::recordStep(std::int64_t Number) {
  if (UpstreamNumber)
    Step = std::min(Step.value_or(Number - *UpstreamNumber),
                    Number - *UpstreamNumber);
  UpstreamNumber = Number;
}

bool EventStream::acceptNumber(std::int64_t Number) {
  Faulty = UpstreamNumber && Number <= *UpstreamNumber;
  if (Faulty)
    return false;
  recordStep(Number);
  if (LastNumber && Number <= *LastNumber) {
    Joining = Joining && Number < *LastNumber;
    return false;
  }
  Faulty = Joining && (!LastNumber || Number - *LastNumber > Step.value_or(1));
  Joining = Joining && Faulty;
  return !Faulty;
}

void EventStream::discardIncompleteEvent() {
  Partial.clear();
  Search = {};
  UpstreamNumber.reset();
  AtStart = true;
  Faulty = false;
  Joining = Events > 0;
}

} // namespace bronzeward
