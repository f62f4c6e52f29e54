#pragma once

#include "bronzeward/src/Budget/Membership.h"
#include "bronzeward/src/Relay/CrashEvidence.h"
#include "bronzeward/src/Relay/PartQuarantine.h"
#include "bronzeward/src/Request/Messages.h"

#include <vector>

namespace bronzeward {

/// \addtogroup Relay
/// @{

/// \brief Is told when there is news about crash suspects for the peers.
class PartNewsListener {
public:
  virtual ~PartNewsListener() = default;
  virtual void onPartNewsLearned(TimePoint Now) = 0;
};

/// \brief Attributes crashes of upstreams to the calls that they interrupted,
/// quarantines suspects, and logs the evidence.
///
/// Lines about single contents are limited in number, as an outage of upstreams
/// interrupts many.
class CrashTracker {
public:
  CrashTracker(DecisionLog &Sink, const Membership &Fleet)
      : Log(Sink), Members(Fleet) {}

  void setInstance(InstanceId Own) { Instance = std::move(Own); }
  /// \brief Sets who is told about news for the peers.
  void notify(PartNewsListener &Listener) { NewsListener = &Listener; }

  /// \returns whether a call must not be sent because of a quarantine, of which
  /// it is no trial either.
  [[nodiscard]] bool holdsBack(const std::vector<PartId> &Suspects,
                               TimePoint Now);
  /// \returns whether a call that was interrupted must not be repeated.
  [[nodiscard]] bool forbidsRetry(const std::vector<PartId> &Suspects,
                                  TimePoint Now) const;
  /// \brief Records that a call is sent to an upstream.
  void onSent(const RequestId &Caller, const std::vector<PartId> &Suspects,
              const UpstreamName &Upstream, TimePoint Now);
  /// \brief Records that the answer to a call was interrupted.
  void onInterrupted(const InterruptedCall &Call, TimePoint Now);
  /// \brief Records that a call ended while its upstream had sent nothing.
  void onSilent(const InterruptedCall &Call, TimePoint Now) {
    Evidence.onSilent(Call, Now);
  }
  /// \brief Records that an upstream sent something.
  void onHeard(const UpstreamName &Upstream) { Evidence.onHeard(Upstream); }
  /// \returns the upstreams whose end would be a crash, though no connection
  /// to them is refused.
  [[nodiscard]] std::vector<UpstreamName> silentUpstreams() const {
    return Evidence.silentUpstreams();
  }
  /// \brief Records that the registry entry of a silent upstream vanished, or
  /// that another answers at its address, though the upstream had not announced
  /// that it leaves.
  /// \param Sign how it is known, for the log.
  void onVanished(const UpstreamName &Upstream, const std::string &Sign,
                  TimePoint Now);
  /// \brief Records that an upstream ended.
  /// \param Sign how it is known, for the log.
  void onDown(const UpstreamName &Upstream, const std::string &Sign,
              TimePoint Now);
  /// \returns whether to test if an upstream accepts connections, see
  /// \ref CrashEvidence::beginProbe.
  [[nodiscard]] bool beginProbe(const UpstreamName &Upstream, TimePoint Now) {
    return Evidence.beginProbe(Upstream, Now);
  }
  /// \brief Records that an upstream answered completely on these suspects.
  void onAnswered(const std::vector<PartId> &Suspects, TimePoint Now);
  /// \brief Applies what a peer learned.
  void onNews(const PartNews &News, const InstanceId &From, TimePoint Now);
  /// \brief Quarantines suspects; called periodically.
  /// \returns the number of new quarantines.
  std::size_t review(TimePoint Now);

  PartQuarantine &parts() { return Parts; }
  [[nodiscard]] const PartQuarantine &parts() const { return Parts; }

private:
  /// \returns whether this instance may begin a trial in a turn.
  [[nodiscard]] bool triesInTurn(PartId Suspect, std::uint64_t Turn) const;
  void recordCrashes(const std::vector<InterruptedCall> &Calls,
                     const std::string &Sign, TimePoint Now);
  void logFindings(const std::vector<CrashFinding> &Findings,
                   const std::string &Source, TimePoint Now);
  void logUnproven(TimePoint Now);
  /// Logs a line about a single suspect, unless there were too many.
  void logLimited(const std::string &Event, const std::string &Detail,
                  TimePoint Now);
  /// Tells the listener if there is news about crash suspects.
  void announceNews(TimePoint Now);

  DecisionLog &Log;
  const Membership &Members;
  InstanceId Instance;
  PartNewsListener *NewsListener = nullptr;
  PartQuarantine Parts;
  CrashEvidence Evidence;
  /// Start of the current log period, and the limited lines in it.
  TimePoint LogPeriodBegan;
  std::size_t LinesInPeriod = 0;
};

/// @}

} // namespace bronzeward
