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

/** Nine entry processes with their dispatchers, twelve model engines and four plain endpoints in
    three zones, and the callers, in virtual time. The scenario skewed has 18 engines in four zones.
    Thread safety: use one instance from one thread only. */
class DispatchFleet
{
public:
  /** @param strategy  nullopt for the dispatcher of the product, else a baseline */
  DispatchFleet(DispatchScenario scenario,
                std::optional<routing::ChoiceStrategy> strategy,
                std::uint64_t seed);

  /** Runs all requests. */
  DispatchFigures run();

private:
  enum class Sickness : std::uint8_t
  {
    none,
    fails,
    hangs,
    sheds,
    dark,
    down,
  };

  struct Backend
  {
    fleet::EndpointRecord record;
    std::optional<KvEngine> engine;
    int busy = 0;
    Sickness sickness = Sickness::none;
    double slowness = 1;
    bool stepping = false;
    /** Changes when the endpoint loses its work; steps of before are void. */
    std::uint64_t life = 0;
  };

  struct Caller
  {
    DispatchRequest request;
    std::vector<EndpointId> excluded;
    std::uint32_t attempt = 0;
    std::size_t backend = 0;
    bool open = true;
    bool inFlight = false;
    bool answering = false;
    /** The endpoint does not accept the connection; nothing was sent. */
    bool connecting = false;
    bool wasSent = false;
    Time lastEvent;
    DispatchResult result;
    int resends = 0;
  };

  [[nodiscard]] ZoneId entryZone(std::size_t entry) const;
  [[nodiscard]] ZoneId engineZone(std::size_t engine) const;
  void createEndpoints();
  void scheduleSickness();
  void publish();
  void begin(std::size_t caller);
  void attempt(std::size_t caller);
  void arrive(std::size_t caller, std::uint32_t attempt);
  void arriveAtPlain(std::size_t caller, std::uint32_t attempt, Backend& backend);
  void arriveAtEngine(std::size_t caller, std::uint32_t attempt, Backend& backend);
  void pump(std::size_t backend);
  void event(std::size_t caller, std::uint32_t attempt, bool done, dispatch::LoadReport load);
  /** An attempt ends @p delay from now. */
  void endAfter(Duration delay,
                std::size_t caller,
                std::uint32_t attempt,
                dispatch::Outcome outcome,
                std::optional<dispatch::LoadReport> load = std::nullopt);
  void endAttempt(std::size_t caller, dispatch::Outcome outcome);
  void expire(std::size_t caller);
  void close(std::size_t caller);
  void crash(std::size_t backend);
  void restart(std::size_t backend);
  void tick();
  void exchangeCrashes();

  [[nodiscard]] std::size_t backendOf(const EndpointId& id) const;
  [[nodiscard]] bool isCurrent(std::size_t caller, std::uint32_t attempt) const;
  [[nodiscard]] bool crossesZones(const Caller& caller) const;
  [[nodiscard]] Duration hop(const Caller& caller) const;
  [[nodiscard]] static dispatch::LoadReport loadOf(const Backend& backend);
  [[nodiscard]] DispatchPolicy& policyOf(const Caller& caller)
  {
    return *policies_[caller.request.entry];
  }

  DispatchScenario scenario_;
  Random random_;
  VirtualTime time_;
  std::vector<Backend> backends_;
  std::vector<std::unique_ptr<DispatchPolicy>> policies_;
  std::deque<Caller> callers_;
  DispatchTally tally_;
};

} // namespace figchute::measure
