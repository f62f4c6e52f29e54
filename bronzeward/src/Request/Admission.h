#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Request/Refusal.h"

#include <map>
#include <optional>

namespace bronzeward {

/// \ingroup Request
/// \brief Limits the number of requests in flight of each workspace and of each
/// service.
class Admission {
public:
  /// \brief Admits a request if both limits allow it.
  /// \returns the limit that is reached, or nothing if the request is admitted.
  [[nodiscard]] std::optional<Reason> enter(const WorkspaceSpec &Workspace,
                                            const ServiceSpec &Service);
  /// \brief Releases the place of an admitted request.
  void leave(const WorkspaceId &Workspace, const ServiceName &Service);

  [[nodiscard]] std::int64_t inFlight() const { return Total; }

private:
  std::map<WorkspaceId, std::int64_t> ByWorkspace;
  std::map<ServiceName, std::int64_t> ByService;
  std::int64_t Total = 0;
};

} // namespace bronzeward
