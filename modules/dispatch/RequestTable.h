#pragma once

#include "dispatch/CrashTable.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/RequestInfo.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace figchute::dispatch {

/** One send of a request that has not ended. */
struct Send
{
  std::size_t handle = 0;
  /** Endpoint::incarnation of the endpoint. */
  std::uint64_t incarnation = 0;
  Time sentAt;
  /** Time of the last byte of the answer; the send time before the first byte. */
  Time lastByteAt;
  bool headReceived = false;
  bool firstByteReceived = false;
  /** The process reads nothing of the answer, because its caller is slow. */
  bool readingPaused = false;
  /** Number of times that output tokens were received. */
  std::uint32_t progressCount = 0;
  TokenWindow tokenWindow;
  /** The send is a trial of an endpoint with an open breaker. */
  bool trial = false;
  /** The send counts as a failure because it received no bytes for too long; it counts once. */
  bool overdue = false;
  /** The send has received no bytes for too long and was reported as stalled. */
  bool silent = false;
  /** Time that the engine needs to prefill the uncached tokens. */
  Duration prefill{};
  /** Estimated time to the first token, without the requests of other processes. */
  Duration baseTtft{};
  /** Estimated time to the first token. */
  Duration predictedTtft{};
};

/** Records tokens that a send received after its first byte in the models of its endpoint. */
void recordTokens(Time now, Endpoint& endpoint, Send& send, std::int64_t tokens);

/** State of a request until forget() is called for it. */
struct RequestState
{
  ServiceName service;
  fleet::RouteKind kind = fleet::RouteKind::once;
  int priority = 5;
  std::string workspace;
  Duration target{};
  std::int64_t promptTokens = 0;
  CrashCandidates crashCandidates;
  /** Sends that reached an endpoint or may have, including the current one. */
  int sends = 0;
  std::optional<Send> send;
};

/** The requests of this process, with the number of sends of each workspace.
    Thread safety: use one instance from one thread only. */
class RequestTable
{
public:
  /** Returns the state of a request, and creates it if the id is unknown. */
  RequestState& findOrCreate(const RequestInfo& requestInfo);

  /** Returns the state of a request, or nullptr if the id is unknown. */
  RequestState* find(std::uint64_t requestId);

  /** Adds a send to a request that has none. */
  void beginSend(RequestState& request, const Send& send);

  /** Removes the send of a request and returns it. */
  Send endSend(RequestState& request);

  /** Removes a request whose send has ended. */
  void forget(std::uint64_t requestId) { requests_.erase(requestId); }

  /** Returns whether a workspace has at most the mean number of sends of the workspaces with any.
   */
  [[nodiscard]] bool isSmallWorkspace(const ServiceName& service,
                                      const std::string& workspace) const;

  /** Returns the requests in order of their ids. */
  [[nodiscard]] std::map<std::uint64_t, RequestState>& all() { return requests_; }

private:
  struct Totals
  {
    std::size_t sends = 0;
    std::map<std::string, std::size_t> sendsByWorkspace;
  };

  std::map<std::uint64_t, RequestState> requests_;
  std::map<ServiceName, Totals> totals_;
};

} // namespace figchute::dispatch
