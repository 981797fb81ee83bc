#include "dispatch/RequestInfo.h"

#include "routing/Rendezvous.h"

namespace figchute::dispatch {

CrashCandidates crashCandidatesOf(const RequestInfo& requestInfo)
{
  CrashCandidates candidates;
  candidates.request = requestInfo.fingerprint;
  if (requestInfo.parts.size() < 2) {
    return candidates;
  }
  const auto model = fingerprintOf(requestInfo.model.value);
  candidates.parts.reserve(requestInfo.parts.size() - 1);
  for (std::size_t i = 0; i + 1 < requestInfo.parts.size(); ++i) {
    candidates.parts.push_back(routing::rendezvousWeight(model, requestInfo.parts[i].hash));
  }
  return candidates;
}

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
    case Outcome::unconfirmedEnd:
      return "unconfirmed_end";
    case Outcome::timedOut:
      return "timed_out";
    case Outcome::malformed:
      return "malformed";
    case Outcome::withdrawn:
      return "withdrawn";
    case Outcome::cancelled:
      break;
  }
  return "cancelled";
}

} // namespace figchute::dispatch
