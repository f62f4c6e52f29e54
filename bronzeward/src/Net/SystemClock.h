#pragma once

#include "bronzeward/Base"

namespace bronzeward {

/// \ingroup Net
/// \brief Time of the machine.
class SystemClock : public Clock {
public:
  [[nodiscard]] TimePoint now() const override {
    return std::chrono::steady_clock::now();
  }
  [[nodiscard]] WallTime wallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

} // namespace bronzeward
