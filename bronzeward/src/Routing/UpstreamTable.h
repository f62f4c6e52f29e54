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

/// \brief What an upstream said of its load.
struct LoadReport {
  std::int64_t Running = 0;
  std::int64_t Queued = 0;
  /// When the upstream measured it, on this instance's clock.
  TimePoint Measured;
};

/// \brief Prompt tokens expected at a dispatch.
struct DispatchEstimate {
  /// Tokens of this prompt that are not cached.
  std::int64_t Fresh = 0;
  /// Tokens of other prompts to be computed before.
  std::int64_t Ahead = 0;
};

/// \brief One upstream's state as this instance knows it.
struct UpstreamState {
  UpstreamSpec Spec;
  std::int64_t Outstanding = 0;
  /// Outstanding requests whose content is a suspect.
  std::int64_t Suspects = 0;
  std::optional<LoadReport> Report;
  /// Own dispatches and completions, newest last, to correct the report.
  std::deque<TimePoint> Dispatches;
  std::deque<TimePoint> Completions;
  Duration ServiceTime{};
  Duration PrefillTokenTime{};
  /// Prompt tokens of this instance's requests that are not answered yet and
  /// were probably not cached.
  std::int64_t PendingPrefill = 0;
  int ConsecutiveFailures = 0;
  TimePoint EjectedUntil;
  bool Leaving = false;
  PrefixIndex Prefixes{0};
};

/// \brief Every upstream of the configuration and its state.
class UpstreamTable {
public:
  /// \param Home failure domain of this instance.
  explicit UpstreamTable(FailureDomain Home) : Domain(std::move(Home)) {}

  /// \brief Takes over a configuration; state of unchanged upstreams stays.
  void configure(const Configuration &Text);

  /// \brief Notes a request sent to an upstream.
  /// \param PromptTokens estimate of the prompt's length.
  /// \returns what was expected of it, for onFirstToken.
  DispatchEstimate onDispatched(const UpstreamName &Name,
                                const PrefixBlocks &Blocks,
                                std::int64_t PromptTokens, bool Suspect,
                                TimePoint Now);
  /// \brief Notes that an answer began, so that its prompt is computed.
  /// \param Waited time from dispatch to the first byte.
  void onFirstToken(const UpstreamName &Name, const DispatchEstimate &Expected,
                    Duration Waited);
  /// \brief Notes that an attempt ended before its answer began.
  void onNoAnswer(const UpstreamName &Name, const DispatchEstimate &Expected);
  /// \param Served time from dispatch to the end of the answer.
  void onCompleted(const UpstreamName &Name, bool Suspect, Duration Served,
                   TimePoint Now);
  /// \brief Notes a failed attempt; several in a row eject the upstream.
  void onFailed(const UpstreamName &Name, bool Suspect, TimePoint Now);
  void onReport(const UpstreamName &Name, const LoadReport &Report);
  /// \brief Notes the first sign that an upstream leaves, or its return.
  void onLeaving(const UpstreamName &Name, bool Leaving);

  /// \returns upstreams of a service that may take a request now.
  /// \param Avoid upstreams tried before.
  /// \param Suspect whether the request must not meet another suspect.
  [[nodiscard]] std::vector<Candidate>
  candidates(const ServiceSpec &Service, const PrefixBlocks &Blocks,
             const std::vector<UpstreamName> &Avoid, bool Suspect,
             TimePoint Now) const;
  /// \returns a few upstreams of a service that may take a request now: some
  /// drawn at random, the prefix's homes, and those that probably have it
  /// cached. Its cost hardly grows with the number of upstreams.
  [[nodiscard]] std::vector<Candidate>
  sample(const ServiceSpec &Service, const PrefixBlocks &Blocks,
         const std::vector<UpstreamName> &Avoid, bool Suspect, Random &Source,
         TimePoint Now) const;
  /// \returns whether any upstream of the service takes new work.
  [[nodiscard]] bool available(const ServiceName &Service, TimePoint Now) const;
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

  /// \returns the estimated load now. A report counts for less the older it
  /// is; the mean over the service's upstreams takes its place.
  [[nodiscard]] double load(const UpstreamState &State, TimePoint Now) const;
  /// \param Load estimated load of the upstream.
  [[nodiscard]] static std::int64_t prefillAhead(const UpstreamState &State,
                                                 double Load);
  [[nodiscard]] static bool takesWork(const UpstreamState &State,
                                      const std::vector<UpstreamName> &Avoid,
                                      bool Suspect, TimePoint Now);
  [[nodiscard]] Candidate describe(const UpstreamState &State,
                                   const ServiceSpec &Service,
                                   const PrefixBlocks &Blocks,
                                   TimePoint Now) const;
  UpstreamState *state(const UpstreamName &Name);
  void finishOne(UpstreamState &State, bool Suspect, TimePoint Now);

  FailureDomain Domain;
  std::map<UpstreamName, UpstreamState> States;
  std::map<ServiceName, std::vector<UpstreamName>> ByService;
  std::map<ServiceName, HomeRing> Homes;
  std::map<ServiceName, ReportedLoads> Reported;
  PrefixDirectory Directory;
};

/// @}

} // namespace bronzeward
