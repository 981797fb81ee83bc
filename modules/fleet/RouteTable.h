#pragma once

#include "fleet/Configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figchute::fleet {

/** A configuration with indexes for requests. It never changes after its creation.
    Thread safety: safe from any thread. */
class RouteTable
{
public:
  /** @param configuration  a valid configuration */
  explicit RouteTable(Configuration configuration);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] const Configuration& configuration() const { return configuration_; }

  /** Finds the route of a host with the longest prefix that begins the path.
      @param host  as sent; a port and the case are ignored
      @param path  as sent, a query is ignored
      @returns the route, valid as long as the table, or nullptr */
  [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

  /** Returns the workspace that holds a key, or nullptr. */
  [[nodiscard]] const WorkspaceSettings* workspaceOf(std::string_view key) const;

  /** Returns the settings of a service, or nullptr. */
  [[nodiscard]] const ServiceSettings* service(const ServiceName& name) const;

  /** Picks a service of the route's split by weight; the same request id gives the same service. */
  [[nodiscard]] static const ServiceName& pickService(const Route& route,
                                                      std::string_view requestId);

private:
  Configuration configuration_;
  /** Routes of a host, longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
  std::unordered_map<std::string, const WorkspaceSettings*> byKey_;
  std::unordered_map<std::string, const ServiceSettings*> byService_;
};

} // namespace figchute::fleet
