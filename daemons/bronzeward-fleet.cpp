/// \file
/// The router instance that reads its routes, upstreams and workspaces from the
/// platform that its callers use.

#include "daemons/InstanceProcess.h"
#include "daemons/ProcessMemory.h"
#include "daemons/ProcessReport.h"
#include "daemons/ProcessSignals.h"
#include "daemons/SettingsFile.h"
#include "platform/PlatformCallCodec.h"
#include "platform/PlatformDeploymentCodec.h"
#include "platform/PlatformStoreCodec.h"
#include "platform/PlatformTerms.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(
    settings, "",
    "file of flags, one per line; they override those of the command line");
DEFINE_bool(shared_loop, true,
            "run all components except peers and the log in one thread");
DEFINE_string(peer_seeds, "",
              "peers' addresses, ip:port, comma-separated; contacted while the "
              "store does not answer");
DEFINE_int32(peer_port, 0,
             "peers' port at the seeds; the port in --peer_seeds if 0");
DEFINE_double(
    retry_ratio, 0.1,
    "maximum number of retries of all instances per call, in any window");
DEFINE_double(retry_extra, 10.0,
              "additional retries of all instances in any window");
DEFINE_int32(retry_window_ms, 10000, "length of the window for retries");
DEFINE_int32(
    outage_ms, 9000,
    "length of a store outage that available budget should cover while "
    "enough budget remains");
DEFINE_double(joint_loss_part, 0.35,
              "maximum fraction of a workspace's remaining budget that all "
              "instances together may hold");
DEFINE_int32(grant_custodians, 4,
             "number of instances that hold a workspace's grants for a large "
             "fleet if its budget is worth few requests at each instance; 0 if "
             "every instance holds grants of its own");
DEFINE_string(contracts, "",
              "names of the parts of the platform's rules that are in force, "
              "comma-separated; \"pressure\" places calls by the memory that "
              "services state for their upstreams");
DEFINE_int32(watch_wait_ms, 1500,
             "maximum wait of one watch; a connection without data fails after "
             "it plus the store's timeout");
DEFINE_int32(
    unready_notice_ms, 2600,
    "time that the load balancer has to notice that this instance stops");

