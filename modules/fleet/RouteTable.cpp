#include "fleet/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace figchute::fleet {

std::string normalizedHost(std::string_view host)
{
  // An IPv6 address is in brackets, so a colon inside it begins no port.
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
    byHost_[normalizedHost(route.host)].push_back({ &route, kNone });
  }
  for (auto& [host, places] : byHost_) {
    linkParents(places);
  }
  for (const auto& workspace : configuration_.workspaces) {
    for (const auto& key : workspace.keys) {
      byKey_.emplace(key, &workspace);
    }
  }
  for (const auto& service : configuration_.services) {
    byService_.emplace(service.name.value, &service);
  }
}

void RouteTable::linkParents(std::vector<Place>& places)
{
  std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
    return a.route->pathPrefix < b.route->pathPrefix;
  });
  for (std::size_t i = 1; i < places.size(); ++i) {
    auto parent = i - 1;
    while (parent != kNone &&
           !places[i].route->pathPrefix.starts_with(places[parent].route->pathPrefix)) {
      parent = places[parent].parent;
    }
    places[i].parent = parent;
  }
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
  const auto found = byHost_.find(normalizedHost(host));
  if (found == byHost_.end()) {
    return nullptr;
  }
  const auto& places = found->second;
  const auto plain = path.substr(0, path.find('?'));
  // Every prefix of the path begins the last prefix that does not sort after the path, so it is
  // among that route's parents.
  const auto after = std::upper_bound(
    places.begin(), places.end(), plain, [](std::string_view wanted, const Place& place) {
      return wanted < place.route->pathPrefix;
    });
  auto at = after == places.begin() ? kNone : static_cast<std::size_t>(after - places.begin()) - 1;
  while (at != kNone && !plain.starts_with(places[at].route->pathPrefix)) {
    at = places[at].parent;
  }
  return at == kNone ? nullptr : places[at].route;
}

const WorkspaceSettings* RouteTable::workspaceOf(std::string_view key) const
{
  const auto found = byKey_.find(key);
  return found == byKey_.end() ? nullptr : found->second;
}

const ServiceSettings* RouteTable::service(const ServiceName& name) const
{
  const auto found = byService_.find(name.value);
  return found == byService_.end() ? nullptr : found->second;
}

const ServiceName& RouteTable::pickService(const Route& route, std::string_view requestId)
{
  std::uint64_t weights = 0;
  for (const auto& part : route.split) {
    weights += part.weight;
  }
  invariant(weights > 0, "the weights of a route add up to more than 0");
  auto rest = fingerprintOf(requestId) % weights;
  for (const auto& part : route.split) {
    if (rest < part.weight) {
      return part.service;
    }
    rest -= part.weight;
  }
  return route.split.back().service;
}

} // namespace figchute::fleet
