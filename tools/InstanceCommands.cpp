#include "tools/Commands.h"

#include <iostream>

namespace bronzeward::tools {

static int ask(const std::string &Address, const std::string &Method,
               const std::string &Target) {
  const Result<SocketAddress> Place = parseAddress("address", Address);
  if (!Place) {
    std::cerr << describe(Place.error()) << "\n";
    return Usage;
  }
  HttpRequest Request;
  Request.Host = Place.value().Host;
  Request.Port = Place.value().Port;
  Request.Method = Method;
  Request.Target = Target;
  const Result<HttpReply> Reply = exchange(std::move(Request));
  if (!Reply)
    return report(Reply.error());
  std::cout << Reply.value().Body;
  return Reply.value().Status < 300 ? Success : Refused;
}

int runStatus(CommandContext &Context) {
  if (Context.Arguments.empty()) {
    std::cerr << "status OPERATOR-ADDRESS...\n";
    return Usage;
  }
  int Worst = Success;
  for (const std::string &Address : Context.Arguments)
    Worst = std::max(Worst, ask(Address, "GET", "/status"));
  return Worst;
}

int runDrain(CommandContext &Context) {
  if (Context.Arguments.size() != 1) {
    std::cerr << "drain OPERATOR-ADDRESS\n";
    return Usage;
  }
  return ask(Context.Arguments[0], "POST", "/drain");
}

int runLift(CommandContext &Context) {
  if (Context.Arguments.size() != 2) {
    std::cerr << "lift OPERATOR-ADDRESS CONTENT-FINGERPRINT\n";
    return Usage;
  }
  return ask(Context.Arguments[0], "POST",
             "/quarantine/lift/" + Context.Arguments[1]);
}

} // namespace bronzeward::tools
