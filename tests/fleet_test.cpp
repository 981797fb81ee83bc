#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/fleet.h"

#include <chrono>
#include <doctest/doctest.h>
#include <map>

using namespace figchute;
using namespace figchute::fleet;

namespace {

Route routeOf(const std::string& name, const std::string& host, const std::string& prefix)
{
  Route route;
  route.name = name;
  route.host = host;
  route.pathPrefix = prefix;
  route.split = { { ServiceName("chat"), 1 } };
  return route;
}

/** A valid configuration with one service. */
struct Configured
{
  Configured()
  {
    configuration.version = 1;
    configuration.services = { ServiceSettings{ ServiceName("chat"), "/health", 100, {} } };
    configuration.routes = { routeOf("all", "Api.Example", "/"),
                             routeOf("v1", "api.example", "/v1/"),
                             routeOf("v1-a", "api.example", "/v1/a/"),
                             routeOf("v1-ab", "api.example", "/v1/ab/") };
    configuration.workspaces = { { "north", { "k1", "k2" }, {}, Tokens{ 5 } },
                                 { "south", { "k3" }, {}, {} } };
  }

  Configuration configuration;
};

} // namespace

// Guards against a fault that hides the ones after it, and against a valid configuration that is
// refused.
TEST_CASE_FIXTURE(Configured, "Validate_severalFaults_listsEachOne")
{
  CHECK(validate(configuration).empty());
  configuration.routes[0].split = { { ServiceName("absent"), 1 } };
  configuration.routes[1].split = { { ServiceName("chat"), 0 } };
  configuration.routes[2].timeout = Duration(0);
  configuration.routes[3] = routeOf("v1", "API.example:80", "/v1/");
  configuration.workspaces[1].keys = { "k1" };
  configuration.services.push_back(configuration.services[0]);
  // One more than the changes above: the last route has both a used name and a used place.
  CHECK(validate(configuration).size() == 7);
}

// Guards against a route of another host, a shorter prefix or a query that decides.
TEST_CASE_FIXTURE(Configured, "RouteTable_match_longestPrefixOfTheHostWins")
{
  const RouteTable table(configuration);
  const auto nameOf = [&](std::string_view host, std::string_view path) {
    const auto* route = table.match(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(nameOf("API.example:8080", "/v1/a/b") == "v1-a");
  CHECK(nameOf("api.example", "/v1/a") == "v1");
  CHECK(nameOf("api.example", "/v1/ab/?x=/v1/a/") == "v1-ab");
  CHECK(nameOf("api.example", "/v1?/v1/a/") == "all");
  CHECK(nameOf("api.example", "/v1/zz") == "v1");
  CHECK(nameOf("other.example", "/v1/") == "");
  CHECK(nameOf("api.example", "v1") == "");
  CHECK(normalizedHost("[::1]:80") == "[::1]");
  CHECK(table.workspaceOf("k2")->name == "north");
  CHECK(table.workspaceOf("k4") == nullptr);
  CHECK(table.service(ServiceName("chat"))->maxConnections == 100);
}

// Guards against a split that ignores weights or gives one request two services.
TEST_CASE_FIXTURE(Configured, "PickService_weights_shareRequestsById")
{
  auto route = routeOf("split", "h", "/");
  route.split = { { ServiceName("a"), 9 }, { ServiceName("none"), 0 }, { ServiceName("b"), 1 } };
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const auto id = "request-" + std::to_string(i);
    const auto& picked = RouteTable::pickService(route, id);
    CHECK(picked == RouteTable::pickService(route, id));
    ++counts[picked.value];
  }
  CHECK(counts["none"] == 0);
  CHECK(counts["b"] > 850);
  CHECK(counts["b"] < 1150);
}

// Guards against work that grows with the square of the routes, or with the routes at each request.
TEST_CASE_FIXTURE(Configured, "RouteTable_manyRoutes_areIndexedAndMatchedFast")
{
  configuration.routes.clear();
  for (int i = 0; i < 1500; ++i) {
    const auto name = "r" + std::to_string(i);
    configuration.routes.push_back(routeOf(name, "api.example", "/v1/" + name + "/"));
  }
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  const RouteTable table(configuration);
  const auto built = Clock::now();
  int found = 0;
  for (int i = 0; i < 15'000; ++i) {
    const auto path = "/v1/r" + std::to_string(i) + "/rest";
    found += table.match("api.example", path) != nullptr ? 1 : 0;
  }
  const auto matched = Clock::now();
  CHECK(found == 1500);
  MESSAGE("built in us: ",
          std::chrono::duration_cast<Duration>(built - start).count(),
          ", 15000 matches in us: ",
          std::chrono::duration_cast<Duration>(matched - built).count());
  // Ten times what was measured, so that a busy machine does not fail the test.
  CHECK(built - start < std::chrono::milliseconds(50));
  CHECK(matched - built < std::chrono::milliseconds(150));
}
