#pragma once

#include "core/core.h"
#include "fleet/Endpoint.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** The messages between entry and control processes about the state of the fleet. Loss, duplication
    and reordering of any of them is tolerated. */
namespace figchute::fleet {

/** A request fingerprint with the number of endpoints that went down under it. Counts are
   cumulative and never fall, so that a lost or repeated message changes nothing. */
struct CrashCount
{
  std::uint64_t fingerprint = 0;
  std::uint64_t crashes = 0;
  /** The entry process that counted, in HeardBatch; empty elsewhere. */
  HolderId reporter{};
  MSGPACK_DEFINE(fingerprint, crashes, reporter)
};

/** One running entry process. */
struct EntryProcess
{
  HolderId holder;
  ZoneId zone;
  bool operator==(const EntryProcess&) const = default;
  MSGPACK_DEFINE(holder, zone)
};

/** Returns a digest of a list in its order; 0 for an empty one. Safe from any thread. */
std::uint64_t digestOf(const std::vector<EntryProcess>& entries);

/** Sent by an entry process to its control process at once and each second. */
struct Subscribe
{
  ZoneId zone;
  /** Version in force at the sender; 0 for none. */
  std::uint64_t configurationVersion = 0;
  /** Revision of the endpoint registry that the sender has; 0 for none. */
  std::uint64_t endpointRevision = 0;
  /** All crashes that the sender has seen under fingerprints with a recent one. */
  std::vector<CrashCount> crashes;
  /** Start of the sender; its counts of crashes begin at 0. */
  Incarnation incarnation{};
  /** Digest of the entry processes that the sender knows; 0 for none. */
  std::uint64_t entriesDigest = 0;
  MSGPACK_DEFINE(zone, configurationVersion, endpointRevision, crashes, incarnation, entriesDigest)
};

/** Ends a subscription. */
struct Unsubscribe
{
  /** False when the sender only turned to another control process. */
  bool stopping = true;
  MSGPACK_DEFINE(stopping)
};

/** Sent by a control process to its subscribers, and between control processes. */
struct FleetUpdate
{
  /** 0 when the subscriber has the newest. */
  std::uint64_t configurationVersion = 0;
  /** The bytes as the operator sent them. */
  std::string configuration;
  /** The revision that the receiver has after this update. */
  std::uint64_t endpointRevision = 0;
  /** The revision that the receiver must have for a partial update; 0 for a whole one. */
  std::uint64_t sinceRevision = 0;
  /** Changed or all endpoints. */
  std::vector<EndpointRecord> endpoints;
  /** Endpoints that were removed since @ref sinceRevision. */
  std::vector<EndpointId> removed;
  std::vector<ProcessId> controls;
  /** The sender is in contact with a leader that has a majority. */
  bool leaderContact = false;
  /** Number of live entry processes as far as the sender knows. */
  std::uint32_t entryProcesses = 0;
  /** The live entry processes; empty when the receiver's digest of them is current. */
  std::vector<EntryProcess> entries;
  /** Requests that crashed endpoints, over all processes except the receiver. */
  std::vector<CrashCount> crashes;
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
                 crashes)
};

/** When a control process last heard an endpoint; sent to the other control processes in batches.
 */
struct Heard
{
  EndpointId endpoint;
  std::int64_t startedAtMs = 0;
  /** Age of the last announcement when the message was sent, in ms. */
  std::int64_t ageMs = 0;
  /** Sequence of that announcement. */
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE(endpoint, startedAtMs, ageMs, sequence)
};

/** Sent between control processes once a second. */
struct HeardBatch
{
  /** Sent to the leader only. */
  std::vector<Heard> heard;
  /** Entry processes that subscribe at the sender. */
  std::vector<EntryProcess> subscribers;
  /** What these processes counted. */
  std::vector<CrashCount> crashes;
  MSGPACK_DEFINE(heard, subscribers, crashes)
};

/** A message of the fleet channel. */
using Message = std::variant<Subscribe, Unsubscribe, FleetUpdate, HeardBatch>;

/** A message to send. */
struct Outgoing
{
  ProcessId to;
  Message message;
};

} // namespace figchute::fleet
