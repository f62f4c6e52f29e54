#pragma once

#include <memory>

namespace bronzeward {

/// \ingroup Budget
/// \brief Where one workspace's grant stands at this instance.
///
/// The table is in docs/BUDGETS.md. At most one change of the grant is under
/// way, since changes are numbered.
enum class GrantState { Empty, Drawing, Held, Returning };

/// \ingroup Budget
/// \brief What happens to a grant.
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

  /// \returns false, without effect, where the event is not allowed.
  bool process(GrantEvent Event);

  [[nodiscard]] GrantState state() const;
  /// \returns whether a change of the grant is under way.
  [[nodiscard]] bool changing() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace bronzeward
