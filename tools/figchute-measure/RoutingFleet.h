#pragma once

#include "core/Random.h"
#include "FakeEngine.h"
#include "membership/membership.h"
#include "routing/routing.h"
#include "RoutingTally.h"
#include "RoutingWorkload.h"
#include "VirtualTime.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace figchute::measure {

/** How the fleet of one run is set up. */
struct FleetOptions
{
  routing::Policy policy;
  /** Engines ignore priorities. */
  bool fifoEngines = false;
  /** Requests that ran in two crashes are refused, as control decides in section 6.4. */
  bool quarantine = true;
  /** VMs exchange the tokens that they served per workspace. */
  bool exchangeTotals = true;
  /** One VM gets all requests and sees all engines in its own zone. */
  bool oneGlobalQueue = false;
};

/** Entry VMs, engines and the network between them in virtual time.
    @tparam R  the router: routing::Router or FifoRandomRouter
    Thread safety: use one instance from one thread only. */
template<typename R>
class RoutingFleet
{
public:
  /** Sets up a run.
      @param requests  the load; must outlive the fleet */
  RoutingFleet(const DeploymentSizes& sizes,
               Scenario scenario,
               FleetOptions options,
               const std::vector<PlannedRequest>& requests,
               std::uint64_t seed);

  /** Runs to the end and returns the figures. */
  RoutingFigures run();

private:
  struct Vm
  {
    ProcessId id;
    int zone;
    R router;
    membership::Membership membership;
    std::set<std::size_t> inFlight;
  };

  struct Engine
  {
    EndpointId id;
    int zone = 0;
    FakeEngine core;
    bool up = true;
    bool leaving = false;
    Time leavingAt;
    bool stepping = false;
    /** Counts crashes, so that a step that was under way is dropped. */
    std::uint32_t epoch = 0;
  };

  /** The attempt of a request that its VM follows. */
  struct Attempt
  {
    std::uint32_t number = 0;
    std::size_t engine = 0;
    bool inFlight = false;
    bool streams = false;
    Time lastSign;
  };

  void makeVms(std::uint64_t seed);
  void makeEngines();
  void scheduleFaults();
  void scheduleNextArrival(std::size_t request);
  void tickVm(std::size_t vm);
  void announceLoop(std::size_t engine);
  void announce(std::size_t engine, std::uint32_t running, std::uint32_t waiting);
  void leave(std::size_t engine);
  void returnWhenDrained(std::size_t engine);
  void watchSilence(std::size_t vm);
  void sampleCapacity();
  void sampleUse(double& total);

  void submit(std::size_t request);
  void act(std::size_t vm);
  void send(std::size_t vm, const routing::Dispatch& dispatch);
  void arrive(std::size_t vm, std::size_t request, std::uint32_t attempt, EngineSequence sequence);
  void cancel(std::size_t vm, const routing::CancelStream& order);
  void attemptFailed(std::size_t request, std::uint32_t attempt, routing::AttemptFailure failure);
  void deliver(const EngineEvent& event, std::size_t engine);
  void handle(const EngineEvent& event);
  void step(std::size_t engine);
  void crash(std::size_t engine);
  void exchange(std::size_t vm);
  void endRequest(std::size_t request, RequestRecord::Status status);

  [[nodiscard]] bool connected(int zoneA, int zoneB) const;
  [[nodiscard]] Duration delay(int zoneA, int zoneB) const;
  [[nodiscard]] std::size_t vmOf(std::size_t request) const;
  [[nodiscard]] bool isQuarantined(std::size_t request) const;
  [[nodiscard]] std::uint64_t fingerprint(std::size_t request) const;
  [[nodiscard]] routing::Work makeWork(std::size_t request) const;

  DeploymentSizes sizes_;
  Scenario scenario_;
  FleetOptions options_;
  const std::vector<PlannedRequest>& requests_;
  VirtualTime time_;
  Random random_;
  RoutingTally tally_;
  std::vector<Vm> vms_;
  std::vector<Engine> engines_;
  std::vector<Attempt> attempts_;
  std::map<ProcessId, std::size_t> vmIndexes_;
  std::map<EndpointId, std::size_t> engineIndexes_;
  std::map<std::uint64_t, int> crashes_;
};

} // namespace figchute::measure
