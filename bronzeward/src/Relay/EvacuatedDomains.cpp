#include "bronzeward/src/Relay/EvacuatedDomains.h"

#include <utility>

namespace bronzeward {

bool EvacuatedDomains::onListed(const EvacuationNotice &InForce) {
  if (InForce.Revision <= KnownRevision)
    return false;
  KnownRevision = InForce.Revision;
  std::set<FailureDomain> Latest(InForce.Domains.begin(),
                                 InForce.Domains.end());
  const bool Changed = Latest != Domains;
  Domains = std::move(Latest);
  return Changed;
}

bool EvacuatedDomains::onChanged(const FailureDomain &Domain, bool IsEvacuated,
                                 std::uint64_t Revision) {
  // All changes of one store transaction have the same revision.
  if (Revision < KnownRevision)
    return false;
  KnownRevision = Revision;
  return IsEvacuated ? Domains.insert(Domain).second
                     : Domains.erase(Domain) > 0;
}

EvacuationNotice EvacuatedDomains::notice() const {
  return {KnownRevision, {Domains.begin(), Domains.end()}};
}

bool EvacuatedDomains::isNewerThan(const EvacuationNotice &Other) const {
  return Other.Revision < KnownRevision &&
         std::set<FailureDomain>(Other.Domains.begin(), Other.Domains.end()) !=
             Domains;
}

std::vector<UpstreamEntry>
EvacuatedDomains::withoutEvacuated(std::vector<UpstreamEntry> Upstreams) const {
  if (!Domains.empty())
    std::erase_if(Upstreams, [this](const UpstreamEntry &Item) {
      return Domains.contains(Item.Domain);
    });
  return Upstreams;
}

} // namespace bronzeward
