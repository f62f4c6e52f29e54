#include "daemons/ProcessReport.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <sys/resource.h>
#include <unistd.h>

namespace bronzeward {

/// Maximum size of the line that is written before the process ends.
constexpr std::size_t MaxTerminationLine = 512;

static std::optional<std::size_t> countDescriptors() {
  std::error_code Failure;
  const std::filesystem::directory_iterator Listed("/proc/self/fd", Failure);
  if (Failure)
    return std::nullopt;
  // The listing itself takes one descriptor.
  return static_cast<std::size_t>(std::distance(begin(Listed), end(Listed))) -
         1;
}

static bool readStatus(ProcessFigures &Out) {
  std::ifstream In("/proc/self/status");
  std::string Line;
  while (std::getline(In, Line)) {
    const std::string_view Text = Line;
    const std::size_t Colon = Text.find(':');
    const std::string_view Name = Text.substr(0, Colon);
    std::size_t *Target = Name == "VmRSS"     ? &Out.ResidentKiB
                          : Name == "VmHWM"   ? &Out.PeakResidentKiB
                          : Name == "VmSize"  ? &Out.AddressSpaceKiB
                          : Name == "VmPeak"  ? &Out.PeakAddressSpaceKiB
                          : Name == "Threads" ? &Out.Threads
                                              : nullptr;
    if (Target != nullptr)
      *Target = std::strtoull(Line.c_str() + Colon + 1, nullptr, 10);
  }
  return Out.ResidentKiB != 0;
}

std::optional<ProcessFigures> readProcessFigures() {
  ProcessFigures Out;
  const std::optional<std::size_t> Descriptors = countDescriptors();
  if (!Descriptors || !readStatus(Out))
    return std::nullopt;
  Out.Descriptors = *Descriptors;
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) == 0)
    Out.MaxDescriptors = Limit.rlim_cur;
  return Out;
}

std::string describe(const ProcessFigures &Figures) {
  return "resident " + std::to_string(Figures.ResidentKiB) + " KiB, at most " +
         std::to_string(Figures.PeakResidentKiB) + " KiB; address space " +
         std::to_string(Figures.AddressSpaceKiB) + " KiB, at most " +
         std::to_string(Figures.PeakAddressSpaceKiB) + " KiB; threads " +
         std::to_string(Figures.Threads) + "; descriptors " +
         std::to_string(Figures.Descriptors) + " of " +
         std::to_string(Figures.MaxDescriptors);
}

static const char *currentException() {
  const std::exception_ptr Current = std::current_exception();
  if (!Current)
    return "no exception";
  try {
    std::rethrow_exception(Current);
  } catch (const std::exception &Failure) {
    return Failure.what();
  } catch (...) {
    return "an exception of an unknown type";
  }
}

[[noreturn]] static void terminateWithReport() {
  std::array<char, MaxTerminationLine> Text{};
  std::snprintf(Text.data(), Text.size(), "%s", currentException());
  for (char &Character : Text)
    if (Character == '"' || Character == '\\' ||
        (Character > 0 && Character < ' '))
      Character = ' ';
  std::array<char, MaxTerminationLine + 64> Line{};
  const int Length = std::snprintf(
      Line.data(), Line.size(),
      "{\"event\":\"terminated\",\"detail\":\"%s\"}\n", Text.data());
  [[maybe_unused]] const ssize_t Written =
      ::write(STDOUT_FILENO, Line.data(), static_cast<std::size_t>(Length));
  std::abort();
}

void reportTermination() { std::set_terminate(terminateWithReport); }

} // namespace bronzeward
