#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Routing/ChoicePolicy.h"
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

  void onDispatched(const UpstreamName &Name, const PrefixBlocks &Blocks,
                    bool Suspect, TimePoint Now);
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
  /// drawn at random, and those that probably have the prompt's prefix. Costs
  /// the same however many upstreams there are.
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
  [[nodiscard]] double load(const UpstreamState &State) const;
  [[nodiscard]] static bool takesWork(const UpstreamState &State,
                                      const std::vector<UpstreamName> &Avoid,
                                      bool Suspect, TimePoint Now);
  [[nodiscard]] Candidate describe(const UpstreamState &State,
                                   const ServiceSpec &Service,
                                   const PrefixBlocks &Blocks) const;
  UpstreamState *state(const UpstreamName &Name);
  void finishOne(UpstreamState &State, bool Suspect, TimePoint Now);

  FailureDomain Domain;
  std::map<UpstreamName, UpstreamState> States;
  std::map<ServiceName, std::vector<UpstreamName>> ByService;
  PrefixDirectory Directory;
};

/// @}

} // namespace bronzeward
