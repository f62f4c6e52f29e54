/// \file
/// The router instance that serves a configuration written by its operators.

#include "daemons/InstanceProcess.h"
#include "daemons/ProcessMemory.h"
#include "daemons/ProcessReport.h"
#include "daemons/ProcessSignals.h"

#include <gflags/gflags.h>

#include <iostream>

int main(int Argc, char **Argv) {
  using namespace bronzeward;
  holdSignals();
  boundMemory();
  reportTermination();
  gflags::SetUsageMessage("routes callers' requests against prepaid budgets");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const Result<InstanceSettings> Settings = readInstanceSettings();
  if (!Settings) {
    std::cerr << "bronzeward: " << describe(Settings.error()) << "\n";
    return SettingsExitCode;
  }
  const RouterIdentity Identity = Settings.value().Identity;
  const EtcdCodec Codec;
  InstanceProcess Process(
      Settings.value(), Codec,
      [Identity](RouterDependencies Parts) {
        return std::make_unique<RouterCore>(Identity, Parts);
      },
      [](StructuredLog &Log) {
        Log.onEvent("reload", "flags are read only at the start");
      });
  return Process.run();
}
