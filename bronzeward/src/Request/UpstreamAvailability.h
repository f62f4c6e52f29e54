#pragma once

#include <atomic>

namespace bronzeward {

/// \ingroup Request
/// \brief Tells whether a call that was placed at an upstream may still be sent
/// there.
///
/// May be used from any thread, also after the call has ended.
class UpstreamAvailability {
public:
  /// \brief Forbids sending. It is not allowed again.
  void withdraw() { Withdrawn = true; }
  [[nodiscard]] bool withdrawn() const { return Withdrawn; }

private:
  std::atomic<bool> Withdrawn = false;
};

} // namespace bronzeward
