#include "fleet/Configuration.h"

#include "fleet/RouteTable.h"

#include <cmath>
#include <fmt/format.h>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace figchute::fleet {
namespace {

constexpr int kMaxPriority = 9;

/** Collects the errors of a configuration. */
class Validator
{
public:
  explicit Validator(const Configuration& configuration)
    : configuration_(configuration)
  {
  }

  std::vector<std::string> run()
  {
    require(configuration_.version > 0, "the version must be greater than 0");
    checkServices();
    for (const auto& route : configuration_.routes) {
      checkRoute(route);
    }
    for (const auto& workspace : configuration_.workspaces) {
      checkWorkspace(workspace);
    }
    checkLimits();
    return std::move(errors_);
  }

private:
  void require(bool condition, std::string_view message)
  {
    if (!condition) {
      errors_.emplace_back(message);
    }
  }

  template<typename... Args>
  void requireFormatted(bool condition, fmt::format_string<Args...> message, Args&&... args)
  {
    if (!condition) {
      errors_.push_back(fmt::format(message, std::forward<Args>(args)...));
    }
  }

  void checkServices()
  {
    for (const auto& service : configuration_.services) {
      const auto& name = service.name.value;
      require(!name.empty(), "a service has no name");
      requireFormatted(serviceNames_.insert(name).second, "two services are named \"{}\"", name);
      requireFormatted(
        service.maxConnections > 0, "service \"{}\" must allow at least one connection", name);
      const bool isRate = std::isfinite(service.warmupPerS) && service.warmupPerS >= 0;
      requireFormatted(isRate, "service \"{}\" has a negative warm-up rate", name);
      if (service.engine) {
        checkEngine(name, *service.engine);
      }
    }
  }

  void checkEngine(std::string_view service, const EngineTraits& engine)
  {
    const bool sizesValid = engine.slots >= 0 && engine.kvCapacity >= 0 && engine.kvTokenBytes >= 0;
    requireFormatted(sizesValid, "service \"{}\" has an engine of negative size", service);
    requireFormatted(
      engine.tokensPerEvent > 0, "service \"{}\" must have a stride of at least 1", service);
  }

  void checkRoute(const Route& route)
  {
    const auto& name = route.name;
    require(!name.empty(), "a route has no name");
    requireFormatted(routeNames_.insert(name).second, "two routes are named \"{}\"", name);
    checkHostAndPrefix(route);
    checkSplit(route);
    requireFormatted(route.timeout > Duration(0), "route \"{}\" must have a timeout above 0", name);
    requireFormatted(route.target >= Duration(0), "route \"{}\" has a negative target", name);
    requireFormatted(
      route.gapTarget >= Duration(0), "route \"{}\" has a negative gap target", name);
    requireFormatted(
      isPriority(route.priority), "route \"{}\" must have a priority from 0 to 9", name);
    requireFormatted(route.maxAttempts > 0, "route \"{}\" must allow at least one attempt", name);
  }

  void checkHostAndPrefix(const Route& route)
  {
    const auto& prefix = route.pathPrefix;
    const bool hasSlashes = prefix.starts_with('/') && prefix.ends_with('/');
    requireFormatted(!route.host.empty(), "route \"{}\" has no host", route.name);
    requireFormatted(
      hasSlashes, "the prefix of route \"{}\" must begin and end with a slash", route.name);
    const auto [existingRoute, added] =
      routeByHostAndPrefix_.emplace(normalizedHost(route.host) + prefix, route.name);
    requireFormatted(added,
                     "routes \"{}\" and \"{}\" have the same host and prefix {}{}",
                     existingRoute->second,
                     route.name,
                     route.host,
                     prefix);
  }

  void checkSplit(const Route& route)
  {
    std::uint64_t totalWeight = 0;
    for (const auto& part : route.split) {
      totalWeight += part.weight;
      requireFormatted(serviceNames_.contains(part.service.value),
                       "route \"{}\" names the unknown service \"{}\"",
                       route.name,
                       part.service.value);
    }
    requireFormatted(totalWeight > 0, "the weights of route \"{}\" add up to 0", route.name);
  }

  void checkWorkspace(const WorkspaceSettings& workspace)
  {
    const auto& name = workspace.name;
    require(!name.empty(), "a workspace has no name");
    requireFormatted(workspaceNames_.insert(name).second, "two workspaces are named \"{}\"", name);
    for (const auto& key : workspace.keys) {
      requireFormatted(!key.empty(), "workspace \"{}\" has an empty key", name);
      // The message contains the names of the workspaces only: keys are secret and messages are
      // logged.
      const auto [existingWorkspace, added] = workspaceByKey_.emplace(key, name);
      requireFormatted(
        added, "workspaces \"{}\" and \"{}\" have the same key", existingWorkspace->second, name);
    }
    requireFormatted(isPriority(workspace.priority.value_or(0)),
                     "workspace \"{}\" must have a priority from 0 to 9",
                     name);
    requireFormatted(workspace.prepaid.value_or(Tokens{}) >= Tokens{},
                     "workspace \"{}\" has a negative prepaid budget",
                     name);
  }

  void checkLimits()
  {
    const auto& limits = configuration_.limits;
    require(limits.headBytes > 0, "the limit of the request head must be above 0");
    require(limits.headTimeout > Duration(0), "the timeout of the request head must be above 0");
    require(limits.idleTimeout > Duration(0), "the timeout of idle connections must be above 0");
  }

  static bool isPriority(int priority) { return priority >= 0 && priority <= kMaxPriority; }

  const Configuration& configuration_;
  std::vector<std::string> errors_;
  std::unordered_set<std::string> serviceNames_;
  std::unordered_set<std::string> routeNames_;
  std::unordered_set<std::string> workspaceNames_;
  /** Names of routes by normalized host and prefix. */
  std::unordered_map<std::string, std::string> routeByHostAndPrefix_;
  /** Names of workspaces by key. */
  std::unordered_map<std::string, std::string> workspaceByKey_;
};

} // namespace

std::vector<std::string> validate(const Configuration& configuration)
{
  return Validator(configuration).run();
}

} // namespace figchute::fleet
