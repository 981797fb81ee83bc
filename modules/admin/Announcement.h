#pragma once

#include "core/Error.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figchute::admin {

/** The kind of an endpoint. */
enum class EndpointKind : std::uint8_t
{
  /** A model engine that streams tokens. */
  model,
  /** An endpoint of a plain service. */
  plain,
};

/** The data that an endpoint reports about itself once a second. */
struct Announcement
{
  std::string id;
  /** The numeric IP address; IPv6 without brackets. */
  std::string ip;
  std::uint16_t port = 0;
  std::string zone;
  EndpointKind kind = EndpointKind::model;
  /** The service of a plain endpoint; empty for a model endpoint. */
  std::string service;
  /** The models of a model endpoint; empty for a plain endpoint. */
  std::vector<std::string> models;
  /** The number of requests that the endpoint runs concurrently; at least 1. */
  std::uint32_t slots = 1;
  /** The number of requests that are currently running. */
  std::uint32_t running = 0;
  /** The number of requests that are currently queued at the endpoint. */
  std::uint32_t waiting = 0;
  /** True if the endpoint refuses requests with an outdated fencing token. */
  bool checksFencing = false;
  /** True if the endpoint is about to stop and accepts no new work. */
  bool leaving = false;
};

/** Parses an announcement: an object with `id`, `address` ("IP:port"), `zone`, `kind` ("model" or
    "plain"), `service` or `models`, `slots`, and optionally `running`, `waiting`, `checks_fencing`
    and `leaving`. Other members are ignored, so that newer endpoints can announce themselves to
    older routers.
    @returns the announcement, or `bad_request` whose detail lists all faults, separated by "; "
    Thread safety: safe from any thread. */
Expected<Announcement> parseAnnouncement(const json::Value& value);

/** Converts an announcement to the JSON that parseAnnouncement() accepts.
    Thread safety: safe from any thread. */
json::Value toJson(const Announcement& announcement);

} // namespace figchute::admin
