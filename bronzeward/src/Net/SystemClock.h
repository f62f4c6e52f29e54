#pragma once

#include "bronzeward/Base"

#include <ctime>

namespace bronzeward {

/// \ingroup Net
/// \brief Clocks of the operating system. The monotonic clock also counts time
/// for which the machine was suspended, because callers' deadlines continue
/// during it.
class SystemClock : public Clock {
public:
  [[nodiscard]] TimePoint now() const override {
    timespec Reading{};
    clock_gettime(CLOCK_BOOTTIME, &Reading);
    return TimePoint(std::chrono::seconds(Reading.tv_sec) +
                     std::chrono::nanoseconds(Reading.tv_nsec));
  }
  [[nodiscard]] WallTime wallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

} // namespace bronzeward
