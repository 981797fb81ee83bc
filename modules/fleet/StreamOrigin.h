#pragma once

#include "core/core.h"
#include "core/Fingerprint.h"
#include "wire/Codec.h"

#include <string>
#include <string_view>
#include <vector>

/** What began a stream. A stream may go on only at an endpoint of the service and the software
   version that sent its first event, because the events of two versions do not fit together. */
namespace figchute::fleet {

/** The service and the software version that sent the first event of a stream. */
struct StreamOrigin
{
  /** Identifies the stream, @see streamFingerprint(). */
  Fingerprint stream = 0;
  ServiceName service;
  std::string softwareVersion;
  bool operator==(const StreamOrigin&) const = default;
  MSGPACK_DEFINE(stream, service, softwareVersion)
};

/** Returns the fingerprint of a stream.
    @param workspace  the workspace of the caller, so that no other workspace finds the stream
    @param requestId  the id of the request whose response brought the first event
    Safe from any thread. */
inline Fingerprint streamFingerprint(std::string_view workspace, std::string_view requestId)
{
  return fingerprintOf(requestId, fingerprintOf(workspace));
}

/** Sent by an entry process to control processes soon after the first events of streams. */
struct StreamOriginReport
{
  std::vector<StreamOrigin> origins;
  MSGPACK_DEFINE(origins)
};

/** Asks a control process what began a stream. */
struct StreamOriginQuery
{
  /** Returned in the reply; unique within one incarnation of the sender. */
  std::uint64_t queryId = 0;
  Fingerprint stream = 0;
  /** The service of the stream if nobody recorded its origin. */
  ServiceName service;
  MSGPACK_DEFINE(queryId, stream, service)
};

/** The reply to StreamOriginQuery. */
struct StreamOriginReply
{
  std::uint64_t queryId = 0;
  /** Whether the sender knows the origin; otherwise only its fingerprint is set. */
  bool isKnown = false;
  StreamOrigin origin{};
  MSGPACK_DEFINE(queryId, isKnown, origin)
};

} // namespace figchute::fleet
