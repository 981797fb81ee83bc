#include "fleet/Configuration.h"

#include "fleet/RouteTable.h"

#include <fmt/format.h>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace figchute::fleet {
namespace {

constexpr int kMaxPriority = 9;

/** Collects the faults of one configuration. */
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
    return std::move(faults_);
  }

private:
  void require(bool holds, std::string_view fault)
  {
    if (!holds) {
      faults_.emplace_back(fault);
    }
  }

  template<typename... Args>
  void requireOf(bool holds, fmt::format_string<Args...> fault, Args&&... args)
  {
    if (!holds) {
      faults_.push_back(fmt::format(fault, std::forward<Args>(args)...));
    }
  }

  void checkServices()
  {
    for (const auto& service : configuration_.services) {
      const auto& name = service.name.value;
      require(!name.empty(), "a service has no name");
      requireOf(services_.insert(name).second, "two services are named \"{}\"", name);
      requireOf(
        service.maxConnections > 0, "service \"{}\" must allow at least one connection", name);
      if (service.engine) {
        checkEngine(name, *service.engine);
      }
    }
  }

  void checkEngine(std::string_view service, const EngineTraits& engine)
  {
    const bool sizesValid = engine.slots >= 0 && engine.kvCapacity >= 0 && engine.kvTokenBytes >= 0;
    requireOf(sizesValid, "service \"{}\" has an engine of negative size", service);
    requireOf(engine.stride > 0, "service \"{}\" must have a stride of at least 1", service);
  }

  void checkRoute(const Route& route)
  {
    const auto& name = route.name;
    require(!name.empty(), "a route has no name");
    requireOf(routes_.insert(name).second, "two routes are named \"{}\"", name);
    checkPlace(route);
    checkSplit(route);
    requireOf(route.timeout > Duration(0), "route \"{}\" must have a timeout above 0", name);
    requireOf(route.target >= Duration(0), "route \"{}\" has a negative target", name);
    requireOf(route.gapTarget >= Duration(0), "route \"{}\" has a negative gap target", name);
    requireOf(isPriority(route.priority), "route \"{}\" must have a priority from 0 to 9", name);
    requireOf(route.maxAttempts > 0, "route \"{}\" must allow at least one attempt", name);
  }

  void checkPlace(const Route& route)
  {
    const auto& prefix = route.pathPrefix;
    const bool slashes = prefix.starts_with('/') && prefix.ends_with('/');
    requireOf(!route.host.empty(), "route \"{}\" has no host", route.name);
    requireOf(slashes, "the prefix of route \"{}\" must begin and end with a slash", route.name);
    const auto [at, added] = places_.emplace(normalizedHost(route.host) + prefix, route.name);
    requireOf(added,
              "routes \"{}\" and \"{}\" have the same host and prefix {}{}",
              at->second,
              route.name,
              route.host,
              prefix);
  }

  void checkSplit(const Route& route)
  {
    std::uint64_t weights = 0;
    for (const auto& part : route.split) {
      weights += part.weight;
      requireOf(services_.contains(part.service.value),
                "route \"{}\" names the unknown service \"{}\"",
                route.name,
                part.service.value);
    }
    requireOf(weights > 0, "the weights of route \"{}\" add up to 0", route.name);
  }

  void checkWorkspace(const WorkspaceSettings& workspace)
  {
    const auto& name = workspace.name;
    require(!name.empty(), "a workspace has no name");
    requireOf(workspaces_.insert(name).second, "two workspaces are named \"{}\"", name);
    for (const auto& key : workspace.keys) {
      requireOf(!key.empty(), "workspace \"{}\" has an empty key", name);
      // The fault names the workspaces only, because keys are secret and faults are logged.
      const auto [at, added] = keys_.emplace(key, name);
      requireOf(added, "workspaces \"{}\" and \"{}\" have the same key", at->second, name);
    }
    requireOf(isPriority(workspace.priority.value_or(0)),
              "workspace \"{}\" must have a priority from 0 to 9",
              name);
    requireOf(workspace.prepaid.value_or(Tokens{}) >= Tokens{},
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
  std::vector<std::string> faults_;
  std::unordered_set<std::string> services_;
  std::unordered_set<std::string> routes_;
  std::unordered_set<std::string> workspaces_;
  /** Names of routes by host and prefix. */
  std::unordered_map<std::string, std::string> places_;
  /** Names of workspaces by key. */
  std::unordered_map<std::string, std::string> keys_;
};

} // namespace

std::vector<std::string> validate(const Configuration& configuration)
{
  return Validator(configuration).run();
}

} // namespace figchute::fleet
