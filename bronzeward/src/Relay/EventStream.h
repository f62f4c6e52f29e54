#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Relay
/// \brief Splits an upstream's server-sent events at event boundaries, so that
/// the caller only receives complete events.
class EventStream {
public:
  /// \brief Appends bytes of the upstream's answer.
  /// \returns the events that Bytes completes, unchanged, without those that
  /// were returned before.
  [[nodiscard]] std::string feed(std::string_view Bytes);
  /// \brief Discards an incomplete event before the stream of another upstream.
  /// Events that the caller already has are omitted from that stream.
  void continueElsewhere();

  /// \returns the bytes of the incomplete last event.
  [[nodiscard]] const std::string &rest() const { return Partial; }
  /// \returns the number of events returned so far.
  [[nodiscard]] std::int64_t events() const { return Events; }
  /// \returns the id of the last returned event that had one; empty if none
  /// had.
  [[nodiscard]] std::string lastId() const;

private:
  [[nodiscard]] bool acceptEvent(std::string_view Event);

  std::string Partial;
  std::int64_t Events = 0;
  std::optional<std::int64_t> LastId;
};

} // namespace bronzeward
