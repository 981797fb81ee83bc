#pragma once

#include "core/Error.h"
#include "json/json.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace figchute::admin {

/** The address of one admin server. */
struct ServerAddress
{
  /** The numeric IP address; IPv6 without brackets. */
  std::string ip;
  std::uint16_t port = 0;
};

/** The settings of an AdminClient. */
struct ClientOptions
{
  /** The servers in the order in which they are tried; at least one. */
  std::vector<ServerAddress> servers;
  /** The bearer key sent with each request. */
  std::string key;
  /** The maximum time to establish a connection. */
  std::chrono::milliseconds connectTimeout{ 2000 };
  /** The maximum time to wait for a response. */
  std::chrono::milliseconds responseTimeout{ 8000 };
  /** The number of times that the list of servers is tried before the client gives up. */
  unsigned maxRounds = 3;
  /** The delay before the list is tried again. An election of the control processes takes about
      1 s. */
  std::chrono::milliseconds roundDelay{ 1000 };
};

/** A request to an admin server. */
struct ClientRequest
{
  /** "GET", "POST" or "DELETE". */
  std::string method;
  /** The path, which must contain only characters that need no escaping. */
  std::string path;
  /** The query without the question mark, already escaped. */
  std::string query;
  std::string body;
};

/** A final response of an admin server. */
struct ClientResponse
{
  unsigned status = 0;
  /** The name of the error kind; empty for status 200. */
  std::string error;
  /** The message of the error; empty for status 200. */
  std::string message;
  /** The whole body. */
  json::Value body;
};

/** Sends each request to the servers in turn until one returns a final response. All requests of
    the admin interface are idempotent (a document carries its change id), so a request whose
    response was lost is sent unchanged to the next server.
    Thread safety: use one instance from one thread at a time. */
class AdminClient
{
public:
  /** Creates a client. It connects when a request is sent. */
  explicit AdminClient(ClientOptions options);

  /** Sends a request and waits for a final response. A response is not final if the request may
      succeed at another server or at a later time (`no_quorum`, `shutting_down`, `timeout` and
      similar errors).
      @returns the response; `no_endpoint` if no server could be reached, `outcome_unknown` if a
               request was sent and every response was lost, or the error kind of the last response
               if no server returned a final one. The detail lists each server with its error. */
  Expected<ClientResponse> send(const ClientRequest& request);

private:
  struct Attempt;

  [[nodiscard]] Attempt sendTo(const ServerAddress& server, const ClientRequest& request) const;

  ClientOptions options_;
};

/** Escapes a text for use in a query.
    Thread safety: safe from any thread. */
std::string escapeQuery(const std::string& text);

} // namespace figchute::admin
