#pragma once

#include "dispatch/Candidate.h"
#include "dispatch/LoadBalancer.h"
#include "dispatch/LongPromptEngines.h"
#include "dispatch/Placement.h"
#include "dispatch/PrefixPrefillRates.h"
#include "dispatch/RequestInfo.h"
#include "routing/DecayedSum.h"

#include <cstddef>
#include <optional>
#include <span>

namespace figchute::dispatch {

/** Inputs of the choice of an engine other than the request. */
struct EngineContext
{
  Time now;
  std::int64_t kvCapacity = 0;
  /** Mean time that a request occupies a slot. */
  Duration serviceTime{};
  /** This process's share of the running requests of all processes, above 0. */
  double trafficShare = 1;
  /** Chooses among the engines instead of the lowest cost; null without an even load. */
  LoadBalancer* balancer = nullptr;
};

/** Chooses an engine of a model service.

    Long prompts go to the engines reserved for them, as long as these are predicted to meet the
    target. All other requests go to the best of the few engines preferred for their shared prompt
    prefix, then to the best engine further along the prefix's placement order, then to the best of
    all engines. The best engine has the lowest predicted time to first token plus penalties.
    With a LoadBalancer, it chooses among the preferred engines, those further along the order and
    all engines instead.
    Thread safety: use one instance from one thread only. */
class EngineSelector
{
public:
  explicit EngineSelector(ZoneId zone)
    : zone_(std::move(zone))
  {
  }

  /** Fills in the predicted latency and the penalty of an engine. */
  static void predict(const EngineContext& context,
                      const RequestInfo& requestInfo,
                      std::span<const Fingerprint> keys,
                      Candidate& candidate);

  /** Returns the cost of a candidate: its predicted latency, penalties and distance. */
  static Duration costOf(const Candidate& candidate);

  /** Chooses one of the engines and counts the request for its prompt prefix.
      @param keys        result of prefixKeys()
      @param candidates  engines filled in by predict(), not empty; penalties are added
                         to them
      @returns the index of the chosen engine */
  std::size_t pick(const EngineContext& context,
                   const RequestInfo& requestInfo,
                   std::span<const Fingerprint> keys,
                   std::span<Candidate> candidates);

private:
  /** Returns the engine with the lowest cost among those reserved for long prompts; nullopt if it
      would miss the target. */
  static std::optional<std::size_t> pickForLongPrompt(const RequestInfo& requestInfo,
                                                      std::span<const Candidate> candidates);

  std::optional<std::size_t> pickForPrefix(const EngineContext& context,
                                           const RequestInfo& requestInfo,
                                           const SharedPrefix& prefix,
                                           std::span<const Candidate> candidates);

  /** Does the same with the LoadBalancer. All zones share the preferred engines of a prefix. */
  std::optional<std::size_t> pickForPrefixEvenly(const EngineContext& context,
                                                 const RequestInfo& requestInfo,
                                                 const SharedPrefix& prefix,
                                                 std::span<const Candidate> candidates);

  /** Returns the engine with the lowest cost along the placement order of a prefix whose preferred
      engines are over their limits; nullopt if it would miss the target. */
  static std::optional<std::size_t> pickFallback(const RequestInfo& requestInfo,
                                                 const SharedPrefix& prefix,
                                                 std::span<const Candidate> candidates,
                                                 std::span<const std::size_t> order,
                                                 std::size_t preferredEngineCount);

  ZoneId zone_;
  /** Returns the share of the short prefixes that are placed in the zone of this process. */
  [[nodiscard]] double ownZoneShare(const EngineContext& context,
                                    std::span<const Candidate> candidates) const;

  PrefixPrefillRates prefixRates_;
  /** Seconds of prefill caused by the requests of this process. */
  routing::DecayedSum prefillSeconds_{ std::chrono::seconds(10) };
  LongPromptEngines longPrompts_;
};

} // namespace figchute::dispatch
