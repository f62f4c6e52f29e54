#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace bronzeward {

/// \brief What the process has of memory, threads and descriptors.
struct ProcessFigures {
  std::size_t ResidentKiB = 0;
  std::size_t PeakResidentKiB = 0;
  std::size_t AddressSpaceKiB = 0;
  std::size_t PeakAddressSpaceKiB = 0;
  std::size_t Threads = 0;
  std::size_t Descriptors = 0;
  std::size_t MaxDescriptors = 0;
};

/// \returns the figures of this process, or nothing if the kernel does not
/// state them or no descriptor is free to read them.
[[nodiscard]] std::optional<ProcessFigures> readProcessFigures();

/// \returns the figures as the detail of a log line.
[[nodiscard]] std::string describe(const ProcessFigures &Figures);

/// \brief Makes std::terminate() write a log line with the exception that ends
/// the process. The line is written without allocations.
void reportTermination();

} // namespace bronzeward
