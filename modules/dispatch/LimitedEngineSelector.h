#pragma once

#include "core/Types.h"
#include "dispatch/Candidate.h"
#include "dispatch/RequestInfo.h"
#include "dispatch/RequestSizes.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace figchute::dispatch {

/** Decides which requests of a service use the engines that name rate limits. A limit counts
    requests, so the few that are allowed are kept for the longest prompts, which relieve the other
    engines most.
    Thread safety: use one instance from one thread only. */
class LimitedEngineSelector
{
public:
  /** What the limits of a service's engines allow this process. */
  struct Allowance
  {
    double requestsPerSecond = 0;
    /** Engines to which this process may send at this rate. */
    std::size_t engines = 0;
  };

  /** Counts a request of the service. */
  void addRequest(Time now, std::int64_t promptTokens) { requestSizes_.add(now, promptTokens); }

  /** Returns the limited engine with the lowest cost if a request may use it instead of another
      engine, else nullptr.
      @param limited      the limited engines that this process may use now
      @param alternative  the best engine without a limit */
  [[nodiscard]] const Candidate* pick(Time now,
                                      const RequestInfo& requestInfo,
                                      const Allowance& allowance,
                                      std::span<const Candidate> limited,
                                      const Candidate& alternative) const;

private:
  [[nodiscard]] bool isLongEnough(Time now,
                                  std::int64_t promptTokens,
                                  const Allowance& allowance,
                                  std::size_t availableEngines) const;

  RequestSizes requestSizes_;
};

} // namespace figchute::dispatch
