#include "dispatch/Explanation.h"

namespace figchute::dispatch {

std::string_view toString(Obstacle obstacle)
{
  switch (obstacle) {
    case Obstacle::none:
      return "none";
    case Obstacle::notAccepting:
      return "not_accepting";
    case Obstacle::breakerOpen:
      return "breaker_open";
    case Obstacle::connectionsInUse:
      return "connections_in_use";
    case Obstacle::rateLimited:
      return "rate_limited";
    case Obstacle::brittle:
      return "brittle";
  }
  return "unknown";
}

} // namespace figchute::dispatch
