#pragma once

#include <boost/asio/io_context.hpp>

#include <exception>

namespace bronzeward {

/// \addtogroup Net
/// @{

/// \brief Writes a log line for an exception that was caught where it ends a
/// connection or one event; one line per second at most.
void reportException(const std::exception &Failure) noexcept;

/// \brief Runs one step of an event loop. An exception is reported and ends
/// this step only.
template <class Step> void runGuarded(Step Run) {
  try {
    Run();
  } catch (const std::exception &Failure) {
    reportException(Failure);
  }
}

/// \brief Runs a loop until it is stopped or has nothing left to do. An
/// exception is reported and ends only the handler that threw it.
void runLoop(boost::asio::io_context &Io);

/// @}

} // namespace bronzeward
