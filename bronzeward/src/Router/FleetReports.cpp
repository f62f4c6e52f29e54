#include "bronzeward/src/Router/FleetReports.h"

#include <chrono>
#include <string>

namespace bronzeward {

/// Workspaces that are named in one log line about lost grants.
constexpr std::size_t MaxLostGrantsNamed = 16;

void logStoreCalls(const StoreCounters &Counters, DecisionLog &Log) {
  Log.onEvent("store-calls",
              "reads " + std::to_string(Counters.Reads) + " lists " +
                  std::to_string(Counters.Lists) + " watches " +
                  std::to_string(Counters.Watches) + " writes " +
                  std::to_string(Counters.Writes) + " leases " +
                  std::to_string(Counters.Leases) + " renewals " +
                  std::to_string(Counters.Renewals) + " failures " +
                  std::to_string(Counters.Failures) + " timeouts " +
                  std::to_string(Counters.Timeouts) + " lost replies " +
                  std::to_string(Counters.RepliesLost) + " since the start");
}

void logConfigurationTexts(const ConfigurationTextCounters &Texts,
                           DecisionLog &Log) {
  Log.onEvent("peer-configurations",
              "sent " + std::to_string(Texts.Sent) + " received " +
                  std::to_string(Texts.Received) + " known " +
                  std::to_string(Texts.Known) + " since the start");
}

void logBudgets(const BudgetAgent &Budgets, DecisionLog &Log, TimePoint Now) {
  const LoanCounters &Loans = Budgets.loanCounters();
  const auto OldestMs = std::chrono::duration_cast<std::chrono::milliseconds>(
      Budgets.oldestOperationAge(Now));
  Log.onEvent("budgets",
              "free " + std::to_string(Budgets.free().micros()) +
                  " pending operations " +
                  std::to_string(Budgets.pendingOperations()) + " oldest " +
                  std::to_string(OldestMs.count()) + " ms, loans requested " +
                  std::to_string(Loans.Requested) + " received " +
                  std::to_string(Loans.Received) + " granted " +
                  std::to_string(Loans.Granted) + " since the start");
  const CommitCounters Commits = Budgets.commitCounters();
  if (Commits.Commits + Commits.GivenUp > 0)
    Log.onEvent("commits",
                std::to_string(Commits.Commits) + " of " +
                    std::to_string(Commits.Operations) + " operations in " +
                    std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            Commits.Busy)
                            .count()) +
                    " ms, repeated " + std::to_string(Commits.Repeated) +
                    ", operations given up " + std::to_string(Commits.GivenUp) +
                    ", waiting " + std::to_string(Budgets.waitingCommits()));
  std::string Lost;
  std::size_t Named = 0;
  for (const auto &[Workspace, Sum] : Budgets.lostGrants())
    if (++Named <= MaxLostGrantsNamed)
      Lost += " " + Workspace.Value + " " + std::to_string(Sum.micros());
  if (Named > 0)
    Log.onEvent("grants-lost", std::to_string(Named) + " workspaces:" + Lost);
}

} // namespace bronzeward
