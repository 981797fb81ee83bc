#pragma once

#include "dispatch/CircuitBreaker.h"
#include "dispatch/EngineSpeed.h"
#include "dispatch/PrefillBacklogEstimator.h"
#include "dispatch/PromptCacheModel.h"
#include "dispatch/TimeToFirstTokenModel.h"
#include "fleet/Endpoint.h"
#include "routing/EndpointSelector.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace figchute::dispatch {

/** The state that this process keeps for one endpoint. */
struct Endpoint
{
  /** Identifies the endpoint in this process; never reused. */
  std::size_t handle = 0;
  fleet::EndpointRecord record;
  /** Hash of the id, equal on all processes. */
  std::uint64_t hash = 0;
  /** Hash of the id and the start time, equal on all processes. */
  std::uint64_t incarnation = 0;
  /** By this process's clock, counted from when it received the announcement. */
  Time warmupUntil;
  /** The highest sequence of an announcement that was counted in @ref warmupUntil. */
  std::uint64_t warmupSequence = 0;
  /** Load reports arrive with answers, so their age is about the network latency. */
  routing::LoadEstimate load{ Duration(std::chrono::milliseconds(2)) };
  /** From the last load report, else from the record. */
  int slots = 1;
  /** Time of the last load report. */
  Time lastReportAt;
  /** Time of the last byte of any answer. */
  Time lastByteAt;
  /** The endpoint refused a request and is probably full until this time. */
  Time fullUntil;
  CircuitBreaker breaker;
  PromptCacheModel cache;
  TimeToFirstTokenModel ttftModel;
  PrefillBacklogEstimator prefillBacklog;
  /** Running sends of this process without the head of an answer. */
  int unansweredSends = 0;
  EngineSpeed speed;
  /** Prompt tokens of this process's running requests. */
  std::int64_t outstandingPromptTokens = 0;
};

/** The endpoints of all services.
    Thread safety: use one instance from one thread only. */
class EndpointTable
{
public:
  /** Replaces the records. The state of an endpoint is kept while its id and start time stay the
      same.
      @returns the handles of the endpoints that were removed */
  std::vector<std::size_t> replace(Time now, std::span<const fleet::EndpointRecord> records);

  /** Returns the handles of a service's endpoints in order of their ids; empty for an unknown
      service. The result is valid until the next replace(). */
  [[nodiscard]] std::span<const std::size_t> handlesOf(const ServiceName& service) const;

  /** Returns an endpoint, or nullptr if it does not exist or was removed. */
  [[nodiscard]] Endpoint* find(std::size_t handle);
  [[nodiscard]] Endpoint* find(const EndpointId& id);

  /** Returns all endpoints by handle. */
  [[nodiscard]] std::map<std::size_t, Endpoint>& all() { return endpoints_; }

private:
  std::size_t nextHandle_ = 1;
  std::map<std::size_t, Endpoint> endpoints_;
  std::map<EndpointId, std::size_t> handleById_;
  std::map<ServiceName, std::vector<std::size_t>> handlesByService_;
};

} // namespace figchute::dispatch
