#pragma once

#include "tools/ControlStore.h"

#include <string>
#include <vector>

namespace bronzeward::tools {

/// \brief Exit codes of bronzewardctl.
enum ExitCode : int {
  Success = 0,
  /// The text, amount or history is not right.
  Refused = 1,
  /// Wrong use of the command.
  Usage = 2,
  /// Another operator was first.
  Conflict = 3,
  /// The store or instance does not answer, or whether a change took effect
  /// is not known.
  Away = 4,
  NotFound = 5,
};

/// \brief What every command gets.
struct CommandContext {
  ControlStore &Store;
  std::vector<std::string> Arguments;
  bool Json = false;
  std::string Operator;
  std::string OperationName;
  std::int64_t ExpectedVersion = -1;
  bool Verify = false;
};

int runCheck(CommandContext &Context);
int runApply(CommandContext &Context);
int runShow(CommandContext &Context);
int runHistory(CommandContext &Context);
int runTopUp(CommandContext &Context);
int runAccount(CommandContext &Context);
int runRequest(CommandContext &Context);
int runStatus(CommandContext &Context);
int runDrain(CommandContext &Context);
int runLift(CommandContext &Context);

/// \brief Prints an error and picks its exit code.
int report(const Error &Failure);

/// \returns the configuration in force.
[[nodiscard]] Result<Configuration> readConfiguration(ControlStore &Store);

} // namespace bronzeward::tools
