#include "fleet/StreamOriginServer.h"

#include <optional>
#include <string>

namespace figchute::fleet {

void StreamOriginServer::receive(Time now, const ProcessId& from, const Message& message)
{
  if (const auto* report = std::get_if<StreamOriginReport>(&message)) {
    for (const auto& origin : report->origins) {
      origins_.add(now, origin);
    }
  }
  const auto* query = std::get_if<StreamOriginQuery>(&message);
  if (query == nullptr) {
    return;
  }
  if (const auto origin = origins_.find(query->stream)) {
    outgoing_.push_back({ from, StreamOriginReply{ query->queryId, true, *origin } });
  } else {
    registryQueries_.push_back({ from, *query });
  }
}

void StreamOriginServer::answer(std::span<const RegistryQuery> queries,
                                const EndpointStore* endpoints)
{
  for (const auto& [from, query] : queries) {
    // The origin may have been recorded since the query arrived.
    if (const auto origin = origins_.find(query.stream)) {
      outgoing_.push_back({ from, StreamOriginReply{ query.queryId, true, *origin } });
      continue;
    }
    std::optional<std::string> version;
    if (endpoints != nullptr && !origins_.isAmbiguous(query.stream)) {
      version = endpoints->onlyVersionOf(query.service);
    }
    outgoing_.push_back(
      { from,
        StreamOriginReply{ query.queryId,
                           version.has_value(),
                           { query.stream, query.service, version.value_or("") } } });
  }
}

} // namespace figchute::fleet
