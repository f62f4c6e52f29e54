#include "daemons/ProcessSignals.h"

#include <csignal>
#include <initializer_list>

namespace bronzeward {

static sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Set, Number);
  return Set;
}

void holdSignals() {
  const sigset_t Set = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void releaseSignals() {
  const sigset_t Set = handledSignals();
  pthread_sigmask(SIG_UNBLOCK, &Set, nullptr);
}

bool stopSignalHeld() {
  sigset_t Pending;
  if (sigpending(&Pending) != 0)
    return false;
  return sigismember(&Pending, SIGTERM) == 1 ||
         sigismember(&Pending, SIGINT) == 1;
}

} // namespace bronzeward
