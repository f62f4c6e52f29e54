#pragma once

#include "bronzeward/Config"
#include "bronzeward/src/Request/Refusal.h"

#include <map>
#include <optional>

namespace bronzeward {

/// \ingroup Request
/// \brief Limits requests in flight, by workspace and by service.
class Admission {
public:
  /// \brief Counts a request in, or tells which limit it exceeds.
  [[nodiscard]] std::optional<Reason> enter(const WorkspaceSpec &Workspace,
                                            const ServiceSpec &Service);
  /// \brief Counts a request out.
  void leave(const WorkspaceId &Workspace, const ServiceName &Service);

  [[nodiscard]] std::int64_t inFlight() const { return Total; }

private:
  std::map<WorkspaceId, std::int64_t> ByWorkspace;
  std::map<ServiceName, std::int64_t> ByService;
  std::int64_t Total = 0;
};

} // namespace bronzeward
