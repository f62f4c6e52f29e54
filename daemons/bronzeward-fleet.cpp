/// \file
/// The router instance whose routes, upstreams and workspaces come from the
/// users' platform.

#include "daemons/InstanceProcess.h"
#include "platform/CallForm.h"
#include "platform/DeploymentForm.h"
#include "platform/StoreForm.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_string(settings, "",
              "file of flags, one a line; read before the command line's");
DEFINE_bool(shared_loop, true,
            "run every duty but peers and the log in one thread");
DEFINE_string(peer_seeds, "",
              "peers' addresses, ip:port, comma-separated; asked while the "
              "store does not answer");
DEFINE_int32(peer_port, 0,
             "peers' port at the seeds, where their own port is not for peers");
DEFINE_double(retry_ratio, 0.1,
              "repeats of all instances for each call, in any window");
DEFINE_double(retry_extra, 10.0, "repeats of all instances beyond that");
DEFINE_int32(retry_window_ms, 10000, "length of that window");
DEFINE_int32(outage_ms, 9000,
             "store outage that budget in hand bridges while there is plenty");
DEFINE_double(joint_loss_part, 0.35,
              "most of a workspace's remaining budget that is in hand at all "
              "instances together");
DEFINE_int32(watch_wait_ms, 1500,
             "longest wait of one watch; a silent connection is noticed after "
             "it and the store's timeout");
DEFINE_int32(unready_notice_ms, 2600,
             "time that the balancer has to notice a stop");

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
      requireRange("watch_wait_ms", FLAGS_watch_wait_ms, 100, 30'000));
  return requireRange("unready_notice_ms", FLAGS_unready_notice_ms, 0, 60'000);
}

static Result<std::vector<std::string>> readSeeds() {
  std::vector<std::string> Seeds;
  if (FLAGS_peer_seeds.empty())
    return Seeds;
  boost::algorithm::split(Seeds, FLAGS_peer_seeds, boost::is_any_of(","));
  for (std::string &Seed : Seeds) {
    BOOST_OUTCOME_TRY(SocketAddress Place, parseAddress("peer_seeds", Seed));
    if (FLAGS_peer_port != 0)
      Seed = Place.Host + ":" + std::to_string(FLAGS_peer_port);
  }
  return Seeds;
}

/// \returns how grants cover an outage of the store without stranding more of
/// a budget than that; docs/BUDGETS.md weighs the figures.
static BudgetPolicy fleetBudgets() {
  BudgetPolicy Policy;
  Policy.CommitInterval = 400ms;
  Policy.GrantHorizon = std::chrono::milliseconds(FLAGS_outage_ms);
  Policy.JointLossPart = FLAGS_joint_loss_part;
  Policy.RateWindow = 6s;
  Policy.SpendingMargin = 1.0;
  Policy.ReserveWholeRequests = true;
  Policy.RefillMultiple = 1.1;
  Policy.ReturnMultiple = 1.2;
  Policy.LeastDrawShares = 18;
  Policy.DrawAhead = true;
  Policy.Lending = true;
  Policy.AwaitMembers = true;
  Policy.CommitterTimeout = 2500ms;
  Policy.BudgetWait = 250ms;
  Policy.MaxHeadBills = 128;
  Policy.Carriers = 0;
  // Answers are out before their bills are durable, so what a vanished holder
  // has not billed may be spent.
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
  Policy.WatchWait = std::chrono::milliseconds(FLAGS_watch_wait_ms);
  Policy.UnreadyNotice = std::chrono::milliseconds(FLAGS_unready_notice_ms);
  BOOST_OUTCOME_TRY(Policy.PeerSeeds, readSeeds());
  return Policy;
}

static Result<void> readSettingsFile() {
  BOOST_OUTCOME_TRY(applyEnvironment("bronzeward-fleet.cpp"));
  if (FLAGS_settings.empty())
    return boost::outcome_v2::success();
  if (!std::filesystem::is_regular_file(FLAGS_settings))
    return fail(ErrorKind::NotFound, "read settings", FLAGS_settings,
                "is not a file");
  if (!gflags::ReadFromFlagsFile(FLAGS_settings, "bronzeward-fleet", false))
    return fail(ErrorKind::InvalidData, "read settings", FLAGS_settings,
                "holds an unknown flag or a value that is not allowed");
  return boost::outcome_v2::success();
}

static void reload(StructuredLog &Log) {
  const Result<void> Read = readSettingsFile();
  Log.onEvent("reload", Read ? "settings read again; addresses and policies "
                               "hold from the next start"
                             : describe(Read.error()));
}

static int complain(const Error &Failure) {
  std::cerr << "bronzeward-fleet: " << describe(Failure) << "\n";
  return SettingsExitCode;
}

static int runFleetInstance() {
  const Result<void> File = readSettingsFile();
  if (!File)
    return complain(File.error());
  Result<InstanceSettings> Settings = readInstanceSettings();
  if (!Settings)
    return complain(Settings.error());
  const Result<FleetPolicy> Policy = readFleetPolicy();
  if (!Policy)
    return complain(Policy.error());
  Settings.value().SharedLoop = FLAGS_shared_loop;
  const RouterIdentity Identity = Settings.value().Identity;
  const platform::StoreForm Store;
  const platform::DeploymentForm Deployment;
  const platform::CallForm Calls;
  InstanceProcess Process(
      std::move(Settings).value(), Store,
      [&](RouterSurroundings Parts) {
        return std::make_unique<FleetCore>(Identity, Policy.value(), Parts,
                                           FleetCodecs{Deployment, Calls});
      },
      reload);
  return Process.run();
}

} // namespace bronzeward

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "routes calls of a fleet whose configuration the platform holds");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::runFleetInstance();
}
