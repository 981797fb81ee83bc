#pragma once

#include "fleet/Configuration.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figchute::fleet {

/** Returns a host in lower case and without its port, as used to match routes.
    Thread safety: safe from any thread. */
[[nodiscard]] std::string normalizedHost(std::string_view host);

/** An immutable configuration with indexes to look up routes, workspaces and services.
    Thread safety: safe from any thread. */
class RouteTable
{
public:
  /** @param configuration  a valid configuration */
  explicit RouteTable(Configuration configuration);

  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  [[nodiscard]] const Configuration& configuration() const { return configuration_; }

  /** Returns the route of a host with the longest prefix of the path, or nullptr. The result is
      valid as long as the table.
      @param host  as sent by the caller; port and case are ignored
      @param path  as sent by the caller; the query is ignored */
  [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

  /** Returns the workspace of a key, or nullptr. */
  [[nodiscard]] const WorkspaceSettings* workspaceOf(std::string_view key) const;

  /** Returns the settings of a service, or nullptr. */
  [[nodiscard]] const ServiceSettings* service(const ServiceName& name) const;

  /** Returns a service of the route's split, chosen by weight. The same request id gives the same
      service. */
  [[nodiscard]] static const ServiceName& pickService(const Route& route,
                                                      std::string_view requestId);

private:
  /** A route of a host. The routes of a host are sorted by prefix. */
  struct HostRoute
  {
    const Route* route = nullptr;
    /** Index of the route with the longest proper prefix of this route's prefix, or kNone. */
    std::size_t parent = 0;
  };

  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
      return std::hash<std::string_view>{}(text);
    }
  };

  template<typename Value>
  using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  static void linkParents(std::vector<HostRoute>& routes);

  Configuration configuration_;
  StringMap<std::vector<HostRoute>> routesByHost_;
  StringMap<const WorkspaceSettings*> workspaceByKey_;
  StringMap<const ServiceSettings*> serviceByName_;
};

} // namespace figchute::fleet
