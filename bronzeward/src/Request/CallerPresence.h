#pragma once

namespace bronzeward {

/// \ingroup Request
/// \brief Tells whether the caller of a request still waits for its answer.
///
/// May be used from any thread, also after the request has ended.
class CallerPresence {
public:
  virtual ~CallerPresence() = default;
  /// \returns whether the caller has closed its connection, as far as this
  /// machine has been told, even if no event about it was handled yet.
  [[nodiscard]] virtual bool hasLeft() const = 0;
};

} // namespace bronzeward
