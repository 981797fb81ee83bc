#pragma once

#include "dispatch/EndpointTable.h"

namespace figchute::dispatch {

/** An endpoint that may take a request, with what is predicted of it. */
struct Candidate
{
  Endpoint* endpoint = nullptr;
  /** Estimated running and waiting requests of all processes. */
  double load = 0;
  bool ownZone = false;
  /** Prompt tokens that are probably not cached there. */
  std::int64_t newTokens = 0;
  /** Time to read them. */
  Duration reading{};
  /** Time to the first token without the work of other processes. */
  Duration expected{};
  /** Time to the first token. */
  Duration predicted{};
  /** Wait that failures of late, warming up and being kept for long prompts count for in the
      choice. */
  Duration penalty{};
  /** Long prompts go there and other requests stay away. */
  bool forLong = false;
};

} // namespace figchute::dispatch
