#include "fleet/StreamOriginServer.h"

namespace figchute::fleet {

void StreamOriginServer::receive(Time now,
                                 const ProcessId& from,
                                 const Message& message,
                                 const FleetState& state,
                                 bool hasLeaderContact)
{
  if (const auto* report = std::get_if<StreamOriginReport>(&message)) {
    for (const auto& origin : report->origins) {
      origins_.add(now, origin);
    }
  }
  if (const auto* query = std::get_if<StreamOriginQuery>(&message)) {
    const auto* current = hasLeaderContact ? &state.endpoints : nullptr;
    outgoing_.push_back({ from, answer(*query, current) });
  }
}

StreamOriginReply StreamOriginServer::answer(const StreamOriginQuery& query,
                                             const EndpointStore* endpoints) const
{
  if (const auto origin = origins_.find(query.stream)) {
    return { query.queryId, true, *origin };
  }
  std::optional<std::string> version;
  if (endpoints != nullptr && !origins_.isAmbiguous(query.stream)) {
    version = endpoints->onlyVersionOf(query.service);
  }
  return { query.queryId,
           version.has_value(),
           { query.stream, query.service, version.value_or("") } };
}

} // namespace figchute::fleet
