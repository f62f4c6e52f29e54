#pragma once

#include "bronzeward/src/Ledger/Bill.h"

#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Request
/// \brief Counts the tokens of a server-sent event stream and keeps its end
/// back until the bill is durable.
///
/// Events go to the caller as they come, up to the one that says why the
/// model stopped; that one and all after it are the tail.
class StreamMeter {
public:
  /// \param MaxTokens output tokens after which the stream is cut.
  explicit StreamMeter(std::int64_t MaxTokens = 0) : Limit(MaxTokens) {}

  /// \brief Takes in bytes of the stream.
  /// \returns whole events to pass on now.
  std::string feed(std::string_view Bytes);

  /// \returns whether the stream reached its last event.
  [[nodiscard]] bool finished() const { return Done; }
  /// \returns whether the upstream went on past the limit.
  [[nodiscard]] bool limitReached() const;
  /// \returns the events kept back, or for a cut stream a substitute.
  [[nodiscard]] std::string tail() const;
  /// \returns tokens as last reported by the upstream, else output as counted
  /// and no input.
  /// \param PromptBound upper bound on prompt tokens.
  [[nodiscard]] Usage usage(std::int64_t PromptBound) const;
  /// \returns whether the upstream reported more than the limits allow.
  [[nodiscard]] bool overReported(std::int64_t PromptBound) const;
  [[nodiscard]] std::int64_t countedTokens() const { return Counted; }

private:
  void takeEvent(std::string_view Event, std::string &Forward);
  [[nodiscard]] std::optional<Usage> reported() const;

  std::int64_t Limit;
  std::int64_t Counted = 0;
  std::string Partial;
  std::string Tail;
  bool Stopped = false;
  bool Done = false;
  bool Overrun = false;
  /// Last event that carried a usage; parsed only when asked for.
  std::string UsageEvent;
};

/// \returns the usage that an upstream reported in a JSON body, if any.
[[nodiscard]] std::optional<Usage> parseUsage(std::string_view Body);

/// \returns Reported with every part within the reservation.
[[nodiscard]] Usage cappedUsage(const Usage &Reported, std::int64_t MaxInput,
                                std::int64_t MaxOutput);

} // namespace bronzeward
