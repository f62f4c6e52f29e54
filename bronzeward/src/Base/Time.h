#pragma once

#include <chrono>

namespace bronzeward {

using namespace std::chrono_literals;

/// Monotonic time; every timeout and interval is measured on it.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Calendar time, written into bills. Decisions depend on it only for the age
/// of evidence that outlasts the instances.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// \ingroup Base
/// \brief Source of time for everything outside the deterministic library.
class Clock {
public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual TimePoint now() const = 0;
  [[nodiscard]] virtual WallTime wallNow() const = 0;
};

} // namespace bronzeward
