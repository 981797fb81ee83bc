#pragma once

#include "dispatch/BrittleEndpoints.h"
#include "dispatch/ColdShares.h"
#include "dispatch/ConditionChanges.h"
#include "dispatch/CrashTable.h"
#include "dispatch/EndpointProbe.h"
#include "dispatch/Explanation.h"
#include "dispatch/LoadBalancerFigures.h"
#include "dispatch/RequestInfo.h"
#include "fleet/Messages.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::dispatch {

/** Settings of a dispatcher. */
struct DispatcherSettings
{
  ZoneId zone;
  std::uint64_t seed = 1;
  /** Repeat budget shared by all entry processes: a ratio of the requests in a sliding window plus
      a fixed slack. A repeat is any send of a request after its first. */
  double repeatRatio = 0.2;
  double repeatSlack = 58;
  Duration repeatWindow = std::chrono::seconds(10);
  /** Limit on the requests to a cold endpoint, shared by all entry processes. */
  ColdBounds coldBounds{};
  /** Distributes requests over engines by LoadBalancer. */
  bool evenLoad = false;
};

/** A rate limit of an endpoint that began, changed or ended. */
struct RateLimitChange
{
  EndpointId endpoint;
  /** Requests per second from all processes together; nothing if the limit ended. */
  std::optional<double> requestsPerSecond;
};

/** A restriction that an endpoint asked for and that began. */
struct EndpointRestricted
{
  EndpointId endpoint;
  /** How long this process sends it nothing; nothing if the endpoint leaves. */
  std::optional<Duration> backoff;
};

