#pragma once

#include "bronzeward/src/Ledger/Bill.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Request
/// \brief Counts the tokens of a server-sent event stream and holds back its
/// end until the bill is durable.
///
/// Events are forwarded to the caller as they arrive, up to the one with a
/// finish reason. That event and all after it form the tail, which is held
/// back.
class StreamMeter {
public:
  /// \param MaxTokens number of output tokens after which the stream is cut
  /// off; 0 never cuts it off.
  explicit StreamMeter(std::int64_t MaxTokens = 0) : Limit(MaxTokens) {}

  /// \brief Processes bytes of the stream.
  /// \returns the complete events to forward now.
  std::string feed(std::string_view Bytes);

  /// \returns whether the stream's last event was received.
  [[nodiscard]] bool finished() const { return Done; }
  /// \returns whether the upstream sent more tokens than the limit allows.
  [[nodiscard]] bool limitReached() const;
  /// \returns the events held back, or substitutes for them if the stream was
  /// cut off.
  [[nodiscard]] std::string tail() const;
  /// \param PromptBound upper bound on prompt tokens.
  /// \returns the usage last reported by the upstream, capped by the limits; if
  /// none was reported, the counted output tokens and no input tokens.
  [[nodiscard]] Usage usage(std::int64_t PromptBound) const;
  /// \returns whether the reported usage exceeds the limits.
  [[nodiscard]] bool overReported(std::int64_t PromptBound) const;
  [[nodiscard]] std::int64_t countedTokens() const { return Counted; }

private:
  void processEvent(std::string_view Event, std::string &Forward);
  [[nodiscard]] std::optional<Usage> reported() const;

  std::int64_t Limit;
  std::int64_t Counted = 0;
  /// Received bytes of an incomplete event.
  std::string Partial;
  std::string Tail;
  /// Whether an event with a finish reason was received.
  bool Stopped = false;
  bool Done = false;
  bool Overrun = false;
  /// Data of the last event that reported a usage, parsed on demand.
  std::string UsageEvent;
};

/// \returns the usage that an upstream reported in a JSON body, if any.
[[nodiscard]] std::optional<Usage> parseUsage(std::string_view Body);

/// \returns the reported usage with each count limited to the reservation.
[[nodiscard]] Usage cappedUsage(const Usage &Reported, std::int64_t MaxInput,
                                std::int64_t MaxOutput);

} // namespace bronzeward