namespace bronzeward {

static Result<void> checkFleetNumbers() {
  BOOST_OUTCOME_TRY(requireRange("peer_port", FLAGS_peer_port, 0, 65535));
  BOOST_OUTCOME_TRY(
      requireRange("retry_window_ms", FLAGS_retry_window_ms, 100, 600'000));
  BOOST_OUTCOME_TRY(requireRange("outage_ms", FLAGS_outage_ms, 100, 600'000));
  if (!(FLAGS_joint_loss_part > 0.0 && FLAGS_joint_loss_part <= 1.0))
    return fail(ErrorKind::InvalidArgument, "check flag", "joint_loss_part",
                "is not above 0 and at most 1");
  BOOST_OUTCOME_TRY(
      requireRange("grant_custodians", FLAGS_grant_custodians, 0, 64));
  BOOST_OUTCOME_TRY(
      requireRange("watch_wait_ms", FLAGS_watch_wait_ms, 100, 30'000));
  return requireRange("unready_notice_ms", FLAGS_unready_notice_ms, 0, 60'000);
}

static Result<std::vector<std::string>> readSeeds() {
  std::vector<std::string> Seeds;
  if (FLAGS_peer_seeds.empty())
    return Seeds;
  boost::algorithm::split(Seeds, FLAGS_peer_seeds, boost::is_any_of(","));
  for (std::string &Seed : Seeds) {
    BOOST_OUTCOME_TRY(SocketAddress Address, parseAddress("peer_seeds", Seed));
    if (FLAGS_peer_port != 0)
      Seed = Address.Host + ":" + std::to_string(FLAGS_peer_port);
  }
  return Seeds;
}

/// \returns a policy whose grants cover an outage of the store but leave no
/// more of a budget unusable at lost instances than --joint_loss_part allows.
/// For the values see docs/BUDGETS.md.
static BudgetPolicy fleetBudgets() {
  BudgetPolicy Policy;
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = std::chrono::milliseconds(FLAGS_outage_ms);
  Policy.MaxGrantedFraction = FLAGS_joint_loss_part;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.ReturnMultiple = 1.2;
  Policy.MinDrawDivisor = 18;
  Policy.DrawAhead = true;
  Policy.Lending = true;
  Policy.Custodians = static_cast<std::size_t>(FLAGS_grant_custodians);
  Policy.AwaitMembers = true;
  Policy.CommitterTimeout = 2500ms;
  Policy.BudgetWait = 250ms;
  Policy.MaxHeadBills = 128;
  Policy.Carriers = 0;
  // Answers are sent before their bills are durable, so a holder that vanished
  // may have spent what it has not billed.
  Policy.ReclaimAfter = 24h;
  return Policy;
}

static Result<FleetPolicy> readFleetPolicy() {
  BOOST_OUTCOME_TRY(checkFleetNumbers());
  FleetPolicy Policy;
  Policy.Budget = fleetBudgets();
  Policy.Retries.Ratio = FLAGS_retry_ratio;
  Policy.Retries.Extra = FLAGS_retry_extra;
  Policy.Retries.Window = std::chrono::milliseconds(FLAGS_retry_window_ms);
  Policy.PlaceByMemory = platform::parseTerms(FLAGS_contracts).MemoryPressure;
  Policy.WatchWait = std::chrono::milliseconds(FLAGS_watch_wait_ms);
  Policy.UnreadyNotice = std::chrono::milliseconds(FLAGS_unready_notice_ms);
  BOOST_OUTCOME_TRY(Policy.PeerSeeds, readSeeds());
  return Policy;
}

static Result<void> readSettingsFile() {
  BOOST_OUTCOME_TRY(applyEnvironment("bronzeward-fleet.cpp"));
  if (FLAGS_settings.empty())
    return boost::outcome_v2::success();
  return applySettingsFile(FLAGS_settings, "bronzeward-fleet");
}

static void reload(StructuredLog &Log) {
  const Result<void> Read = readSettingsFile();
  Log.onEvent("reload", Read ? "settings read again; addresses and policies "
                               "take effect at the next start"
                             : describe(Read.error()));
}

/// \returns an error if the settings of the file and the environment are not
/// all valid.
static Result<void> checkSettings() {
  BOOST_OUTCOME_TRY(readSettingsFile());
  BOOST_OUTCOME_TRY(readInstanceSettings());
  BOOST_OUTCOME_TRY(readFleetPolicy());
  return boost::outcome_v2::success();
}

static int reportFailure(const Error &Failure) {
  std::cerr << "bronzeward-fleet: " << describe(Failure) << "\n";
  return SettingsExitCode;
}

static int runFleetInstance() {
  const Result<void> Checked =
      FLAGS_settings.empty() && std::getenv("BRONZEWARD_SETTINGS") == nullptr
          ? checkSettings()
          : readUntilValid(checkSettings);
  if (!Checked)
    return stopSignalHeld() ? 0 : reportFailure(Checked.error());
  Result<InstanceSettings> Settings = readInstanceSettings();
  if (!Settings)
    return reportFailure(Settings.error());
  const Result<FleetPolicy> Policy = readFleetPolicy();
  if (!Policy)
    return reportFailure(Policy.error());
  FleetPolicy Stopping = Policy.value();
  Stopping.StopLimit = Settings.value().DrainTimeout;
  // A fifth of the memory; two fifths are for callers.
  Stopping.MaxBufferedBytes = Settings.value().Limits.MaxHeldBytes / 2;
  Settings.value().SharedLoop = FLAGS_shared_loop;
  const RouterIdentity Identity = Settings.value().Identity;
  const platform::PlatformStoreCodec Store;
  const platform::PlatformDeploymentCodec Deployment;
  const platform::PlatformCallCodec Calls;
  InstanceProcess Process(
      std::move(Settings).value(), Store,
      [&](RouterDependencies Parts) {
        return std::make_unique<FleetCore>(Identity, Stopping, Parts,
                                           FleetCodecs{Deployment, Calls});
      },
      reload);
  return Process.run();
}

} // namespace bronzeward

int main(int Argc, char **Argv) {
  bronzeward::holdSignals();
  bronzeward::boundMemory();
  bronzeward::reportTermination();
  gflags::SetUsageMessage(
      "routes calls of a fleet that is configured through the platform");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::runFleetInstance();
}
