#pragma once

#include "dispatch/EndpointTable.h"

namespace figchute::dispatch {

/** An endpoint that may take a request, with its load and predicted latency. */
struct Candidate
{
  Endpoint* endpoint = nullptr;
  /** Estimated running and waiting requests of all processes. */
  double load = 0;
  /** Speed of the engine relative to the mean of its service; 1 if it is not known. */
  double speed = 1;
  bool inOwnZone = false;
  /** Prompt tokens that are probably not in the prompt cache of the endpoint. */
  std::int64_t uncachedTokens = 0;
  /** Time to prefill the uncached tokens. */
  Duration prefill{};
  /** Estimated time to the first token, without the requests of other processes. */
  Duration baseTtft{};
  /** Estimated time to the first token. */
  Duration predictedTtft{};
  /** Extra cost of the endpoint in the choice, for recent failures, warm-up and being reserved for
      long prompts. */
  Duration penalty{};
  /** The endpoint names a rate limit. */
  bool isLimited = false;
  /** Reserved for long prompts; other requests avoid it. */
  bool reservedForLongPrompts = false;
};

} // namespace figchute::dispatch
