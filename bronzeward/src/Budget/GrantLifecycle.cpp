#include "bronzeward/src/Budget/GrantLifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace bronzeward {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct DrawSent {};
struct DrawApplied {};
struct DrawRefused {};
struct ReturnSent {};
struct ReturnApplied {};
struct Fenced {};

struct Empty : msm::front::state<> {};
struct Drawing : msm::front::state<> {};
struct Held : msm::front::state<> {};
struct Returning : msm::front::state<> {};

struct GrantTable : msm::front::state_machine_def<GrantTable> {
  using initial_state = Empty;
  // clang-format off
  struct transition_table : mpl::vector<
    //   From       Event          To
    Row< Empty,     DrawSent,      Drawing,   none, none >,
    Row< Drawing,   DrawApplied,   Held,      none, none >,
    Row< Drawing,   DrawRefused,   Held,      none, none >,
    Row< Drawing,   Fenced,        Empty,     none, none >,
    Row< Held,      DrawSent,      Drawing,   none, none >,
    Row< Held,      ReturnSent,    Returning, none, none >,
    Row< Held,      Fenced,        Empty,     none, none >,
    Row< Returning, ReturnApplied, Held,      none, none >,
    Row< Returning, Fenced,        Empty,     none, none >
  > {};
  // clang-format on
  template <class Fsm, class Event>
  void no_transition(const Event &, Fsm &, int) {}
};

} // namespace

struct GrantLifecycle::Machine : msm::back::state_machine<GrantTable> {};

GrantLifecycle::GrantLifecycle() : Impl(std::make_unique<Machine>()) {
  Impl->start();
}
GrantLifecycle::~GrantLifecycle() = default;
GrantLifecycle::GrantLifecycle(GrantLifecycle &&) noexcept = default;
GrantLifecycle &GrantLifecycle::operator=(GrantLifecycle &&) noexcept = default;

bool GrantLifecycle::process(GrantEvent Event) {
  switch (Event) {
  case GrantEvent::DrawSent:
    return Impl->process_event(DrawSent()) == msm::back::HANDLED_TRUE;
  case GrantEvent::DrawApplied:
    return Impl->process_event(DrawApplied()) == msm::back::HANDLED_TRUE;
  case GrantEvent::DrawRefused:
    return Impl->process_event(DrawRefused()) == msm::back::HANDLED_TRUE;
  case GrantEvent::ReturnSent:
    return Impl->process_event(ReturnSent()) == msm::back::HANDLED_TRUE;
  case GrantEvent::ReturnApplied:
    return Impl->process_event(ReturnApplied()) == msm::back::HANDLED_TRUE;
  case GrantEvent::Fenced:
    return Impl->process_event(Fenced()) == msm::back::HANDLED_TRUE;
  }
  return false;
}

GrantState GrantLifecycle::state() const {
  return static_cast<GrantState>(Impl->current_state()[0]);
}

bool GrantLifecycle::changing() const {
  return state() == GrantState::Drawing || state() == GrantState::Returning;
}

} // namespace bronzeward
