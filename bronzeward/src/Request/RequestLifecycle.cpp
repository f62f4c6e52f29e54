#include "bronzeward/src/Request/RequestLifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bronzeward {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct ClaimNeeded {};
struct Dispatch {};
struct FirstByte {};
struct AttemptFailed {};
struct AnswerComplete {};
struct End {};

struct Reserving : msm::front::state<> {};
struct Claiming : msm::front::state<> {};
struct Dispatched : msm::front::state<> {};
struct Answering : msm::front::state<> {};
struct Settling : msm::front::state<> {};
struct Ended : msm::front::state<> {};

struct RequestTable : msm::front::state_machine_def<RequestTable> {
  using initial_state = Reserving;
  // clang-format off
  struct transition_table : mpl::vector<
    //   From        Event           To
    Row< Reserving,  ClaimNeeded,    Claiming,   none, none >,
    Row< Reserving,  Dispatch,       Dispatched, none, none >,
    Row< Reserving,  End,            Ended,      none, none >,
    Row< Claiming,   Dispatch,       Dispatched, none, none >,
    Row< Claiming,   End,            Ended,      none, none >,
    Row< Dispatched, FirstByte,      Answering,  none, none >,
    Row< Dispatched, AttemptFailed,  Dispatched, none, none >,
    Row< Dispatched, AnswerComplete, Settling,   none, none >,
    Row< Dispatched, End,            Ended,      none, none >,
    Row< Answering,  AttemptFailed,  Dispatched, none, none >,
    Row< Answering,  AnswerComplete, Settling,   none, none >,
    Row< Answering,  End,            Ended,      none, none >,
    Row< Settling,   End,            Ended,      none, none >
  > {};
  // clang-format on
  template <class Fsm, class Event>
  void no_transition(const Event &, Fsm &, int) {}
};

} // namespace

struct RequestLifecycle::Machine : msm::back::state_machine<RequestTable> {};

RequestLifecycle::RequestLifecycle() : Impl(std::make_unique<Machine>()) {
  Impl->start();
}
RequestLifecycle::~RequestLifecycle() = default;
RequestLifecycle::RequestLifecycle(RequestLifecycle &&) noexcept = default;
RequestLifecycle &
RequestLifecycle::operator=(RequestLifecycle &&) noexcept = default;

bool RequestLifecycle::process(RequestEvent Event) {
  switch (Event) {
  case RequestEvent::ClaimNeeded:
    return Impl->process_event(ClaimNeeded()) == msm::back::HANDLED_TRUE;
  case RequestEvent::Dispatch:
    return Impl->process_event(Dispatch()) == msm::back::HANDLED_TRUE;
  case RequestEvent::FirstByte:
    return Impl->process_event(FirstByte()) == msm::back::HANDLED_TRUE;
  case RequestEvent::AttemptFailed:
    return Impl->process_event(AttemptFailed()) == msm::back::HANDLED_TRUE;
  case RequestEvent::AnswerComplete:
    return Impl->process_event(AnswerComplete()) == msm::back::HANDLED_TRUE;
  case RequestEvent::End:
    return Impl->process_event(End()) == msm::back::HANDLED_TRUE;
  }
  return false;
}

RequestState RequestLifecycle::state() const {
  return static_cast<RequestState>(Impl->current_state()[0]);
}

} // namespace bronzeward
