#pragma once

#include "core/Error.h"
#include "json/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figchute::admin {

/** The kinds of endpoint. */
enum class EndpointKind : std::uint8_t
{
  /** A model engine that streams tokens. */
  model,
  /** An engine of a plain service. */
  plain,
};

/** What an endpoint says of itself once a second. */
struct Announcement
{
  std::string id;
  /** Numeric IP address, IPv6 without brackets. */
  std::string ip;
  std::uint16_t port = 0;
  std::string zone;
  EndpointKind kind = EndpointKind::model;
  /** The service of a plain endpoint; empty for a model endpoint. */
  std::string service;
  /** The models of a model endpoint; empty for a plain endpoint. */
  std::vector<std::string> models;
  /** Requests that the endpoint runs at a time, at least 1. */
  std::uint32_t slots = 1;
  /** Requests that run now. */
  std::uint32_t running = 0;
  /** Requests that wait at the endpoint now. */
  std::uint32_t waiting = 0;
  /** Whether the endpoint refuses orders with an old fencing number. */
  bool checksFencing = false;
  /** Whether the endpoint is about to stop and takes no new work. */
  bool leaving = false;
};

/** Reads an announcement: an object with `id`, `address` ("IP:port"), `zone`, `kind` ("model" or
    "plain"), `service` or `models`, `slots`, and optionally `running`, `waiting`, `checks_fencing`
    and `leaving`. Other members are ignored, so that newer endpoints can announce themselves to
    older routers.
    @returns the announcement, or `bad_request` whose detail names every fault, separated by "; "
    Thread safety: safe from any thread. */
Expected<Announcement> parseAnnouncement(const json::Value& value);

/** Writes the form that parseAnnouncement() reads. Thread safety: safe from any thread. */
json::Value toJson(const Announcement& announcement);

} // namespace figchute::admin
