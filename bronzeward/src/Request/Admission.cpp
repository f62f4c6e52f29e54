#include "bronzeward/src/Request/Admission.h"

namespace bronzeward {

std::optional<Reason> Admission::enter(const WorkspaceSpec &Workspace,
                                       const ServiceSpec &Service) {
  std::int64_t &WorkspaceCount = ByWorkspace[Workspace.Name];
  std::int64_t &ServiceCount = ByService[Service.Name];
  if (WorkspaceCount >= Workspace.MaxConcurrent)
    return Reason::WorkspaceLimit;
  if (ServiceCount >= Service.MaxConcurrent)
    return Reason::ServiceLimit;
  ++WorkspaceCount;
  ++ServiceCount;
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
