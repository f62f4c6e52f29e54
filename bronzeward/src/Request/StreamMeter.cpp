#include "bronzeward/src/Request/StreamMeter.h"

#include <boost/json.hpp>

#include <algorithm>

namespace bronzeward {

namespace json = boost::json;

static std::int64_t intField(const json::object &Object, const char *Name) {
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
  Usage Result;
  Result.InputTokens = intField(Object, "prompt_tokens");
  Result.OutputTokens = intField(Object, "completion_tokens");
  const json::value *Details = Object.if_contains("prompt_tokens_details");
  if (Details != nullptr && Details->is_object())
    Result.CachedTokens = intField(Details->as_object(), "cached_tokens");
  return Result;
}

std::optional<Usage> parseUsage(std::string_view Body) {
  boost::system::error_code ParseError;
  const json::value Parsed =
      json::parse({Body.data(), Body.size()}, ParseError);
  if (ParseError)
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
    processEvent(std::string_view(Partial).substr(Begin, End + 2 - Begin),
                 Forward);
    Begin = End + 2;
    End = Partial.find("\n\n", Begin);
  }
  Partial.erase(0, Begin);
  return Forward;
}

void StreamMeter::processEvent(std::string_view Event, std::string &Forward) {
  if (Done || limitReached())
    return;
  constexpr std::string_view DataField = "data: ";
  if (!Event.starts_with(DataField))
    return;
  const std::string_view Data = Event.substr(DataField.size());
  if (Data.starts_with("[DONE]")) {
    Tail.append(Event);
    Stopped = true;
    Done = true;
    return;
  }
  // Searches for the fields as text: parsing each event as JSON would cost more
  // than all other work for a token.
  const bool Stops =
      Data.find("\"finish_reason\":\"") != std::string_view::npos;
  if (Data.find("\"usage\":{") != std::string_view::npos)
    UsageEvent.assign(Data);
  if (Stopped || Stops) {
    Stopped = true;
    Tail.append(Event);
    return;
  }
  // The upstream was sent the limit; the stream is cut off only if it ignores
  // the limit.
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
  const Usage LastReported = reported().value_or(Usage{0, 0, Counted});
  return cappedUsage(LastReported, PromptBound, Limit);
}

bool StreamMeter::overReported(std::int64_t PromptBound) const {
  const std::optional<Usage> LastReported = reported();
  return LastReported &&
         !(cappedUsage(*LastReported, PromptBound, Limit) == *LastReported);
}

} // namespace bronzeward
