#pragma once

#include <memory>

namespace bronzeward {

/// \ingroup Budget
/// \brief State of one workspace's grant at this instance.
///
/// docs/BUDGETS.md has the table of transitions. At most one change of the
/// grant is pending at a time, because changes have sequence numbers.
enum class GrantState { Empty, Drawing, Held, Returning };

/// \ingroup Budget
/// \brief Event that changes the state of a grant.
enum class GrantEvent {
  DrawSent,
  DrawApplied,
  DrawRefused,
  ReturnSent,
  ReturnApplied,
  Fenced,
};

/// \ingroup Budget
/// \brief State machine of one grant.
class GrantLifecycle {
public:
  GrantLifecycle();
  ~GrantLifecycle();
  GrantLifecycle(GrantLifecycle &&) noexcept;
  GrantLifecycle &operator=(GrantLifecycle &&) noexcept;

  /// \returns false, without effect, if the state does not allow the event.
  bool process(GrantEvent Event);

  [[nodiscard]] GrantState state() const;
  /// \returns whether a change of the grant is pending.
  [[nodiscard]] bool changing() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace bronzeward
