#include "bronzeward/src/Base/StreamOrigin.h"

#include "bronzeward/src/Base/Digest.h"

namespace bronzeward {

StreamKey streamKeyOf(const WorkspaceId &Workspace,
                      const std::string &Attempt) {
  return {hash64(Attempt, hash64(Workspace.Value))};
}

} // namespace bronzeward
