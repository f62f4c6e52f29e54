#include "bronzeward/src/Net/LoopGuard.h"

#include "bronzeward/src/Net/SystemClock.h"
#include "bronzeward/src/Store/UnreadableReplies.h"

#include <boost/json.hpp>
#include <boost/log/trivial.hpp>

#include <mutex>
#include <unistd.h>

namespace bronzeward {

/// Written where not even a log line can be made.
constexpr char UnreportedLine[] =
    "{\"event\":\"exception\",\"detail\":\"could not be reported\"}\n";

static void writeReport(const std::exception &Failure) {
  static std::mutex Lock;
  static UnreadableReplies Pace;
  std::lock_guard<std::mutex> Guard(Lock);
  const std::optional<std::string> Detail =
      Pace.report(Failure.what(), SystemClock().now());
  if (!Detail)
    return;
  const boost::json::object Line = {{"event", "exception"},
                                    {"detail", *Detail}};
  BOOST_LOG_TRIVIAL(warning) << boost::json::serialize(Line);
}

void reportException(const std::exception &Failure) noexcept {
  try {
    writeReport(Failure);
  } catch (const std::exception &) {
    // Most likely memory is short; this line takes none.
    [[maybe_unused]] const ssize_t Written =
        ::write(STDOUT_FILENO, UnreportedLine, sizeof(UnreportedLine) - 1);
  }
}

void runLoop(boost::asio::io_context &Io) {
  // run() returns without an exception once the loop is stopped.
  while (!Io.stopped())
    runGuarded([&Io] { Io.run(); });
}

} // namespace bronzeward
