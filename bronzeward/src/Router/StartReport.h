#pragma once

#include "bronzeward/Base"

#include <array>
#include <optional>
#include <string>

namespace bronzeward {

/// \ingroup Router
/// \brief What an instance waits for after its start.
enum class StartStep : std::uint8_t {
  Registered,
  Listed,
  Configured,
  UpstreamsKnown,
  FirstGrant,
  Ready,
};

/// \ingroup Router
/// \brief Records when each step of a start was first complete, and composes
/// log lines until all are.
class StartReport {
public:
  explicit StartReport(TimePoint Now);

  /// \brief Records a step that is complete; repeating it has no effect.
  void complete(StartStep Step, TimePoint Now);

  /// \returns a line with the time of each step, and which ones are waited for;
  /// empty if none is due. The last line is due when all steps are complete,
  /// others after intervals that double.
  [[nodiscard]] std::optional<std::string> takeLine(TimePoint Now);

  /// \returns whether the last line was taken.
  [[nodiscard]] bool reported() const { return !NextLine; }

private:
  static constexpr std::size_t Steps = 6;

  [[nodiscard]] bool allComplete() const;

  TimePoint Began;
  std::array<std::optional<TimePoint>, Steps> CompletedAt;
  std::optional<TimePoint> NextLine;
};

} // namespace bronzeward
