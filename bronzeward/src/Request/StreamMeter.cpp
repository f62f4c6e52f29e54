#include "bronzeward/src/Request/StreamMeter.h"

#include <boost/json.hpp>

#include <algorithm>

namespace bronzeward {

namespace json = boost::json;

static std::int64_t number(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_int64() ? Value->as_int64() : 0;
}

static std::optional<Usage> usageOf(const json::value &Parsed) {
  if (!Parsed.is_object())
    return std::nullopt;
  const json::value *Field = Parsed.as_object().if_contains("usage");
  if (Field == nullptr || !Field->is_object())
    return std::nullopt;
  const json::object &Object = Field->as_object();
  Usage Found;
  Found.InputTokens = number(Object, "prompt_tokens");
  Found.OutputTokens = number(Object, "completion_tokens");
  const json::value *Details = Object.if_contains("prompt_tokens_details");
  if (Details != nullptr && Details->is_object())
    Found.CachedTokens = number(Details->as_object(), "cached_tokens");
  return Found;
}

std::optional<Usage> parseUsage(std::string_view Body) {
  boost::system::error_code Failure;
  const json::value Parsed = json::parse({Body.data(), Body.size()}, Failure);
  if (Failure)
    return std::nullopt;
  return usageOf(Parsed);
}

Usage cappedUsage(const Usage &Reported, std::int64_t MaxInput,
                  std::int64_t MaxOutput) {
  Usage Capped;
  Capped.InputTokens =
      std::clamp<std::int64_t>(Reported.InputTokens, 0, MaxInput);
  Capped.CachedTokens =
      std::clamp<std::int64_t>(Reported.CachedTokens, 0, Capped.InputTokens);
  Capped.OutputTokens =
      std::clamp<std::int64_t>(Reported.OutputTokens, 0, MaxOutput);
  return Capped;
}

std::string StreamMeter::feed(std::string_view Bytes) {
  Partial.append(Bytes);
  std::string Forward;
  std::size_t Begin = 0;
  std::size_t End = Partial.find("\n\n");
  while (End != std::string::npos) {
    takeEvent(std::string_view(Partial).substr(Begin, End + 2 - Begin),
              Forward);
    Begin = End + 2;
    End = Partial.find("\n\n", Begin);
  }
  Partial.erase(0, Begin);
  return Forward;
}

void StreamMeter::takeEvent(std::string_view Event, std::string &Forward) {
  if (Done || limitReached())
    return;
  constexpr std::string_view Marker = "data: ";
  if (!Event.starts_with(Marker))
    return;
  const std::string_view Data = Event.substr(Marker.size());
  if (Data.starts_with("[DONE]")) {
    Tail.append(Event);
    Stopped = true;
    Done = true;
    return;
  }
  // Parsing each event would cost more than all else done for a token.
  const bool Stops =
      Data.find("\"finish_reason\":\"") != std::string_view::npos;
  if (Data.find("\"usage\":{") != std::string_view::npos)
    UsageEvent.assign(Data);
  if (Stopped || Stops) {
    Stopped = true;
    Tail.append(Event);
    return;
  }
  // The upstream was told the limit; only one that ignores it is cut.
  if (Limit > 0 && Counted >= Limit) {
    Overrun = true;
    return;
  }
  ++Counted;
  Forward.append(Event);
}

bool StreamMeter::limitReached() const { return Overrun; }

std::string StreamMeter::tail() const {
  if (Done)
    return Tail;
  return "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
         "0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
         "data: [DONE]\n\n";
}

std::optional<Usage> StreamMeter::reported() const {
  return UsageEvent.empty() ? std::nullopt : parseUsage(UsageEvent);
}

Usage StreamMeter::usage(std::int64_t PromptBound) const {
  const Usage Seen = reported().value_or(Usage{0, 0, Counted});
  return cappedUsage(Seen, PromptBound, Limit);
}

bool StreamMeter::overReported(std::int64_t PromptBound) const {
  const std::optional<Usage> Seen = reported();
  return Seen && !(cappedUsage(*Seen, PromptBound, Limit) == *Seen);
}

} // namespace bronzeward
