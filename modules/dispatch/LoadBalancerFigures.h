#pragma once

#include <cstdint>

namespace figchute::dispatch {

/** What a LoadBalancer did, and its estimates at the last choice. */
struct LoadBalancerFigures
{
  std::uint64_t choices = 0;
  /** Engines whose costs were compared in these choices. */
  std::uint64_t candidatesDrawn = 0;
  /** Requests that left the preferred engines of their prompt prefix. */
  std::uint64_t spills = 0;
  double meanLoad = 0;
  double largestLoad = 0;
  /** Speeds relative to the mean; 1 if none is known. */
  double lowestSpeed = 1;
  double highestSpeed = 1;
};

} // namespace figchute::dispatch
