#pragma once

#include "DispatchPolicy.h"
#include "DispatchTally.h"
#include "DispatchWorkload.h"
#include "KvEngine.h"
#include "VirtualTime.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace figchute::measure {

/** Simulates nine entry processes with their dispatchers, twelve model engines and four plain
    endpoints in three zones, and the callers, in virtual time. The scenario skewed has 18 engines
    in four zones.
    Thread safety: use one instance from one thread only. */
class DispatchFleet
{
public:
  /** Creates the fleet and schedules the requests and faults of a scenario.
      @param strategy  nullopt for the production dispatcher, otherwise that of a baseline */
  DispatchFleet(DispatchScenario scenario,
                std::optional<routing::SelectionStrategy> strategy,
                std::uint64_t seed);

  /** Runs all requests and returns the measurements. */
  DispatchFigures run();

private:
  enum class Fault : std::uint8_t
  {
    none,
    failsRequests,
    ignoresRequests,
    refusesRequests,
    unreachable,
    down,
  };

  struct Backend
  {
    fleet::EndpointRecord record;
    std::optional<KvEngine> engine;
    int busySlots = 0;
    Fault fault = Fault::none;
    double slowdownFactor = 1;
    bool isStepping = false;
    /** Incremented when the endpoint loses its work, so that earlier steps are ignored. */
    std::uint64_t generation = 0;
  };

  struct Caller
  {
    DispatchRequest request;
    std::vector<EndpointId> excluded;
    std::uint32_t attemptNumber = 0;
    std::size_t backendIndex = 0;
    bool isOpen = true;
    bool inFlight = false;
    bool isAnswering = false;
    /** The endpoint has not accepted the connection, so that nothing was sent. */
    bool isConnecting = false;
    bool wasSent = false;
    Time lastEventTime;
    DispatchResult result;
    int resendCount = 0;
  };

  [[nodiscard]] ZoneId entryZoneOf(std::size_t entryIndex) const;
  [[nodiscard]] ZoneId engineZoneOf(std::size_t engineIndex) const;
  void createEndpoints();
  void scheduleFaults();
  void publishEndpoints();
  void startRequest(std::size_t callerIndex);
  void startAttempt(std::size_t callerIndex);
  void handleArrival(std::size_t callerIndex, std::uint32_t attemptNumber);
  void handleArrivalAtPlainEndpoint(std::size_t callerIndex,
                                    std::uint32_t attemptNumber,
                                    Backend& backend);
  void handleArrivalAtEngine(std::size_t callerIndex,
                             std::uint32_t attemptNumber,
                             Backend& backend);
  void startEngineStep(std::size_t backendIndex);
  void handleEvent(std::size_t callerIndex,
                   std::uint32_t attemptNumber,
                   bool isDone,
                   dispatch::LoadReport loadReport);
  /** Schedules the end of an attempt @p delay from now. */
  void scheduleAttemptEnd(Duration delay,
                          std::size_t callerIndex,
                          std::uint32_t attemptNumber,
                          dispatch::Outcome outcome,
                          std::optional<dispatch::LoadReport> loadReport = std::nullopt);
  void endAttempt(std::size_t callerIndex, dispatch::Outcome outcome);
  void handleDeadline(std::size_t callerIndex);
  void closeRequest(std::size_t callerIndex);
  void crashEngine(std::size_t backendIndex);
  void restartEngine(std::size_t backendIndex);
  void tick();
  void exchangeCrashReports();

  [[nodiscard]] std::size_t backendIndexOf(const EndpointId& id) const;
  [[nodiscard]] bool isCurrent(std::size_t callerIndex, std::uint32_t attemptNumber) const;
  [[nodiscard]] bool crossesZones(const Caller& caller) const;
  [[nodiscard]] Duration hopDelay(const Caller& caller) const;
  [[nodiscard]] static dispatch::LoadReport loadReportOf(const Backend& backend);
  [[nodiscard]] DispatchPolicy& policyOf(const Caller& caller)
  {
    return *policies_[caller.request.entry];
  }

  DispatchScenario scenario_;
  Random random_;
  VirtualTime virtualTime_;
  std::vector<Backend> backends_;
  std::vector<std::unique_ptr<DispatchPolicy>> policies_;
  std::deque<Caller> callers_;
  DispatchTally tally_;
};

} // namespace figchute::measure
