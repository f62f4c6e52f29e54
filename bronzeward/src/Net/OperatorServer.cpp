#include "bronzeward/src/Net/OperatorServer.h"

namespace bronzeward {

constexpr const char *LiftPath = "/quarantine/lift/";

/// Operators' requests have no bodies, and few operators ask at once.
static CallerLimits operatorLimits() {
  CallerLimits Limits;
  Limits.MaxBodyBytes = 4096;
  Limits.MaxHeldBytes = std::size_t{8} * 1024 * 1024;
  return Limits;
}

static Answer plainAnswer(std::uint16_t Status, std::string Body,
                          std::string Type = "text/plain") {
  Answer Reply;
  Reply.Status = Status;
  Reply.ContentType = std::move(Type);
  Reply.Body = std::move(Body);
  return Reply;
}

OperatorServer::OperatorServer(CoreThread &Instance,
                               boost::asio::io_context *Shared)
    : Core(Instance),
      Server(
          operatorLimits(),
          [this](CallerEvent Event) {
            if (const auto *Request = std::get_if<CallerRequest>(&Event))
              Server.answer(Request->Ticket, respond(*Request));
            return true;
          },
          Shared) {}

Result<std::uint16_t> OperatorServer::listen(const std::string &Host,
                                             std::uint16_t Port) {
  return Server.listen(Host, Port);
}

Answer OperatorServer::respond(const CallerRequest &Request) {
  const std::shared_ptr<const RouterStatus> Status = Core.status();
  if (Request.Method == "GET" && Request.Target == "/livez")
    return plainAnswer(200, "live\n");
  if (Request.Method == "GET" && Request.Target == "/readyz")
    return Status->Ready
               ? plainAnswer(200, "ready\n")
               : plainAnswer(503,
                             "not ready: " + Status->NotReadyReason + "\n");
  if (Request.Method == "GET" && Request.Target == "/status")
    return plainAnswer(200, statusJson(*Status), "application/json");
  if (Request.Method == "GET" && Request.Target == "/metrics")
    return plainAnswer(200, statusMetrics(*Status));
  if (Request.Method == "POST" && Request.Target == "/drain") {
    Core.post(DrainRequested{});
    return plainAnswer(202, "draining\n");
  }
  const std::string_view LiftPrefix = LiftPath;
  if (Request.Method == "POST" && Request.Target.starts_with(LiftPrefix)) {
    Core.post(QuarantineLifted{
        ContentFingerprint{Request.Target.substr(LiftPrefix.size())}});
    return plainAnswer(202, "lifted\n");
  }
  return plainAnswer(404, "unknown path\n");
}

} // namespace bronzeward
