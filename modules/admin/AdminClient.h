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
  /** Numeric IP address, IPv6 without brackets. */
  std::string ip;
  std::uint16_t port = 0;
};

/** Settings of an AdminClient. */
struct ClientOptions
{
  /** Servers in the order in which they are tried; at least one. */
  std::vector<ServerAddress> servers;
  /** Bearer key. */
  std::string key;
  /** Longest time for one connection to be made. */
  std::chrono::milliseconds connectTimeout{ 2000 };
  /** Longest time for one answer. */
  std::chrono::milliseconds answerTimeout{ 8000 };
  /** How often the list of servers is tried before the client gives up. */
  unsigned maxRounds = 3;
  /** Pause before the list is tried again: an election of the control processes takes about 1 s. */
  std::chrono::milliseconds pause{ 1000 };
};

/** One request to an admin server. */
struct ClientRequest
{
  /** "GET" or "POST". */
  std::string method;
  /** The path, of characters that need no escape. */
  std::string path;
  /** The query without the question mark, already escaped. */
  std::string query;
  std::string body;
};

/** A final answer of an admin server. */
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

/** Sends requests to the first server that gives a final answer. All requests of the admin
    interface have the same effect when they are sent again (a document carries its change id), so
    a request whose answer was lost is sent to the next server as it is.
    Thread safety: use one instance from one thread at a time. */
class AdminClient
{
public:
  /** Creates a client; it connects when it sends. */
  explicit AdminClient(ClientOptions options);

  /** Sends a request and waits for a final answer. Answers that say that another server or a later
      time may serve the request (`no_quorum`, `shutting_down`, `timeout` and the like) are not
      final.
      @returns the answer; `no_endpoint` when no server could be reached, `outcome_unknown` when a
               request was sent and every answer was lost, or the last answer's kind when no
               server gave a final answer; the detail names each server and what it said */
  Expected<ClientResponse> send(const ClientRequest& request);

private:
  struct Attempt;

  [[nodiscard]] Attempt sendTo(const ServerAddress& server, const ClientRequest& request) const;

  ClientOptions options_;
};

/** Escapes a text for use in a query. Thread safety: safe from any thread. */
std::string escapeQuery(const std::string& text);

} // namespace figchute::admin
