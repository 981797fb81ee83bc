#pragma once

#include "core/core.h"
#include "fleet/ByteDelta.h"
#include "fleet/CrashReport.h"
#include "fleet/Endpoint.h"
#include "fleet/RateLimit.h"
#include "fleet/StreamOrigin.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** Messages between entry and control processes about the state of the fleet. All of them tolerate
    loss, duplication and reordering. */
namespace figchute::fleet {

/** Crashes as earlier releases report them: counts for whole requests. Not sent by this release,
   and ignored; it keeps the places of its fields in the messages. */
struct CrashCount
{
  std::uint64_t fingerprint = 0;
  std::uint64_t crashes = 0;
  HolderId reporter{};
  MSGPACK_DEFINE(fingerprint, crashes, reporter)
};

/** A running entry process. */
struct EntryProcess
{
  HolderId holder;
  ZoneId zone;
  bool operator==(const EntryProcess&) const = default;
  MSGPACK_DEFINE(holder, zone)
};

/** How many requests an entry process gets. */
struct RequestRate
{
  /** Fingerprint of the process id. */
  Fingerprint process = 0;
  float requestsPerSecond = 0;
  MSGPACK_DEFINE(process, requestsPerSecond)
};

/** Returns a digest of a list, which depends on its order; 0 if it is empty. Safe from any thread.
 */
std::uint64_t digestOf(const std::vector<EntryProcess>& entries);

/** Sent by an entry process to its control process at the start and then once a second. */
struct Subscribe
{
  ZoneId zone;
  /** Version of the configuration in force at the sender; 0 if there is none. */
  std::uint64_t configurationVersion = 0;
  /** Revision of the sender's copy of the endpoint registry; 0 if there is none. */
  std::uint64_t endpointRevision = 0;
  std::vector<CrashCount> crashCounts;
  Incarnation incarnation{};
  /** Digest of the entry processes known to the sender; 0 if there are none. */
  std::uint64_t entriesDigest = 0;
  /** Whether the sender applies deltas of configurations. False in messages of earlier releases. */
  bool acceptsDeltas = false;
  /** Whether the sender received a delta that it cannot apply. */
  bool missedConfiguration = false;
  /** Crashes that the sender observed recently, and reports that it refuted. */
  std::vector<CrashReport> crashReports{};
  /** Rate limits of endpoints that the sender observed recently. */
  std::vector<RateLimit> rateLimits{};
  /** Requests that the sender gets. */
  float requestsPerSecond = 0;
  /** When the message was sent, in µs by the sender's boot clock; 0 in messages of earlier
     releases. */
  std::int64_t sentAtMicros = 0;
  MSGPACK_DEFINE(zone,
                 configurationVersion,
                 endpointRevision,
                 crashCounts,
                 incarnation,
                 entriesDigest,
                 acceptsDeltas,
                 missedConfiguration,
                 crashReports,
                 rateLimits,
                 requestsPerSecond,
                 sentAtMicros)
};

/** Ends a subscription. */
struct Unsubscribe
{
  /** False if the sender only switched to another control process. */
  bool stopping = true;
  MSGPACK_DEFINE(stopping)
};

/** Sent by a control process to its subscribers. */
struct FleetUpdate
{
  /** 0 if the subscriber has the current version. */
  std::uint64_t configurationVersion = 0;
  /** The bytes as sent by the operator; empty if the update contains a delta. */
  std::string configuration;
  /** The revision that the receiver has after this update. */
  std::uint64_t endpointRevision = 0;
  /** The revision that the receiver must have to apply a partial update; 0 for a complete one. */
  std::uint64_t sinceRevision = 0;
  /** The changed endpoints, or all of them in a complete update. */
  std::vector<EndpointRecord> endpoints;
  /** Endpoints removed since @ref sinceRevision. */
  std::vector<EndpointId> removed;
  std::vector<ProcessId> controls;
  /** Whether the sender is in contact with a leader that has a majority. */
  bool leaderContact = false;
  /** Number of live entry processes known to the sender. */
  std::uint32_t entryProcesses = 0;
  /** The live entry processes; empty if the receiver's digest of them is current. */
  std::vector<EntryProcess> entries;
  std::vector<CrashCount> crashCounts;
  /** The version of the receiver's configuration to which the delta applies; 0 if the update
      contains a whole configuration or none. */
  std::uint64_t baseVersion = 0;
  ByteDelta configurationDelta{};
  /** Crash reports of all processes that are new or changed since the last update, or all of them.
   */
  std::vector<CrashReport> crashReports{};
  /** Rate limits that changed since the last update, or all of them. */
  std::vector<RateLimit> rateLimits{};
  /** Request rates of all entry processes; sent repeatedly while there are rate limits. */
  std::vector<RequestRate> requestRates{};
  /** The revision of @ref evacuatedZones; 0 if no zone was ever evacuated, and in messages of
      earlier releases. */
  std::uint64_t evacuationRevision = 0;
  /** All evacuated zones. */
  std::vector<ZoneId> evacuatedZones{};
  /** Subscribe::sentAtMicros of the receiver's newest message; 0 in messages of earlier releases.
   */
  std::int64_t answeredMicros = 0;
  MSGPACK_DEFINE(configurationVersion,
                 configuration,
                 endpointRevision,
                 sinceRevision,
                 endpoints,
                 removed,
                 controls,
                 leaderContact,
                 entryProcesses,
                 entries,
                 crashCounts,
                 baseVersion,
                 configurationDelta,
                 crashReports,
                 rateLimits,
                 requestRates,
                 evacuationRevision,
                 evacuatedZones,
                 answeredMicros)
};

/** The last announcement of an endpoint that a control process received, reported to the other
    control processes. */
struct ReceivedAnnouncement
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0;
  /** Time since the announcement was received, in ms, when the message was sent. */
  std::int64_t ageMs = 0;
  /** Sequence of the announcement. */
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE(endpoint, startedAtMs, ageMs, sequence)
};

/** Sent between control processes once a second, and immediately after new crashes. */
struct PeerReport
{
  /** Sent to the leader only. */
  std::vector<ReceivedAnnouncement> announcements;
  /** Entry processes that subscribe to the sender. */
  std::vector<EntryProcess> subscribers;
  std::vector<CrashCount> crashCounts;
  /** Crash reports of these entry processes that are new or changed, or all of them. */
  std::vector<CrashReport> crashReports{};
  /** Rate limits that these entry processes observed: the changed ones, or all of them. */
  std::vector<RateLimit> rateLimits{};
  /** Request rates of these entry processes. */
  std::vector<RequestRate> requestRates{};
  MSGPACK_DEFINE(announcements, subscribers, crashCounts, crashReports, rateLimits, requestRates)
};

/** A message of the fleet channel. */
using Message = std::variant<Subscribe,
                             Unsubscribe,
                             FleetUpdate,
                             PeerReport,
                             StreamOriginReport,
                             StreamOriginQuery,
                             StreamOriginReply>;

/** A message and its receiver. */
struct OutgoingMessage
{
  ProcessId to;
  Message message;
};

} // namespace figchute::fleet
