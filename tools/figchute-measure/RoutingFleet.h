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

/** The configuration of the fleet in one run. */
struct FleetOptions
{
  routing::Policy policy;
  /** Engines ignore priorities and serve in order of arrival. */
  bool hasFifoEngines = false;
  /** Requests that were running in two engine crashes are refused, as control decides in
      section 6.4 of the design page. */
  bool quarantinesCrashingRequests = true;
  /** VMs exchange the numbers of tokens that they served per workspace. */
  bool exchangesUsageTotals = true;
  /** One VM receives all requests, and all engines are in its zone. */
  bool usesOneGlobalQueue = false;
};

/** Simulates entry VMs, engines and the network between them in virtual time.
    @tparam RouterType  the router: routing::Router or FifoRandomRouter
    Thread safety: use one instance from one thread only. */
template<typename RouterType>
class RoutingFleet
{
public:
  /** Creates the fleet of one run.
      @param requests  the load; must outlive the fleet */
  RoutingFleet(const DeploymentSizes& sizes,
               Scenario scenario,
               FleetOptions options,
               const std::vector<PlannedRequest>& requests,
               std::uint64_t seed);

  /** Runs the simulation to its end and returns the measurements. */
  RoutingFigures run();

private:
  struct Vm
  {
    ProcessId id;
    int zone;
    RouterType router;
    membership::Membership membership;
    std::set<std::size_t> inFlight;
  };

  struct Engine
  {
    EndpointId id;
    int zone = 0;
    FakeEngine simulation;
    bool isUp = true;
    bool isLeaving = false;
    Time leavingSince;
    bool isStepping = false;
    /** Number of crashes; a step that was in progress at a crash is dropped. */
    std::uint32_t crashCount = 0;
  };

  /** The latest attempt of a request at its VM. */
  struct Attempt
  {
    std::uint32_t number = 0;
    std::size_t engineIndex = 0;
    bool inFlight = false;
    bool isStreaming = false;
    Time lastProgressTime;
  };

  void createVms(std::uint64_t seed);
  void createEngines();
  void scheduleFaults();
  void scheduleNextArrival(std::size_t request);
  void runTimers(std::size_t vm);
  void announcePeriodically(std::size_t engine);
  void announce(std::size_t engine, std::uint32_t running, std::uint32_t waiting);
  void startLeaving(std::size_t engine);
  void restartWhenDrained(std::size_t engine);
  void failSilentAttempts(std::size_t vm);
  void sampleCapacity();
  void sampleUsedSlotSeconds(double& totalSlotSeconds);

  void submit(std::size_t request);
  void performActions(std::size_t vm);
  void sendToEngine(std::size_t vm, const routing::Dispatch& dispatch);
  void handleArrival(std::size_t vm,
                     std::size_t request,
                     std::uint32_t attemptNumber,
                     EngineSequence sequence);
  void cancelAttempt(std::size_t vm, const routing::CancelStream& cancellation);
  void handleAttemptFailure(std::size_t request,
                            std::uint32_t attemptNumber,
                            routing::AttemptFailure failure);
  void deliverEvent(const EngineEvent& event, std::size_t engine);
  void handleEvent(const EngineEvent& event);
  void startEngineStep(std::size_t engine);
  void crashEngine(std::size_t engine);
  void sendOutgoing(std::size_t vm);
  void endRequest(std::size_t request, RequestRecord::Status status);

  [[nodiscard]] bool areConnected(int zoneA, int zoneB) const;
  [[nodiscard]] Duration networkDelay(int zoneA, int zoneB) const;
  [[nodiscard]] std::size_t vmIndexOf(std::size_t request) const;
  [[nodiscard]] bool isQuarantined(std::size_t request) const;
  [[nodiscard]] std::uint64_t fingerprintOfRequest(std::size_t request) const;
  [[nodiscard]] routing::RequestInfo makeRequestInfo(std::size_t request) const;

  DeploymentSizes sizes_;
  Scenario scenario_;
  FleetOptions options_;
  const std::vector<PlannedRequest>& requests_;
  VirtualTime virtualTime_;
  Random random_;
  RoutingTally tally_;
  std::vector<Vm> vms_;
  std::vector<Engine> engines_;
  std::vector<Attempt> attempts_;
  std::map<ProcessId, std::size_t> vmIndexes_;
  std::map<EndpointId, std::size_t> engineIndexes_;
  std::map<std::uint64_t, int> crashCounts_;
};

} // namespace figchute::measure
