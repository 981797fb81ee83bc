#pragma once

#include "dispatch/Work.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace figchute::dispatch {

/** Identity and bounds of a dispatcher. */
struct DispatcherSettings
{
  ZoneId zone;
  std::uint64_t seed = 1;
  /** Common budget of repeats: a share of the requests of a window, plus a slack, over all
      processes. */
  double repeatRatio = 0.2;
  double repeatSlack = 58;
  Duration repeatWindow = std::chrono::seconds(10);
};

/** Chooses an endpoint for each send of a request. It does no I/O and reads no clock; with the same
    calls and the same seed it gives the same results.
    Thread safety: use one instance from one thread only. */
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherSettings settings);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** Replaces the services. */
  void setServices(Time now, std::span<const fleet::ServiceSettings> services);

  /** Replaces the endpoints. Draining ones get no work. An id with another `born` is a new
      endpoint. */
  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints);

  /** Sets the number of entry processes that share limits and budgets; at least 1. */
  void setPeers(std::size_t entryProcesses);

  /** Chooses an endpoint for the next send of a request and counts it as sent there until
      finished(). The first call for a work id counts as a request of its service, each further one
      as a repeat.
      @param work      the request
      @param excluded  endpoints that it was sent to before
      @returns where to send it; a refusal when no endpoint should take it now, or when a repeat is
      outside the budget */
  tl::expected<Choice, Refusal> choose(Time now,
                                       const Work& work,
                                       std::span<const EndpointId> excluded);

  /** The first byte of the answer came: the request runs. */
  void firstByte(Time now, std::uint64_t workId);

  /** Output tokens came since the last call. */
  void progress(Time now, std::uint64_t workId, std::int64_t tokens);

  /** One send ended. */
  void finished(Time now, std::uint64_t workId, Outcome outcome);

  /** The request is over; forgets it. Call it once for each work id given to choose(). */
  void forget(std::uint64_t workId);

  /** An endpoint reported its load with an answer. */
  void load(Time now, const EndpointId& endpoint, const LoadReport& report);

  /** Counts crashes that other processes saw. */
  void addCrashes(Time now, std::uint64_t fingerprint, std::uint64_t crashes);

  /** Returns the fingerprints of requests whose endpoint went down under them since the last call.
      They are to be told to the other processes. */
  std::vector<std::uint64_t> takeCrashes();

  /** Returns the ids of requests whose endpoint gave no sign of life for far longer than predicted,
      each once per send. They were counted as failures of the endpoint. The caller may cancel such
     a send and repeat a request that may run more than once. */
  std::vector<std::uint64_t> takeStalled();

  /** Advances time: half-open trials, expiry. Call it about every 100 ms. */
  void tick(Time now);

  /** Returns log lines about endpoints that were ejected or taken back since the last call. */
  std::vector<std::string> takeEvents();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::dispatch
