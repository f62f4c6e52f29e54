#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \brief Record of what was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}

  void line(const std::string &Who, const std::string &What) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Out << sinceStart().count() << " ms " << Who << ": " << What << "\n";
    Out.flush();
  }

  [[nodiscard]] std::chrono::milliseconds sinceStart() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - Begin);
  }

private:
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
  std::mutex Lock;
  std::ofstream Out;
};

} // namespace review
