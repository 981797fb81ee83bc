#include "dispatch/RequestInfo.h"

namespace figchute::dispatch {

std::string_view toString(Outcome outcome)
{
  switch (outcome) {
    case Outcome::answered:
      return "answered";
    case Outcome::serverError:
      return "server_error";
    case Outcome::notExecuted:
      return "not_executed";
    case Outcome::wrongEndpoint:
      return "wrong_endpoint";
    case Outcome::notConnected:
      return "not_connected";
    case Outcome::broken:
      return "broken";
    case Outcome::timedOut:
      return "timed_out";
    case Outcome::malformed:
      return "malformed";
    case Outcome::cancelled:
      break;
  }
  return "cancelled";
}

} // namespace figchute::dispatch
