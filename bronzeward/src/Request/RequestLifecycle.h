#pragma once

#include <memory>

namespace bronzeward {

/// \ingroup Request
/// \brief State of one request. The transition table is in docs/DESIGN.md.
enum class RequestState {
  Reserving,
  Claiming,
  Dispatched,
  Answering,
  Settling,
  Ended,
};

/// \ingroup Request
/// \brief Event that may change the state of a request.
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

  /// \brief Applies an event.
  /// \returns false, without effect, if the state does not allow the event.
  bool process(RequestEvent Event);
  [[nodiscard]] RequestState state() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace bronzeward
