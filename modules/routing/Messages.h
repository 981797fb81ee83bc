#pragma once

#include "core/Types.h"
#include "routing/RequestInfo.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

MSGPACK_ADD_ENUM(figchute::routing::EndpointKind)

namespace figchute::routing {

/** The state that an endpoint announces once a second. */
struct Announcement
{
  EndpointId id;
  std::string address;
  ZoneId zone;
  EndpointKind kind = EndpointKind::model;
  /** Models served; used when kind is EndpointKind::model. */
  std::vector<ModelName> models;
  /** Service served; used when kind is EndpointKind::plain. */
  ServiceName service;
  std::uint32_t slots = 1;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  bool checksFencing = false;
  bool leaving = false;
  /** Time at which an entry VM received the announcement, by the clock of that VM. Set by
      Router::announce(). The later of two announcements of the same endpoint takes effect. */
  Time announcedAt;

  MSGPACK_DEFINE(id,
                 address,
                 zone,
                 kind,
                 models,
                 service,
                 slots,
                 running,
                 waiting,
                 checksFencing,
                 leaving,
                 announcedAt)
};

/** The unit of LoadReport::age. */
constexpr Duration kLoadReportAgeUnit = std::chrono::milliseconds(50);

/** The fields of an announcement that change every second. A report usually takes 7 bytes, so that
    610 endpoints can be refreshed at every VM within the limit of 4 KB/s from section 1. The handle
    is the low 16 bits of the fingerprint of the endpoint's id. If two endpoints share a handle,
    full announcements are sent for them instead. */
struct LoadReport
{
  std::uint16_t handle = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Age of the announcement when the report was sent, in multiples of kLoadReportAgeUnit. */
  std::uint8_t age = 0;

  MSGPACK_DEFINE(handle, running, waiting, age)
};

/** A summary of the endpoints of a zone that its relay sends once a second. It keeps these
    endpoints from expiring in other zones, to which only large load changes are sent. */
struct ZoneSummary
{
  ZoneId zone;
  /** Fingerprint of the live endpoints of the zone without their loads. A receiver whose own
      digest differs for several seconds requests all endpoints of the zone. */
  std::uint32_t digest = 0;
  /** Low 32 bits of the relay's clock in seconds. Each VM forwards a summary once. */
  std::uint32_t second = 0;

  MSGPACK_DEFINE(zone, digest, second)
};

/** Changes of the registry since the last message to the same VM. */
struct RegistryDelta
{
  /** Endpoints that are new, changed or leaving. */
  std::vector<Announcement> announcements;
  /** Endpoints for which only the load changed. */
  std::vector<LoadReport> loads;
  /** Summaries received from the relays of other zones, or sent by this VM as a relay. */
  std::vector<ZoneSummary> summaries;
  /** Endpoints that expired in their own zone. */
  std::vector<EndpointId> expired;
  /** Zones for which this message lists all endpoints; any other endpoint of them is removed. */
  std::vector<ZoneId> completeZones;

  MSGPACK_DEFINE(announcements, loads, summaries, expired, completeZones)
};

/** Requests all endpoints of a zone, or of all zones if the zone is empty. */
struct RegistryRequest
{
  ZoneId zone;

  MSGPACK_DEFINE(zone)
};

/** Tokens served for a workspace in one rank since the last message on the same link. The number is
    negative if an answer was shorter than charged at its dispatch. The workspace is identified by
    the low 32 bits of its fingerprint. */
struct ServedTokens
{
  std::uint32_t workspace = 0;
  Rank rank = Rank::prompt;
  std::int64_t tokens = 0;

  MSGPACK_DEFINE(workspace, rank, tokens)
};

/** Requests that arrived under one rate limit since the last message on the same link. The limit is
    identified by the low 32 bits of the fingerprint of its workspace or caller. */
struct ObservedDemand
{
  std::uint32_t limit = 0;
  std::uint32_t requests = 0;

  MSGPACK_DEFINE(limit, requests)
};

/** Increments of usage. Each VM adds them to its totals and forwards them to its other neighbours,
    so that every VM counts each increment once. */
struct UsageDelta
{
  std::vector<ServedTokens> served;
  std::vector<ObservedDemand> demands;

  MSGPACK_DEFINE(served, demands)
};

/** The routing messages between entry VMs. Loss of any message is tolerated. */
using Message = std::variant<RegistryDelta, RegistryRequest, UsageDelta>;

/** A message and its receiver. */
struct OutgoingMessage
{
  ProcessId to;
  Message message;
};

/** The entry VMs that a router exchanges messages with, as determined by membership. */
struct Peers
{
  /** Neighbours in the zone. The links of a zone form a tree, so that a message that is forwarded
      on all links except the one it arrived on reaches each VM once. */
  std::vector<ProcessId> neighbours;
  /** Relays of the other zones; empty unless this VM is the relay of its zone. */
  std::vector<ProcessId> relays;
  /** Number of live entry VMs in the fleet, including this one. */
  std::uint32_t liveVms = 1;
  /** Number of live entry VMs in the zone, including this one. The capacity of the endpoints of the
      zone is divided among them. */
  std::uint32_t zoneVms = 1;
  /** Position of this VM among the live VMs of the zone in order of their ids, starting from 0. */
  std::uint32_t zoneIndex = 0;
};

} // namespace figchute::routing
