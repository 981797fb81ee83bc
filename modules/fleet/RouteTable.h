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

/** Returns a host in lower case and without its port, as routes are matched.
    Thread safety: safe from any thread. */
[[nodiscard]] std::string normalizedHost(std::string_view host);

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
  /** A route in the list of its host, which is sorted by prefix. */
  struct Place
  {
    const Route* route = nullptr;
    /** Index of the route with the longest prefix that begins this one's prefix, or kNone. */
    std::size_t parent = 0;
  };

  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const
    {
      return std::hash<std::string_view>{}(text);
    }
  };

  template<typename Value>
  using ByText = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  static void linkParents(std::vector<Place>& places);

  Configuration configuration_;
  ByText<std::vector<Place>> byHost_;
  ByText<const WorkspaceSettings*> byKey_;
  ByText<const ServiceSettings*> byService_;
};

} // namespace figchute::fleet
