"""The configurations of the soak of streams. All of them leave the key of the callers as it is."""

import copy

TIMEOUT_RANGE_MS = (700, 8000)
CONNECTIONS_RANGE = (6, 50)
MAX_CHANGES = 3


def change_timeouts(rng, configuration):
    for route in configuration["routes"]:
        route["timeoutMs"] = rng.randint(*TIMEOUT_RANGE_MS)


def change_routes(rng, configuration):
    """Changes the order and the targets of all routes and adds one."""
    added = {**rng.choice(configuration["routes"]), "name": "added", "pathPrefix": "/added/"}
    configuration["routes"].append(added)
    rng.shuffle(configuration["routes"])
    for route in configuration["routes"]:
        route["targetMs"] = rng.randint(200, 2000)
        route["priority"] = rng.randint(0, 2)


def change_services(rng, configuration):
    """Adds a service and changes the cost model of the engines."""
    configuration["services"].insert(0, {"name": "added", "maxConnections": 5})
    engines = next(s for s in configuration["services"] if s["name"] == "engines")
    engines["engine"] = {**engines["engine"], "kvCapacity": rng.randint(50000, 200000)}


def change_workspaces(rng, configuration):
    """Adds or removes workspaces that the callers don't use."""
    north = next(w for w in configuration["workspaces"] if w["name"] == "north")
    others = [{"name": f"east{n}", "keys": [f"key-east{n}"], "prepaid": 1000}
              for n in range(rng.randint(0, 5))]
    configuration["workspaces"] = others + [north]


def change_connections(rng, configuration):
    for service in configuration["services"]:
        service["maxConnections"] = rng.randint(*CONNECTIONS_RANGE)


def remove_route(rng, configuration):
    name = rng.choice(("chat", "report"))
    configuration["routes"] = [r for r in configuration["routes"] if r["name"] != name]


def replace_service(_rng, configuration):
    """Gives the service of the streams another name, which no engine announces."""
    for service in configuration["services"]:
        if service["name"] == "engines":
            service["name"] = "replaced"
    for route in configuration["routes"]:
        if route["service"] == "engines":
            route["service"] = "replaced"


def remove_workspace(_rng, configuration):
    configuration["workspaces"] = [w for w in configuration["workspaces"] if w["name"] != "north"]


def allow_one_connection(_rng, configuration):
    for service in configuration["services"]:
        service["maxConnections"] = 1


SERVING_CHANGES = (change_timeouts, change_routes, change_services, change_workspaces,
                   change_connections)
# These refuse new streams; one that runs must go on.
REFUSING_CHANGES = (remove_route, replace_service, remove_workspace, allow_one_connection)


def draw_configuration(rng, base, version, serves_all):
    """Returns a configuration with some changes. New streams are refused only if serves_all is not set."""
    configuration = copy.deepcopy(base)
    configuration["version"] = version
    for change in rng.sample(SERVING_CHANGES, rng.randint(1, MAX_CHANGES)):
        change(rng, configuration)
    if not serves_all:
        rng.choice(REFUSING_CHANGES)(rng, configuration)
    return configuration
