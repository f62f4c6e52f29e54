#pragma once

#include "bronzeward/src/Base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace bronzeward {

/// \ingroup Base
/// \brief Pending timers of one instance, run by its owner's clock.
class TimerQueue {
public:
  using Action = std::function<void(TimePoint)>;
  /// Names a pending timer; stays valid after it ran.
  struct Handle {
    TimePoint When;
    std::uint64_t Number = 0;
  };

  /// \brief Runs What once, at or after When.
  Handle schedule(TimePoint When, Action What) {
    const Handle Made{When, ++Last};
    Pending.emplace(std::make_pair(When, Last), std::move(What));
    return Made;
  }

  /// \brief Forgets a timer; no effect once it ran.
  void cancel(const Handle &Timer) {
    Pending.erase(std::make_pair(Timer.When, Timer.Number));
  }

  /// \brief Runs every timer due at Now, in order of time and age.
  void runDue(TimePoint Now) {
    while (!Pending.empty() && Pending.begin()->first.first <= Now) {
      Action What = std::move(Pending.begin()->second);
      Pending.erase(Pending.begin());
      What(Now);
    }
  }

  /// \returns when the next timer is due.
  [[nodiscard]] std::optional<TimePoint> next() const {
    if (Pending.empty())
      return std::nullopt;
    return Pending.begin()->first.first;
  }

private:
  std::map<std::pair<TimePoint, std::uint64_t>, Action> Pending;
  std::uint64_t Last = 0;
};

} // namespace bronzeward
