#pragma once

namespace bronzeward {

/// \brief Holds back the signals that stop or reload a daemon until
/// releaseSignals(), and ignores SIGPIPE. To be called before any thread
/// starts; threads inherit it.
void holdSignals();

/// \brief Delivers the signals held back, and later ones, to their handlers.
void releaseSignals();

/// \returns whether a signal that stops the daemon is held back.
[[nodiscard]] bool stopSignalHeld();

} // namespace bronzeward
