#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Relay
/// \brief Cuts an upstream's event stream at event boundaries, so that what the
/// caller has is always a whole number of events.
class EventStream {
public:
  /// \returns the events that Bytes completes, unchanged.
  [[nodiscard]] std::string feed(std::string_view Bytes);
  /// \brief Drops an event that broke off, and begins with another upstream's
  /// stream, of which events the caller already has are left out.
  void continueElsewhere();

  /// \returns bytes of an event that is not complete.
  [[nodiscard]] const std::string &rest() const { return Partial; }
  /// \returns events passed on so far.
  [[nodiscard]] std::int64_t events() const { return Events; }
  /// \returns the id of the last event passed on; empty where it had none.
  [[nodiscard]] std::string lastId() const;

private:
  [[nodiscard]] bool takeEvent(std::string_view Event);

  std::string Partial;
  std::int64_t Events = 0;
  std::optional<std::int64_t> LastId;
};

} // namespace bronzeward
