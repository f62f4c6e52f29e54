/// \file
/// The router instance whose configuration is the operators' text.

#include "daemons/InstanceProcess.h"

#include <gflags/gflags.h>

#include <iostream>

int main(int Argc, char **Argv) {
  using namespace bronzeward;
  gflags::SetUsageMessage("routes callers' requests against prepaid budgets");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const Result<InstanceSettings> Settings = readInstanceSettings();
  if (!Settings) {
    std::cerr << "bronzeward: " << describe(Settings.error()) << "\n";
    return SettingsExitCode;
  }
  const RouterIdentity Identity = Settings.value().Identity;
  const EtcdCodec Form;
  InstanceProcess Process(
      Settings.value(), Form,
      [Identity](RouterSurroundings Parts) {
        return std::make_unique<RouterCore>(Identity, Parts);
      },
      [](StructuredLog &Log) {
        Log.onEvent("reload", "flags are read at the start only");
      });
  return Process.run();
}