/** Chooses an endpoint for each send of a request. It does no I/O and reads no clock: the same
    calls with the same seed give the same results.
    Thread safety: use one instance from one thread only. */
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherSettings settings);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /** Replaces the configured services. */
  void setServices(Time now, std::span<const fleet::ServiceSettings> services);

  /** Replaces the endpoint records. Draining endpoints get no new requests. A record with the same
      id but another `startedAtMs` is a new endpoint. */
  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> endpoints);

  /** Replaces the evacuated zones. Their endpoints get no requests, including those that are
      registered later; requests that run there go on. */
  void setEvacuatedZones(Time now, std::span<const ZoneId> zones);

  /** Returns whether a zone is evacuated. */
  [[nodiscard]] bool isEvacuated(const ZoneId& zone) const;

  /** Returns the refusal of a request whose service has endpoints in evacuated zones only. */
  [[nodiscard]] std::optional<Refusal> refusalWhileEvacuated(Time now,
                                                             const RequestInfo& requestInfo) const;

  /** Sets the number of entry processes, at least 1, that share the connection limits and the
      repeat budget. */
  void setPeers(std::size_t entryProcesses);

  /** Sets the entry processes, including this one, that share the rate limits of endpoints. */
  void setProcesses(const ProcessId& self, std::span<const fleet::EntryProcess> processes);

  /** Chooses an endpoint for the next send of a request and counts the request as running there
      until finished() is called. The first call for a request id counts as a request of its
      service, each further call as a repeat.
      @param requestInfo  the request
      @param excluded     endpoints to which the request was sent before
      @returns where to send the request, or a refusal if no endpoint can take it now or the
               repeat budget is used up */
  tl::expected<ChosenEndpoint, Refusal> choose(Time now,
                                               const RequestInfo& requestInfo,
                                               std::span<const EndpointId> excluded);

  /** Returns where a request would be sent now, and what is known of the endpoints. Nothing is
      sent or counted, and the choices of later requests are not changed. Trials of endpoints with
      an open circuit breaker are not considered.
      @param requestInfo  a request that was not sent before */
  [[nodiscard]] Explanation explain(Time now, const RequestInfo& requestInfo);

  /** Reports the first byte of the answer. */
  void firstByte(Time now, std::uint64_t requestId);

  /** Reports output tokens received since the last call. */
  void progress(Time now, std::uint64_t requestId, std::int64_t tokens);

  /** Reports that this process reads nothing of the answer to the current send of a request until
      readingResumed(), because the caller is slow. The endpoint does not count as silent for this
      send in the meantime. */
  void readingPaused(std::uint64_t requestId);

  /** Reports that this process reads the answer again. The endpoint counts as silent if it sends
      nothing for too long from now on. Has no effect without readingPaused(). */
  void readingResumed(Time now, std::uint64_t requestId);

  /** Reports the end of the current send of a request. */
  void finished(Time now, std::uint64_t requestId, Outcome outcome);

  /** Removes the state of a request. Must be called once for each request id given to choose(). */
  void forget(std::uint64_t requestId);

  /** Sets the request rates of the entry processes, by which they share rate limits. */
  void setRequestRates(std::span<const fleet::RequestRate> rates);

  /** Returns the number of requests per second that this process gets. */
  [[nodiscard]] double requestsPerSecond(Time now) const;

  /** Reports the rate limit that the answer to the current send of a request named, if any. */
  void answerHead(Time now, std::uint64_t requestId, std::optional<double> requestsPerSecond);

  /** Reports the head of the answer to the current send of a request. */
  void responseHead(Time now, std::uint64_t requestId);

  /** Reports that the answer to the current send of a request said that its endpoint is cold.
      @param remaining  at least 0 */
  void endpointCold(Time now, std::uint64_t requestId, Duration remaining);

  /** Reports whether the answer to the current send of a request, which the endpoint itself wrote,
      said that the endpoint is brittle.
      @param maxRefusals  the refusals in a second that it survives, at least 0; nothing if the
                          answer did not say so */
  void endpointBrittle(std::uint64_t requestId, std::optional<double> maxRefusals);

  /** Sets when this process sent the newest message that control has answered. Without a recent
      one, it sends nothing to endpoints that it knows to be cold. */
  void setControlContact(Time sentAt);

  /** Returns what changed in the conditions of endpoints since the last call. */
  ConditionChanges takeConditionChanges();

  /** Reports that the answer to the current send of a request said that its endpoint leaves. This
      process sends nothing more to that incarnation of the endpoint. */
  void endpointLeaving(Time now, std::uint64_t requestId);

  /** Closes all circuit breakers. Call it when connections take another path than before. */
  void closeBreakers();

  /** Reports that the answer to the current send of a request asked this process to send nothing to
      the endpoint for some time.
      @param duration  at least 0 */
  void endpointBackoff(Time now, std::uint64_t requestId, Duration duration);

  /** Returns what the registry says of an endpoint, for log lines: "ready", "draining" or "gone".
   */
  [[nodiscard]] std::string_view stateOf(const EndpointId& endpoint) const;

  /** Returns whether an endpoint accepts no new requests for good: it announced that it drains or
      said so in an answer, its zone is evacuated, or it is not in the registry. */
  [[nodiscard]] bool isLeaving(const EndpointId& endpoint) const;

  /** Returns whether the endpoint chosen for the current send of a request may still get it. A
      delayed send may have to be withdrawn: report it with Outcome::withdrawn. */
  [[nodiscard]] bool maySend(Time now, std::uint64_t requestId);

  /** Returns the time until the first endpoint of a service ends its back-off; 0 if an endpoint has
      none, or if none will accept requests again. */
  [[nodiscard]] Duration timeUntilBackoffEnds(Time now, const ServiceName& service);

  /** Returns the restrictions that answers to this process set since the last call. */
  std::vector<EndpointRestricted> takeRestrictions();

  /** Adds rate limits that other processes observed. */
  void addRateLimits(Time now, std::span<const fleet::RateLimit> limits);

  /** Returns the rate limits that this process observed at @p since or later. */
  [[nodiscard]] std::vector<fleet::RateLimit> rateLimitsSince(Time now, Time since) const;

  /** Returns the rate limits that began, changed or ended in answers to this process since the last
      call. */
  std::vector<RateLimitChange> takeRateLimitChanges();

  /** Reports the load that an endpoint sent with an answer. */
  void load(Time now, const EndpointId& endpoint, const LoadReport& report);

  /** Adds crash reports of other processes. */
  void addCrashReports(Time now, std::span<const fleet::CrashReport> reports);

  /** Returns the crashes of endpoints during requests of this process since the last call. The
      caller reports them to the other processes. */
  std::vector<ObservedCrash> takeCrashes();

  /** Returns the crash reports that this process refuted since the last call. The caller sends them
      to the other processes. */
  std::vector<fleet::CrashReport> takeCrashRefutations();

  /** Returns the endpoints that may have crashed, once for each lost connection. The caller
     attempts to connect to them and reports the result with probed(). */
  std::vector<EndpointProbe> takeProbes();

  /** Reports the result of a probe.
      @param handle  EndpointProbe::handle */
  void probed(Time now, std::size_t handle, ProbeResult result);

  /** Returns the ids of requests whose endpoint has sent nothing for much longer than predicted,
      once per silence. These sends already count as failures of the endpoint. The caller may cancel
      them and repeat requests that may run more than once. */
  std::vector<std::uint64_t> takeStalled();

  /** Expires crash records and detects overdue sends. Call it about every 100 ms. */
  void tick(Time now);

  /** Returns log lines about causes of crashes that are newly refused, or accepted again, since the
      last call. */
  std::vector<std::string> takeCrashEvents();

  /** Returns what the even distribution of load did since the last call. */
  LoadBalancerFigures takeLoadBalancerFigures();

  /** Returns log lines about endpoints that were taken out of or back into rotation since the last
      call. */
  std::vector<std::string> takeEvents();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::dispatch
