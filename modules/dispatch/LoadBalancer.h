#pragma once

#include "core/Random.h"
#include "dispatch/Candidate.h"
#include "dispatch/LoadBalancerFigures.h"
#include "dispatch/RequestInfo.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace figchute::dispatch {

/** The engines that a prompt prefix uses. */
struct PrefixPlacement
{
  /** Indexes of the candidates in the placement order of the prefix; not empty. */
  std::span<const std::size_t> order;
  /** Number of preferred engines, at least 1. */
  std::size_t preferredCount = 1;
  /** Time to prefill the prefix on an engine that does not have it. */
  Duration prefill{};
};

/** Distributes requests evenly over the engines of a service although many processes decide
    independently and know the load of an engine only from their own answers.

    The load of an engine is estimated from its last report, which loses its weight with its age
    against the mean of the service. Costs add the load relative to this mean to the predicted time
    to the first token, and draws in random order decide between equal costs. A request leaves the
    preferred engines of its prompt prefix with a probability that increases with their overload.
    Thread safety: use one instance from one thread only. */
class LoadBalancer
{
public:
  /** A service with fewer engines is served by the lowest cost. There, a process knows enough of
      each engine from its own requests, and spreading a prefix over more engines costs more than
      the even load gains. */
  static constexpr std::size_t kMinEngines = 40;

  /** @param seed  seed of the draws */
  explicit LoadBalancer(std::uint64_t seed)
    : random_(seed)
  {
  }

  /** Fills in the loads and speeds of engines. Call it before EngineSelector::predict() and the
      choice among the same engines.
      @param serviceTime  mean time that a request occupies a slot
      @param candidates   engines, not empty */
  void estimate(Time now, Duration serviceTime, std::span<Candidate> candidates);

  /** Returns the number of engines that a prompt prefix should use, so that each of them receives
      it often enough to keep it in its cache.
      @param engines       number of engines of the service
      @param prefillRate   seconds per second that all processes' requests with the prefix take to
                           prefill, without the prefix itself
      @param prefixTokens  above 0 */
  static std::size_t preferredEngineCount(std::size_t engines,
                                          double prefillRate,
                                          std::int64_t prefixTokens);

  /** Chooses one of the engines. */
  std::size_t pick(std::span<const Candidate> candidates);

  /** Chooses one of the first engines in the placement order of a prefix, or one further along it.
      @returns nullopt if the engine would miss the target */
  std::optional<std::size_t> pickForPrefix(const RequestInfo& requestInfo,
                                           std::span<const Candidate> candidates,
                                           const PrefixPlacement& placement);

  /** Returns the figures since the last call. */
  LoadBalancerFigures takeFigures();

private:
  [[nodiscard]] double costOf(const Candidate& candidate) const;

  /** Draws some of the engines and returns the one with the lowest cost.
      @param stepCost  cost in microseconds of each place by which an engine is further along
                       @p indexes than the first one */
  std::size_t draw(std::span<const Candidate> candidates,
                   std::span<const std::size_t> indexes,
                   double stepCost);

  /** Returns the probability that a request leaves the preferred engines for others. */
  [[nodiscard]] double spillProbability(const RequestInfo& requestInfo,
                                        const Candidate& candidate) const;

  Random random_;
  double meanLoad_ = 0;
  LoadBalancerFigures figures_;
};

} // namespace figchute::dispatch
