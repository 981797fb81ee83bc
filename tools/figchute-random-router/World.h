#pragma once

#include "FleetTally.h"
#include "Network.h"
#include "router/JsonDialect.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace figchute::simulation {

class ControlProcess;
class EndpointProcess;

/** What the command line chooses. */
struct Options
{
  std::uint64_t seed = 1;
  std::uint64_t steps = 200'000;
  /** "ferreira" or "goggle". */
  std::string deployment = "ferreira";
  /** The name of the rule to break on purpose; empty for an ordinary run. */
  std::string breakName;
  /** How many of the last messages a violation prints. */
  std::uint64_t trace = 50;
};

/** What all parts of one run share. */
struct World
{
  World(const Options& options, Duration betweenZones)
    : random(options.seed)
    , network(schedule, random, betweenZones, options.trace)
    , dialect(router::defaultDialect())
    , breakName(options.breakName)
    , breaksFrom(schedule.now() + std::chrono::seconds(4))
  {
  }

  /** Tells whether a rule is to be broken now. */
  [[nodiscard]] bool breaks(std::string_view name) const
  {
    return breakName == name && schedule.now() >= breaksFrom;
  }

  /** Returns the incarnation of the next start of a process. */
  Incarnation nextIncarnation() { return Incarnation{ ++incarnations }; }

  Random random;
  Schedule schedule;
  Network network;
  FleetTally tally;
  std::unique_ptr<router::Dialect> dialect;
  std::string breakName;
  Time breaksFrom;
  std::uint64_t incarnations = 1'000;
  /** The control processes at their present addresses. */
  std::map<ProcessId, ControlProcess*> controls;
  /** Running and dead endpoint processes by address; the last one that started there. */
  std::map<std::string, EndpointProcess*> endpoints;
};

} // namespace figchute::simulation
