#include "bronzeward/src/Config/FleetConfiguration.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace bronzeward {

RouteTable::RouteTable(FleetConfiguration Accepted)
    : Config(std::move(Accepted)) {
  for (const RouteSpec &Route : Config.Routes)
    ByHost[boost::algorithm::to_lower_copy(Route.Host)].emplace(Route.Prefix,
                                                                &Route);
  for (const WorkspaceAccess &Workspace : Config.Workspaces)
    for (const std::string &Digest : Workspace.KeyDigests)
      ByKeyDigest.emplace(Digest, &Workspace);
  for (const RoutedService &Service : Config.Services)
    ByService.emplace(Service.Name, &Service);
}

const RouteSpec *RouteTable::route(const std::string &Host,
                                   std::string_view Target) const {
  const auto Routes = ByHost.find(boost::algorithm::to_lower_copy(Host));
  if (Routes == ByHost.end())
    return nullptr;
  std::string_view Path = Target.substr(0, Target.find('?'));
  // Every prefix ends with a slash, so only those beginnings of the path that
  // end with one can match.
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Path.rfind('/')) {
    const auto Found = Routes->second.find(Path.substr(0, Slash + 1));
    if (Found != Routes->second.end())
      return Found->second;
    Path = Path.substr(0, Slash);
  }
  return nullptr;
}

const WorkspaceAccess *RouteTable::workspace(const std::string &Key) const {
  const auto Found = ByKeyDigest.find(sha256Hex(Key));
  return Found == ByKeyDigest.end() ? nullptr : Found->second;
}

const RoutedService *RouteTable::service(const ServiceName &Name) const {
  const auto Found = ByService.find(Name);
  return Found == ByService.end() ? nullptr : Found->second;
}

} // namespace bronzeward
