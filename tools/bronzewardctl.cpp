/// \file
/// The operators' command line.

#include "platform/PlatformStoreCodec.h"
#include "tools/Commands.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iostream>

DEFINE_string(store, "127.0.0.1:2379", "the platform's store, ip:port");
DEFINE_string(store_form, "etcd",
              "\"etcd\", or \"platform\" for the users' key-value calls");
DEFINE_string(output, "text", "\"text\" or \"json\"");
DEFINE_string(operator_name, "operator", "who applies a text, for history");
DEFINE_string(operation, "", "id of a top-up; the same id is applied once");
DEFINE_int64(expect_version, -1,
             "apply: version that must be in force; show: version to show");
DEFINE_bool(verify, false, "account: recompute everything from the bills");

namespace bronzeward::tools {

int report(const Error &Failure) {
  std::cerr << "bronzewardctl: " << describe(Failure) << "\n";
  switch (Failure.Kind) {
  case ErrorKind::Unavailable:
    return Away;
  case ErrorKind::NotFound:
    return NotFound;
  case ErrorKind::InvalidArgument:
    return Usage;
  default:
    return Refused;
  }
}

/// \brief One subcommand.
struct Command {
  const char *Name;
  int (*Run)(CommandContext &);
  const char *Help;
};

constexpr std::array<Command, 10> Commands{{
    {"check", runCheck, "check FILE: report every fault of a text"},
    {"apply", runApply, "apply FILE [--expect_version=N]: put it in force"},
    {"show", runShow, "show [--expect_version=N]: print a text"},
    {"history", runHistory, "history: list accepted versions"},
    {"topup", runTopUp, "topup WORKSPACE MICROS --operation=ID: add budget"},
    {"account", runAccount, "account [WORKSPACE] [--verify]: show budgets"},
    {"request", runRequest, "request ID-OR-KEY: show a request's bill"},
    {"status", runStatus, "status OPERATOR-ADDRESS...: show instances"},
    {"drain", runDrain, "drain OPERATOR-ADDRESS: begin a graceful stop"},
    {"lift", runLift, "lift OPERATOR-ADDRESS CONTENT: end a quarantine"},
}};

static std::string usage() {
  std::string Text = "operates a bronzeward fleet\n\ncommands:\n";
  for (const Command &Item : Commands)
    Text += std::string("  ") + Item.Help + "\n";
  Text += "\nexit codes: 0 done, 1 refused, 2 wrong use, 3 conflict, 4 store "
          "or instance away, 5 not found\n";
  return Text;
}

static int runCommand(const std::vector<std::string> &Words) {
  const Result<void> Environment = applyEnvironment("bronzewardctl.cpp");
  if (!Environment)
    return report(Environment.error());
  const Result<SocketAddress> Store = parseAddress("store", FLAGS_store);
  if (!Store)
    return report(Store.error());
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    std::cerr << "--output: value \"" << FLAGS_output
              << "\" is not allowed; allowed is text or json\n";
    return Usage;
  }
  const auto Found =
      std::find_if(Commands.begin(), Commands.end(), [&](const Command &Item) {
        return !Words.empty() && Words.front() == Item.Name;
      });
  if (Found == Commands.end()) {
    std::cerr << usage();
    return Usage;
  }
  if (FLAGS_store_form != "etcd" && FLAGS_store_form != "platform") {
    std::cerr << "--store_form: value \"" << FLAGS_store_form
              << "\" is not allowed; allowed is etcd or platform\n";
    return Usage;
  }
  const EtcdCodec Etcd;
  const platform::PlatformStoreCodec Platform;
  const StoreCodec &Form = FLAGS_store_form == "platform"
                               ? static_cast<const StoreCodec &>(Platform)
                               : Etcd;
  ControlStore Client(Store.value(), Form);
  CommandContext Context{Client,
                         {Words.begin() + 1, Words.end()},
                         FLAGS_output == "json",
                         FLAGS_operator_name,
                         FLAGS_operation,
                         FLAGS_expect_version,
                         FLAGS_verify};
  const int Code = Found->Run(Context);
  if (Code == Usage)
    std::cerr << Found->Help << "\n";
  return Code;
}

} // namespace bronzeward::tools

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(bronzeward::tools::usage());
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bronzeward::tools::runCommand({Argv + 1, Argv + Argc});
}
