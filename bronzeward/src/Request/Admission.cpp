#include "bronzeward/src/Request/Admission.h"

namespace bronzeward {

std::optional<Reason> Admission::enter(const WorkspaceSpec &Workspace,
                                       const ServiceSpec &Service) {
  std::int64_t &OfWorkspace = ByWorkspace[Workspace.Name];
  std::int64_t &OfService = ByService[Service.Name];
  if (OfWorkspace >= Workspace.MaxConcurrent)
    return Reason::WorkspaceLimit;
  if (OfService >= Service.MaxConcurrent)
    return Reason::ServiceLimit;
  ++OfWorkspace;
  ++OfService;
  ++Total;
  return std::nullopt;
}

void Admission::leave(const WorkspaceId &Workspace,
                      const ServiceName &Service) {
  --ByWorkspace[Workspace];
  --ByService[Service];
  --Total;
}

} // namespace bronzeward
