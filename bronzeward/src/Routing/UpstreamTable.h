#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Routing/ChoicePolicy.h"
#include "bronzeward/src/Routing/HomeRing.h"
#include "bronzeward/src/Routing/PrefixDirectory.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeward {

/// \addtogroup Routing
/// @{

/// \brief Load as reported by an upstream.
struct LoadReport {
  std::int64_t Running = 0;
  std::int64_t Queued = 0;
  /// Time of the measurement, on this instance's clock.
  TimePoint Measured;
};

/// \brief Prompt tokens that an upstream was expected to compute before it
/// answers, as estimated at dispatch.
struct DispatchEstimate {
  /// Uncached tokens of this prompt.
  std::int64_t Fresh = 0;
  /// Tokens of the prompts queued before it.
  std::int64_t Ahead = 0;
};

/// \brief State of one upstream as known to this instance.
struct UpstreamState {
  UpstreamSpec Spec;
  /// Requests of this instance in flight there.
  std::int64_t Outstanding = 0;
  /// Outstanding requests whose content is a suspect.
  std::int64_t Suspects = 0;
  std::optional<LoadReport> Report;
  /// Times of this instance's dispatches and completions since the report,
  /// newest last; they correct the reported load.
  std::deque<TimePoint> Dispatches;
  std::deque<TimePoint> Completions;
  /// Moving average of the time from dispatch to the end of the answer.
  Duration ServiceTime{};
  /// Moving average of the time to compute one prompt token.
  Duration PrefillTokenTime{};
  /// Prompt tokens that were probably not cached, of this instance's requests
  /// whose answer has not begun.
  std::int64_t PendingPrefill = 0;
  int ConsecutiveFailures = 0;
  /// Gets no requests until then.
  TimePoint EjectedUntil;
  /// Whether the upstream announced that it is shutting down.
  bool Leaving = false;
  PrefixIndex Prefixes{0};
};

/// \brief All upstreams of the configuration with their state.
class UpstreamTable {
public:
  /// \param OwnDomain failure domain of this instance.
  explicit UpstreamTable(FailureDomain OwnDomain)
      : Domain(std::move(OwnDomain)) {}

  /// \brief Applies a configuration. Upstreams with an unchanged address keep
  /// their state.
  void configure(const Configuration &Accepted);

  /// \brief Records a request sent to an upstream.
  /// \param PromptTokens estimated length of the prompt.
  /// \param Suspect whether the request's content may crash upstreams.
  /// \returns the estimate to pass to \ref onFirstToken or \ref onNoAnswer.
  DispatchEstimate onDispatched(const UpstreamName &Name,
                                const PrefixBlocks &Blocks,
                                std::int64_t PromptTokens, bool Suspect,
                                TimePoint Now);
  /// \brief Records that an answer began, which means that its prompt has been
  /// computed. Updates the measured prefill speed.
  /// \param Waited time from dispatch to the first byte.
  void onFirstToken(const UpstreamName &Name, const DispatchEstimate &Expected,
                    Duration Waited);
  /// \brief Records that an attempt ended before its answer began.
  void onNoAnswer(const UpstreamName &Name, const DispatchEstimate &Expected);
  /// \brief Records a completed attempt.
  /// \param Served time from dispatch to the end of the answer.
  void onCompleted(const UpstreamName &Name, bool Suspect, Duration Served,
                   TimePoint Now);
  /// \brief Records a failed attempt. Several in a row eject the upstream.
  void onFailed(const UpstreamName &Name, bool Suspect, TimePoint Now);
  /// \brief Updates the reported load, unless a newer report is known.
  void onReport(const UpstreamName &Name, const LoadReport &Report);
  /// \brief Records whether an upstream is shutting down.
  void onLeaving(const UpstreamName &Name, bool Leaving);

  /// \param Excluded upstreams that were tried before.
  /// \param Suspect whether upstreams with a suspect in flight are excluded.
  /// \returns all upstreams of a service that are eligible for a request.
  [[nodiscard]] std::vector<Candidate>
  candidates(const ServiceSpec &Service, const PrefixBlocks &Blocks,
             const std::vector<UpstreamName> &Excluded, bool Suspect,
             TimePoint Now) const;
  /// \returns a sample of the eligible upstreams of a service: the prefix's
  /// preferred upstreams, those that probably have it cached, and some drawn at
  /// random. If none of these is eligible, all eligible upstreams. The cost
  /// hardly grows with the number of upstreams.
  [[nodiscard]] std::vector<Candidate>
  sample(const ServiceSpec &Service, const PrefixBlocks &Blocks,
         const std::vector<UpstreamName> &Excluded, bool Suspect,
         Random &Source, TimePoint Now) const;
  /// \returns whether any upstream of the service accepts new requests.
  [[nodiscard]] bool available(const ServiceName &Service, TimePoint Now) const;
  /// \returns null if the configuration has no such upstream.
  [[nodiscard]] const UpstreamState *find(const UpstreamName &Name) const;
  [[nodiscard]] const std::map<UpstreamName, UpstreamState> &all() const {
    return States;
  }

private:
  /// Sum of the reported loads of a service's upstreams.
  struct ReportedLoads {
    double Sum = 0.0;
    double Count = 0.0;
  };

  /// \returns the estimated number of requests at an upstream. The weight of
  /// its report decays with age towards the mean over the service's upstreams.
  [[nodiscard]] double load(const UpstreamState &State, TimePoint Now) const;
  /// \param Load estimated load of the upstream.
  /// \returns the estimated prompt tokens queued there, of all instances.
  [[nodiscard]] static std::int64_t prefillAhead(const UpstreamState &State,
                                                 double Load);
  [[nodiscard]] static bool
  isEligible(const UpstreamState &State,
             const std::vector<UpstreamName> &Excluded, bool Suspect,
             TimePoint Now);
  [[nodiscard]] Candidate makeCandidate(const UpstreamState &State,
                                        const ServiceSpec &Service,
                                        const PrefixBlocks &Blocks,
                                        TimePoint Now) const;
  UpstreamState *findState(const UpstreamName &Name);
  void recordAttemptEnd(UpstreamState &State, bool Suspect, TimePoint Now);

  FailureDomain Domain;
  std::map<UpstreamName, UpstreamState> States;
  std::map<ServiceName, std::vector<UpstreamName>> ByService;
  std::map<ServiceName, HomeRing> Rings;
  std::map<ServiceName, ReportedLoads> LoadsByService;
  PrefixDirectory Directory;
};

/// @}

} // namespace bronzeward
