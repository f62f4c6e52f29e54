#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeward {

/// \ingroup Relay
/// \brief How far the first event of some bytes was searched for its end, so
/// that a long event is searched once although it arrives in small parts.
struct EventSearch {
  /// Begin of the first line that may be incomplete.
  std::size_t LineBegin = 0;
  /// Offset before which that line does not end.
  std::size_t Searched = 0;
  /// Whether the line before it ended with CRLF.
  bool AfterCrLf = false;
};

/// \brief Splits upstreams' server-sent events at event boundaries, and joins
/// the streams of several upstreams where their numbers show no gap.
///
/// An event is numbered if its "id" is a non-negative integer. The numbers of
/// one upstream's stream have to increase. Another upstream's stream may go on
/// where events were returned before if it repeats the last of them, or if its
/// first new number follows by no more than the smallest step seen so far. If
/// numbers rise unevenly, such a step can still hide an event.
class EventStream {
public:
  /// \brief Omits the events that a caller has, up to and including Id. An id
  /// that is not a number has no effect.
  void resumeAfter(std::string_view Id);
  /// \brief Appends bytes of the upstream's answer.
  /// \returns the events that Bytes completes, unchanged, without those that
  /// were returned before. After a fault, nothing of this upstream's stream.
  [[nodiscard]] std::string feed(std::string_view Bytes);
  /// \brief Discards an incomplete event before the stream of another upstream.
  /// Events that the caller already has are omitted from that stream.
  void discardIncompleteEvent();

  /// \returns whether the upstream's stream is out of order, or cannot be
  /// joined to what was returned before.
  [[nodiscard]] bool faulty() const { return Faulty; }
  /// \returns whether the upstream's stream is known to go on directly after
  /// the events of the upstreams before it; true for the first one.
  [[nodiscard]] bool continuous() const { return !Joining; }
  /// \returns whether another upstream can be asked for the events that follow
  /// the returned ones.
  [[nodiscard]] bool resumable() const { return Resumable; }
  /// \returns the bytes of the incomplete last event.
  [[nodiscard]] const std::string &incompleteEvent() const { return Partial; }
  /// \returns the number of events returned so far, without comments.
  [[nodiscard]] std::int64_t events() const { return Events; }
  /// \returns the id of the last returned event that had one; empty if none
  /// had.
  [[nodiscard]] const std::string &lastId() const { return LastIdText; }

private:
  [[nodiscard]] bool acceptEvent(std::string_view Event);
  [[nodiscard]] bool acceptNumber(std::int64_t Number);
  /// Records the step from the upstream's event before to this one.
  void recordStep(std::int64_t Number);

  std::string Partial;
  EventSearch Search;
  std::int64_t Events = 0;
  std::optional<std::int64_t> LastNumber;
  std::string LastIdText;
  /// Number of the last event of the present upstream, returned or not.
  std::optional<std::int64_t> UpstreamNumber;
  /// Smallest difference of two consecutive numbers of one upstream.
  std::optional<std::int64_t> Step;
  bool AtStart = true;
  bool Joining = false;
  bool Resumable = true;
  bool Faulty = false;
};

} // namespace bronzeward
