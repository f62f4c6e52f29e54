#pragma once

#include "bronzeward/src/Net/CallerServer.h"
#include "bronzeward/src/Net/CoreThread.h"

namespace bronzeward {

/// \ingroup Net
/// \brief Serves liveness, readiness, status, metrics and commands to operators
/// over HTTP.
class OperatorServer {
public:
  /// \param Shared loop to run in; null to start a thread.
  explicit OperatorServer(CoreThread &Instance,
                          boost::asio::io_context *Shared = nullptr);

  [[nodiscard]] Result<std::uint16_t> listen(const std::string &Host,
                                             std::uint16_t Port);
  void stop() { Server.stop(); }

private:
  [[nodiscard]] Answer respond(const CallerRequest &Request);

  CoreThread &Core;
  CallerServer Server;
};

} // namespace bronzeward
