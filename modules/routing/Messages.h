#pragma once

#include "core/Types.h"
#include "routing/Work.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

MSGPACK_ADD_ENUM(figchute::routing::WorkKind)

namespace figchute::routing {

/** What an endpoint says about itself once a second. */
struct Announcement
{
  EndpointId id;
  std::string address;
  ZoneId zone;
  WorkKind kind = WorkKind::model;
  /** Models served, when kind is model. */
  std::vector<ModelName> models;
  /** Service served, when kind is plain. */
  ServiceName service;
  std::uint32_t slots = 1;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  bool checksFencing = false;
  bool leaving = false;
  /** When an entry VM received the announcement, by that VM's clock. Router::announce() sets it;
      the later of two announcements of one endpoint wins. */
  Time announced;

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
                 announced)
};

/** One step of LoadReport::age. */
constexpr Duration kAgeStep = std::chrono::milliseconds(50);

/** The part of an announcement that changes every second, in 7 bytes as a rule: 610 endpoints are
    refreshed to every VM within the 4 KB/s of section 1. An endpoint is named by the low 16 bits of
    the fingerprint of its id. A sender that knows two endpoints of one handle sends whole
    announcements for them. */
struct LoadReport
{
  std::uint16_t handle = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Age of the announcement when the report was sent, in steps of kAgeStep. */
  std::uint8_t age = 0;

  MSGPACK_DEFINE(handle, running, waiting, age)
};

/** Changes of the registry since the last message to the same VM. */
struct RegistryDelta
{
  /** Endpoints that are new, changed or leaving. */
  std::vector<Announcement> announcements;
  /** Endpoints of which only the load changed. */
  std::vector<LoadReport> loads;

  MSGPACK_DEFINE(announcements, loads)
};

/** Asks a neighbour for every announcement it has; sent by a VM that sees an unknown handle. */
struct RegistryRequest
{
  bool all = true;

  MSGPACK_DEFINE(all)
};

/** Tokens served for a workspace in one rank since the last message on the same link; negative when
    an answer turned out shorter than charged at its dispatch. */
struct ServedTokens
{
  WorkspaceId workspace;
  Rank rank = Rank::prompt;
  std::int64_t tokens = 0;

  MSGPACK_DEFINE(workspace, rank, tokens)
};

/** Requests that arrived under one rate limit since the last message on the same link. A limit is
    named by the low 32 bits of the fingerprint of its workspace or caller. */
struct ObservedDemand
{
  std::uint32_t limit = 0;
  std::uint32_t requests = 0;

  MSGPACK_DEFINE(limit, requests)
};

/** Increments of usage. Each VM adds them up and passes them on to its other neighbours, so that
    each VM counts each increment once. */
struct UsageDelta
{
  std::vector<ServedTokens> served;
  std::vector<ObservedDemand> demands;

  MSGPACK_DEFINE(served, demands)
};

/** What entry VMs send each other for routing. Every message tolerates loss. */
using Message = std::variant<RegistryDelta, RegistryRequest, UsageDelta>;

/** A message with its receiver. */
struct Outgoing
{
  ProcessId to;
  Message message;
};

/** The entry VMs that a router talks to, as membership sees them. */
struct Peers
{
  /** Neighbours in the zone. The links of a zone form a tree, so forwarding to all links but the
      one a message came from reaches each VM once. */
  std::vector<ProcessId> neighbours;
  /** Relays of the other zones; empty unless this VM is the relay of its zone. */
  std::vector<ProcessId> relays;
  /** Live entry VMs of the whole fleet, this one included. */
  std::uint32_t liveVms = 1;
  /** Live entry VMs of the zone, this one included. They divide the endpoints of the zone. */
  std::uint32_t zoneVms = 1;
  /** Position of this VM among the live VMs of the zone in order of their ids, from 0. */
  std::uint32_t zoneIndex = 0;
};

} // namespace figchute::routing
