#pragma once

#include <memory>

namespace bronzeward {

/// \ingroup Request
/// \brief Where one request stands. The table is in docs/DESIGN.md.
enum class RequestState {
  Reserving,
  Claiming,
  Dispatched,
  Answering,
  Settling,
  Ended,
};

/// \ingroup Request
/// \brief What happens to a request.
enum class RequestEvent {
  ClaimNeeded,
  Dispatch,
  FirstByte,
  AttemptFailed,
  AnswerComplete,
  End,
};

/// \ingroup Request
/// \brief State machine of one request.
class RequestLifecycle {
public:
  RequestLifecycle();
  ~RequestLifecycle();
  RequestLifecycle(RequestLifecycle &&) noexcept;
  RequestLifecycle &operator=(RequestLifecycle &&) noexcept;

  /// \returns false, without effect, where the event is not allowed.
  bool process(RequestEvent Event);
  [[nodiscard]] RequestState state() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace bronzeward
