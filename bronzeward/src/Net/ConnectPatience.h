#pragma once

#include "bronzeward/Base"

namespace bronzeward {

/// \ingroup Net
/// \brief How long one party's connections may take to open.
///
/// Two load patterns look alike: a party that was cut off, whose return a short
/// time notices sooner than a lost first packet is sent again; and an own link
/// that is full, over which a short time never suffices. After each connection
/// that did not open in time the other time is tried.
class ConnectPatience {
public:
  ConnectPatience(Duration Short, Duration Long)
      : ShortTime(Short), LongTime(Long) {}

  [[nodiscard]] Duration timeout() const {
    return Patient ? LongTime : ShortTime;
  }
  void onTimedOut() { Patient = !Patient; }

private:
  Duration ShortTime;
  Duration LongTime;
  bool Patient = false;
};

} // namespace bronzeward
