#pragma once

#include "fleet/FleetState.h"
#include "fleet/Messages.h"
#include "fleet/StreamOriginStore.h"

#include <span>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** Keeps the origins of streams at a control process and answers queries of entry processes. An
    origin that nobody recorded is known nevertheless while only one software version can have begun
    the stream, which the replicated registry proves. A copy of the registry proves it only if it is
    at least as new as the query: a process that was cut off a moment ago may not have the version
    that began the stream. Such queries therefore wait until the caller confirms its copy.
    Thread safety: use one instance from one thread only. */
class StreamOriginServer
{
public:
  /** A query for a stream without a recorded origin. */
  struct RegistryQuery
  {
    ProcessId from;
    StreamOriginQuery query;
  };

  /** Handles reports and queries; other messages are ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns and clears the queries that only the registry can answer. */
  std::vector<RegistryQuery> takeRegistryQueries() { return std::exchange(registryQueries_, {}); }

  /** Answers queries that takeRegistryQueries() returned.
      @param endpoints  a registry that is at least as new as the queries; nullptr if there is none
   */
  void answer(std::span<const RegistryQuery> queries, const EndpointStore* endpoints);

  /** Removes old origins. Call it about once a second. */
  void tick(Time now) { origins_.expire(now); }

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  StreamOriginStore origins_;
  std::vector<RegistryQuery> registryQueries_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::fleet
