#pragma once

#include "dispatch/CircuitBreaker.h"
#include "dispatch/EnginePace.h"
#include "dispatch/PromptCacheModel.h"
#include "dispatch/TimeToFirstTokenModel.h"
#include "fleet/Endpoint.h"
#include "routing/EndpointChooser.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace figchute::dispatch {

/** All that this process knows of one endpoint. */
struct Endpoint
{
  /** Never used again for another endpoint. */
  std::size_t place = 0;
  fleet::EndpointRecord record;
  /** Equal on all processes. */
  std::uint64_t hash = 0;
  Time warmUntil;
  /** Reports come with an answer, so they are about as old as the way through the network. */
  routing::LoadEstimate load{ Duration(std::chrono::milliseconds(2)) };
  /** From the last report, else from the record. */
  int slots = 1;
  /** Last load report. */
  Time reportedAt;
  /** Last byte of any answer. */
  Time heardAt;
  /** Until when it is probably full because it refused a request. */
  Time fullUntil;
  CircuitBreaker breaker;
  PromptCacheModel cache;
  TimeToFirstTokenModel firstToken;
  EnginePace pace;
  /** Prompt tokens of this process's requests there. */
  std::int64_t heldTokens = 0;
};

/** The endpoints of all services.
    Thread safety: use one instance from one thread only. */
class EndpointTable
{
public:
  /** Replaces the records. An endpoint keeps what is known of it while its id and start time stay
      the same.
      @returns the places of endpoints that are gone */
  std::vector<std::size_t> replace(Time now, std::span<const fleet::EndpointRecord> records);

  /** Returns the places of a service's endpoints in order of their ids; empty for an unknown one.
      Valid until the next replace(). */
  [[nodiscard]] std::span<const std::size_t> ofService(const ServiceName& service) const;

  /** Returns an endpoint, or nullptr when it is gone. */
  [[nodiscard]] Endpoint* find(std::size_t place);
  [[nodiscard]] Endpoint* find(const EndpointId& id);

  /** Returns how many endpoints of a service are out. */
  [[nodiscard]] std::size_t openBreakers(const ServiceName& service);

  /** Returns all endpoints by place. */
  [[nodiscard]] std::map<std::size_t, Endpoint>& all() { return endpoints_; }

private:
  std::size_t nextPlace_ = 1;
  std::map<std::size_t, Endpoint> endpoints_;
  std::map<EndpointId, std::size_t> byId_;
  std::map<ServiceName, std::vector<std::size_t>> byService_;
};

} // namespace figchute::dispatch
