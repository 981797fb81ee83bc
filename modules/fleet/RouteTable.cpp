#include "fleet/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace figchute::fleet {

std::string normalizedHost(std::string_view host)
{
  // The colons of an IPv6 address are in brackets and do not start a port.
  const auto bracket = host.rfind(']');
  const auto colon = host.find(':', bracket == std::string_view::npos ? 0 : bracket);
  std::string normalized(host.substr(0, colon));
  for (auto& c : normalized) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return normalized;
}

RouteTable::RouteTable(Configuration configuration)
  : configuration_(std::move(configuration))
{
  for (const auto& route : configuration_.routes) {
    routesByHost_[normalizedHost(route.host)].push_back({ &route, kNone });
  }
  for (auto& [host, routes] : routesByHost_) {
    linkParents(routes);
  }
  for (const auto& workspace : configuration_.workspaces) {
    for (const auto& key : workspace.keys) {
      workspaceByKey_.emplace(key, &workspace);
    }
  }
  for (const auto& service : configuration_.services) {
    serviceByName_.emplace(service.name.value, &service);
  }
}

void RouteTable::linkParents(std::vector<HostRoute>& routes)
{
  std::sort(routes.begin(), routes.end(), [](const HostRoute& a, const HostRoute& b) {
    return a.route->pathPrefix < b.route->pathPrefix;
  });
  for (std::size_t i = 1; i < routes.size(); ++i) {
    auto parent = i - 1;
    while (parent != kNone &&
           !routes[i].route->pathPrefix.starts_with(routes[parent].route->pathPrefix)) {
      parent = routes[parent].parent;
    }
    routes[i].parent = parent;
  }
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
  const auto hostRoutes = routesByHost_.find(normalizedHost(host));
  if (hostRoutes == routesByHost_.end()) {
    return nullptr;
  }
  const auto& routes = hostRoutes->second;
  const auto pathWithoutQuery = path.substr(0, path.find('?'));
  // All prefixes that match the path are prefixes of the last one that does not sort after the
  // path, so they belong to that route or its ancestors.
  const auto nextRoute =
    std::upper_bound(routes.begin(),
                     routes.end(),
                     pathWithoutQuery,
                     [](std::string_view searchedPath, const HostRoute& entry) {
                       return searchedPath < entry.route->pathPrefix;
                     });
  auto index =
    nextRoute == routes.begin() ? kNone : static_cast<std::size_t>(nextRoute - routes.begin()) - 1;
  while (index != kNone && !pathWithoutQuery.starts_with(routes[index].route->pathPrefix)) {
    index = routes[index].parent;
  }
  return index == kNone ? nullptr : routes[index].route;
}

const WorkspaceSettings* RouteTable::workspaceOf(std::string_view key) const
{
  const auto workspace = workspaceByKey_.find(key);
  return workspace == workspaceByKey_.end() ? nullptr : workspace->second;
}

const ServiceSettings* RouteTable::service(const ServiceName& name) const
{
  const auto serviceEntry = serviceByName_.find(name.value);
  return serviceEntry == serviceByName_.end() ? nullptr : serviceEntry->second;
}

const ServiceName& RouteTable::pickService(const Route& route, std::string_view requestId)
{
  std::uint64_t totalWeight = 0;
  for (const auto& part : route.split) {
    totalWeight += part.weight;
  }
  invariant(totalWeight > 0, "the weights of a route add up to more than 0");
  auto remainder = fingerprintOf(requestId) % totalWeight;
  for (const auto& part : route.split) {
    if (remainder < part.weight) {
      return part.service;
    }
    remainder -= part.weight;
  }
  return route.split.back().service;
}

} // namespace figchute::fleet
