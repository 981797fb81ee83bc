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

/** The options of a run, set on the command line. */
struct Options
{
  std::uint64_t seed = 1;
  std::uint64_t steps = 200'000;
  /** "ferreira" or "goggle". */
  std::string deployment = "ferreira";
  /** The name of the rule to break on purpose; empty for an ordinary run. */
  std::string breakName;
  /** The number of most recent messages that are printed with a violation. */
  std::uint64_t traceLength = 50;
};

/** The state that all parts of one run share. */
struct World
{
  World(const Options& options, Duration interZoneDelay)
    : random(options.seed)
    , network(schedule, random, interZoneDelay, options.traceLength)
    , dialect(router::defaultDialect())
    , breakName(options.breakName)
    , breakStartsAt(schedule.now() + std::chrono::seconds(4))
  {
  }

  /** Returns true if a rule is to be broken on purpose at the current time. */
  [[nodiscard]] bool isBroken(std::string_view rule) const
  {
    return breakName == rule && schedule.now() >= breakStartsAt;
  }

  /** Returns a new incarnation for a process that starts. */
  Incarnation nextIncarnation() { return Incarnation{ ++lastIncarnation }; }

  Random random;
  Schedule schedule;
  Network network;
  FleetTally tally;
  std::unique_ptr<router::Dialect> dialect;
  std::string breakName;
  Time breakStartsAt;
  std::uint64_t lastIncarnation = 1'000;
  /** The control processes by their current addresses. */
  std::map<ProcessId, ControlProcess*> controls;
  /** The endpoint processes by address, running or stopped; the last one added per address. */
  std::map<std::string, EndpointProcess*> endpoints;
};

} // namespace figchute::simulation
