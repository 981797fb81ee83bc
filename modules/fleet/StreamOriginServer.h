#pragma once

#include "fleet/FleetState.h"
#include "fleet/Messages.h"
#include "fleet/StreamOriginStore.h"

#include <vector>

namespace figchute::fleet {

/** Keeps the origins of streams at a control process and answers queries of entry processes. An
    origin that nobody recorded is known nevertheless while only one software version can have begun
    the stream, which the replicated registry proves.
    Thread safety: use one instance from one thread only. */
class StreamOriginServer
{
public:
  /** Handles reports and queries; other messages are ignored.
      @param state             the replicated state of this process
      @param hasLeaderContact  whether @p state is current; otherwise it proves nothing */
  void receive(Time now,
               const ProcessId& from,
               const Message& message,
               const FleetState& state,
               bool hasLeaderContact);

  /** Removes old origins. Call it about once a second. */
  void tick(Time now) { origins_.expire(now); }

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

private:
  /** @param endpoints  the registry if it is current, else nullptr */
  [[nodiscard]] StreamOriginReply answer(const StreamOriginQuery& query,
                                         const EndpointStore* endpoints) const;

  StreamOriginStore origins_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::fleet
