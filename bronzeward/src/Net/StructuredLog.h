#pragma once

#include "bronzeward/Request"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bronzeward {

/// \ingroup Net
/// \brief Writes JSON lines through Boost.Log, from a separate thread. Lines
/// contain neither prompts nor keys.
class StructuredLog : public DecisionLog {
public:
  /// \param Name name of this instance, written into each line.
  explicit StructuredLog(std::string Name);
  ~StructuredLog() override;

  void onChoice(const ChoiceRecord &Record) override;
  void onEnd(const RequestId &Request, const WorkspaceId &Workspace,
             std::uint16_t Status, const std::string &Outcome,
             const std::string &Reason) override;
  void onEvent(const std::string &Event, const std::string &Detail) override;

  /// \returns the number of lines dropped because the ring was full.
  [[nodiscard]] std::uint64_t dropped() const { return Ring.refused(); }

private:
  struct EndRecord {
    RequestId Request;
    WorkspaceId Workspace;
    std::uint16_t Status = 0;
    std::string Outcome;
    std::string Reason;
  };
  struct EventRecord {
    std::string Event;
    std::string Detail;
  };
  using Record = std::variant<ChoiceRecord, EndRecord, EventRecord>;

  void push(Record Item);
  void run();
  void write(const Record &Item);

  std::string Instance;
  BoundedRing<Record> Ring;
  std::mutex Lock;
  std::condition_variable Ready;
  bool Pending = false;
  bool Stopping = false;
  std::thread Writer;
};

} // namespace bronzeward
