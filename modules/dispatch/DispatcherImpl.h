#pragma once

#include "dispatch/Admission.h"
#include "dispatch/Dispatcher.h"
#include "dispatch/EndpointAvailability.h"
#include "dispatch/EndpointConditions.h"
#include "dispatch/EndpointHealth.h"
#include "dispatch/EndpointRestrictions.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/EngineSelector.h"
#include "dispatch/PlainEndpointSelection.h"
#include "dispatch/RateLimitShares.h"
#include "dispatch/RepeatBudget.h"
#include "dispatch/RequestTable.h"
#include "dispatch/SendTimeouts.h"
#include "dispatch/ServiceState.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::dispatch {
namespace detail {

/** Shares of the repeat budget that the processes use together. The margin keeps their sum within
    the budget when traffic is distributed unevenly over the processes. */
inline constexpr double kRatioShare = 0.75;
inline constexpr double kSlackShare = 0.5;

/** A request is not repeated after this many lost connections: if it crashes its endpoints, its own
    repeats would reach the crash limit of all processes. */
inline constexpr std::size_t kLostConnectionLimit = 2;

/** A trial is delayed by up to this time until a request arrives that may be repeated. */
inline constexpr Duration kTrialWait = std::chrono::seconds(2);

inline constexpr Duration kRequestRateWindow = std::chrono::seconds(10);

} // namespace detail

/** The state and the decisions of a Dispatcher.
    Thread safety: use one instance from one thread only. */
class Dispatcher::Impl
{
public:
  explicit Impl(DispatcherSettings settings)
    : settings_(std::move(settings))
    , engineChoice_(settings_.zone)
    , totalRepeats_(settings_.repeatWindow)
  {
    limits_.cold().setBounds(settings_.coldBounds);
  }

  void setServices(Time now, std::span<const fleet::ServiceSettings> services)
  {
    replaceServices(services_, services, settings_.repeatWindow);
    conditions_.update(now);
  }

  void setEndpoints(Time now, std::span<const fleet::EndpointRecord> records)
  {
    for (const auto handle : endpoints_.replace(now, records)) {
      health_.recordRemoval(now, handle);
    }
    conditions_.update(now);
  }

  void setPeers(std::size_t entryProcesses)
  {
    entryProcesses_ = std::max<std::size_t>(entryProcesses, 1);
  }

  tl::expected<ChosenEndpoint, Refusal> choose(Time now,
                                               const RequestInfo& requestInfo,
                                               std::span<const EndpointId> excluded)
  {
    now_ = now;
    const auto service = services_.find(requestInfo.service);
    if (service == services_.end()) {
      return tl::unexpected(
        makeRefusal(now, requestInfo, ErrorKind::noEndpoint, kMaxRetryAfter, "unknown service"));
    }
    if (auto refusal = health_.refuseCrashing(now, requestInfo)) {
      return tl::unexpected<Refusal>(std::move(*refusal));
    }
    if (auto refusal = admitAttempt(now, requestInfo, service->second)) {
      return tl::unexpected<Refusal>(*refusal);
    }
    auto choice = service->second.settings.engine
                    ? chooseEngine(now, requestInfo, service->second, excluded)
                    : choosePlain(now, requestInfo, service->second, excluded);
    return choice;
  }

  Explanation explain(Time now, const RequestInfo& requestInfo)
  {
    Explanation explanation;
    const auto entry = services_.find(requestInfo.service);
    if (entry == services_.end()) {
      explanation.refusal =
        makeRefusal(now, requestInfo, ErrorKind::noEndpoint, kMaxRetryAfter, "unknown service");
      return explanation;
    }
    // A choice counts the request and draws random numbers, so it is made on copies.
    auto service = entry->second;
    const auto balancer = balancer_;
    const auto engineChoice = engineChoice_;
    explanation.endpoints = explainEndpoints(now, requestInfo, service);
    explanation.refusal = health_.refuseCrashing(now, requestInfo);
    if (!explanation.refusal) {
      const auto choice = service.settings.engine ? findEngine(now, requestInfo, service, {})
                                                  : findPlain(now, requestInfo, service, {});
      if (choice) {
        explanation.chosen = choice->endpoint->record.id;
        addPredictions(now, requestInfo, service, explanation.endpoints);
      } else {
        explanation.refusal = choice.error();
      }
    }
    balancer_ = balancer;
    engineChoice_ = engineChoice;
    return explanation;
  }

  void firstByte(Time now, std::uint64_t requestId)
  {
    auto* request = requests_.find(requestId);
    if (request == nullptr || !request->send || request->send->firstByteReceived) {
      return;
    }
    auto& send = *request->send;
    conditions_.recordHead(now, send);
    send.firstByteReceived = true;
    send.lastByteAt = now;
    if (auto* endpoint = endpoints_.find(send.handle)) {
      endpoint->lastByteAt = now;
      endpoint->ttftModel.removePendingPrefill(request->priority, send.prefill);
      endpoint->ttftModel.recordFirstToken(now, send.baseTtft, now - send.sentAt);
      endpoint->prefillBacklog.streamStarted(now);
      health_.firstByteReceived(send);
    }
  }

  void progress(Time now, std::uint64_t requestId, std::int64_t tokens)
  {
    auto* request = requests_.find(requestId);
    if (request == nullptr || !request->send) {
      return;
    }
    auto& send = *request->send;
    if (++send.progressCount == 2) {
      health_.answerContinues(now, *request);
    }
    if (auto* endpoint = endpoints_.find(send.handle)) {
      endpoint->lastByteAt = now;
      if (send.firstByteReceived) {
        recordTokens(now, *endpoint, send, tokens);
      }
    }
    send.lastByteAt = now;
    send.silent = false;
  }

  void finished(Time now, std::uint64_t requestId, Outcome outcome)
  {
    auto* request = requests_.find(requestId);
    if (request == nullptr || !request->send) {
      return;
    }
    now_ = std::max(now_, now);
    const auto send = requests_.endSend(*request);
    if (outcome == Outcome::notConnected || outcome == Outcome::withdrawn) {
      // Nothing reached an endpoint, so the request has used neither an attempt nor a repeat.
      --request->sends;
    }
    auto* endpoint = endpoints_.find(send.handle);
    if (endpoint == nullptr) {
      health_.recordEndAfterRemoval(now, *request, send, outcome);
      return;
    }
    conditions_.recordEnd(now, send, *endpoint, outcome);
    endpoint->load.adjustOwnRequests(now, -1);
    endpoint->outstandingPromptTokens -= request->promptTokens;
    if (!send.firstByteReceived) {
      endpoint->ttftModel.removePendingPrefill(request->priority, send.prefill);
    } else {
      endpoint->prefillBacklog.streamEnded();
    }
    recordEnd(now, *request, send, *endpoint, outcome);
  }

  void forget(Time now, std::uint64_t requestId)
  {
    finished(now, requestId, Outcome::cancelled);
    requests_.forget(requestId);
  }

  void load(Time now, const EndpointId& id, const LoadReport& report)
  {
    auto* endpoint = endpoints_.find(id);
    if (endpoint == nullptr) {
      return;
    }
    endpoint->lastByteAt = now;
    endpoint->lastReportAt = now;
    endpoint->load.report(now,
                          static_cast<std::uint32_t>(std::max(report.running, 0)) +
                            static_cast<std::uint32_t>(std::max(report.waiting, 0)));
    if (report.slots > 0) {
      endpoint->slots = report.slots;
    }
  }

  void tick(Time now)
  {
    now_ = now;
    health_.crashes().expire(now);
    limits_.expire(now);
    restrictions_.expire(now);
    for (auto& [id, request] : requests_.all()) {
      auto* endpoint = request.send ? endpoints_.find(request.send->handle) : nullptr;
      if (endpoint == nullptr || request.send->silent ||
          !isOverdue(now, request, endpoint->lastByteAt)) {
        continue;
      }
      request.send->silent = true;
      stalled_.push_back(id);
      if (!std::exchange(request.send->overdue, true)) {
        health_.recordSilence(now, *request.send, *endpoint);
      }
    }
  }

  void readingPaused(std::uint64_t requestId)
  {
    if (auto* request = requests_.find(requestId); request != nullptr && request->send) {
      request->send->readingPaused = true;
    }
  }

  void readingResumed(Time now, std::uint64_t requestId)
  {
    auto* request = requests_.find(requestId);
    if (request != nullptr && request->send && std::exchange(request->send->readingPaused, false)) {
      request->send->lastByteAt = now;
    }
  }

  void answerHead(Time now, std::uint64_t requestId, std::optional<double> requestsPerSecond)
  {
    auto* request = requests_.find(requestId);
    if (request == nullptr || !request->send) {
      return;
    }
    const auto& send = *request->send;
    const auto* endpoint = endpoints_.find(send.handle);
    if (endpoint != nullptr &&
        limits_.recordAnswer(now, rateLimitKeyOf(*endpoint), send.sentAt, requestsPerSecond)) {
      limitChanges_.push_back({ endpoint->record.id, requestsPerSecond });
    }
  }

  void responseHead(Time now, std::uint64_t requestId)
  {
    auto* request = requests_.find(requestId);
    if (request != nullptr && request->send) {
      conditions_.recordHead(now, *request->send);
    }
  }

  void endpointCold(Time now, std::uint64_t requestId, Duration remaining)
  {
    if (const auto* send = currentSend(requestId)) {
      conditions_.recordCold(now, *send, remaining);
    }
  }

  void endpointBrittle(std::uint64_t requestId, std::optional<double> maxRefusals)
  {
    if (const auto* send = currentSend(requestId)) {
      conditions_.recordBrittle(*send, maxRefusals);
    }
  }

  void closeBreakers()
  {
    for (auto& [handle, endpoint] : endpoints_.all()) {
      endpoint.breaker = CircuitBreaker();
    }
  }

  void endpointLeaving(Time now, std::uint64_t requestId)
  {
    const auto* send = currentSend(requestId);
    if (send != nullptr && restrictions_.recordLeaving(now, send->incarnation)) {
      noteRestriction(*send, std::nullopt);
    }
  }

  void endpointBackoff(Time now, std::uint64_t requestId, Duration duration)
  {
    const auto* send = currentSend(requestId);
    if (send != nullptr && restrictions_.recordBackoff(now, send->incarnation, duration)) {
      noteRestriction(*send, *restrictions_.backoffEnd(now, send->incarnation) - now);
    }
  }

  [[nodiscard]] bool maySend(Time now, std::uint64_t requestId)
  {
    const auto* send = currentSend(requestId);
    if (send == nullptr) {
      return false;
    }
    const auto* endpoint = endpoints_.find(send->handle);
    return endpoint != nullptr && availability_.acceptsRequests(now, *endpoint) &&
           conditions_.mayStillSend(now, *send, *endpoint);
  }

  [[nodiscard]] std::string_view stateOf(const EndpointId& id)
  {
    const auto* endpoint = endpoints_.find(id);
    if (endpoint == nullptr) {
      return "gone";
    }
    return endpoint->record.state == fleet::EndpointState::draining ? "draining" : "ready";
  }

  [[nodiscard]] bool isLeaving(const EndpointId& id)
  {
    const auto* endpoint = endpoints_.find(id);
    return endpoint == nullptr || availability_.isLeaving(*endpoint);
  }

  std::vector<EndpointRestricted> takeRestrictions() { return std::exchange(newRestrictions_, {}); }

  std::vector<RateLimitChange> takeRateLimitChanges() { return std::exchange(limitChanges_, {}); }

  EndpointAvailability& availability() { return availability_; }

  RateLimitShares& limits() { return limits_; }

  EndpointConditions& conditions() { return conditions_; }

  [[nodiscard]] double requestsPerSecond(Time now) const { return newRequests_.perSecond(now); }

  [[nodiscard]] Time now() const { return now_; }

  EndpointHealth& health() { return health_; }
  LoadBalancerFigures takeLoadBalancerFigures() { return balancer_.takeFigures(); }
  std::vector<std::string> takeEvents() { return health_.takeEvents(); }
  std::vector<std::uint64_t> takeStalled() { return std::exchange(stalled_, {}); }

private:
  /** Counts a request or cancels its previous send; returns a refusal if another attempt is not
      allowed. */
  std::optional<Refusal> admitAttempt(Time now,
                                      const RequestInfo& requestInfo,
                                      ServiceState& service)
  {
    const bool isNewRequest = requests_.find(requestInfo.id) == nullptr;
    auto& request = requests_.findOrCreate(requestInfo);
    if (isNewRequest && !requestInfo.isRepeat) {
      service.repeats.countRequest(now);
      totalRepeats_.countRequest(now);
      newRequests_.add(now, 1);
    }
    if (request.send) {
      finished(now, requestInfo.id, Outcome::cancelled);
    }
    if (request.sends == 0 && !requestInfo.isRepeat) {
      return std::nullopt;
    }
    const auto suspectedCrashes = health_.crashes().suspectedCrashes(request.crashCandidates);
    if (request.sends >= requestInfo.maxAttempts ||
        suspectedCrashes >= detail::kLostConnectionLimit) {
      return Refusal{ ErrorKind::endpointFailed, kMinRetryAfter, "no attempts left" };
    }
    const double ratio = detail::kRatioShare * settings_.repeatRatio;
    const double slack =
      detail::kSlackShare * settings_.repeatSlack / static_cast<double>(entryProcesses_);
    if (!service.repeats.allows(now, ratio, slack) || !totalRepeats_.allows(now, ratio, slack)) {
      return Refusal{ ErrorKind::overloaded, kMaxRetryAfter, "the repeat budget is exhausted" };
    }
    return std::nullopt;
  }

  [[nodiscard]] std::size_t connectionsPerProcess(const ServiceState& service) const
  {
    const auto totalConnections =
      static_cast<std::size_t>(std::max(service.settings.maxConnections, 1));
    return std::max<std::size_t>(totalConnections / entryProcesses_, 1);
  }

  /** Returns the endpoints with a closed breaker that may take the request. */
  std::vector<Candidate> findCandidates(Time now,
                                        const RequestInfo& requestInfo,
                                        const ServiceState& service,
                                        std::span<const EndpointId> excluded)
  {
    std::vector<Candidate> candidates;
    for (const auto handle : endpoints_.handlesOf(requestInfo.service)) {
      auto& endpoint = *endpoints_.find(handle);
      if (!endpoint.breaker.isOpen() && isEligible(now, endpoint, requestInfo, service, excluded)) {
        candidates.push_back(makeCandidate(now, endpoint));
      }
    }
    return candidates;
  }

  [[nodiscard]] Admission admissionFor(const RequestInfo& requestInfo) const
  {
    return { requestInfo.priority,
             requests_.isSmallWorkspace(requestInfo.service, requestInfo.workspace) };
  }

  /** Returns why an endpoint cannot take a request, apart from its circuit breaker. */
  [[nodiscard]] Obstacle obstacleOf(Time now,
                                    const Endpoint& endpoint,
                                    const RequestInfo& requestInfo,
                                    const ServiceState& service)
  {
    if (!availability_.acceptsRequest(now, endpoint, requestInfo)) {
      return Obstacle::notAccepting;
    }
    if (endpoint.load.ownRequests() >=
        admissionFor(requestInfo).connectionLimit(connectionsPerProcess(service))) {
      return Obstacle::connectionsInUse;
    }
    if (!conditions_.maySend(now, endpoint)) {
      return Obstacle::brittle;
    }
    return limits_.maySend(now, rateLimitKeyOf(endpoint)) ? Obstacle::none : Obstacle::rateLimited;
  }

  [[nodiscard]] bool isEligible(Time now,
                                const Endpoint& endpoint,
                                const RequestInfo& requestInfo,
                                const ServiceState& service,
                                std::span<const EndpointId> excluded)
  {
    return std::find(excluded.begin(), excluded.end(), endpoint.record.id) == excluded.end() &&
           obstacleOf(now, endpoint, requestInfo, service) == Obstacle::none;
  }

  [[nodiscard]] const Send* currentSend(std::uint64_t requestId)
  {
    const auto* request = requests_.find(requestId);
    return request != nullptr && request->send ? &*request->send : nullptr;
  }

  void noteRestriction(const Send& send, std::optional<Duration> backoff)
  {
    if (const auto* endpoint = endpoints_.find(send.handle)) {
      newRestrictions_.push_back({ endpoint->record.id, backoff });
    }
  }

  [[nodiscard]] Candidate makeCandidate(Time now, Endpoint& endpoint)
  {
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.load = endpoint.load.current();
    candidate.inOwnZone = endpoint.record.zone == settings_.zone;
    candidate.isLimited = limits_.allowedRate(now, rateLimitKeyOf(endpoint)).has_value();
    return candidate;
  }

  /** Returns an endpoint with an open breaker for which the request can serve as a trial, if any.
   */
  std::optional<Candidate> findTrial(Time now,
                                     const RequestInfo& requestInfo,
                                     const ServiceState& service,
                                     std::span<const EndpointId> excluded)
  {
    if (requestInfo.isRepeat) {
      return std::nullopt;
    }
    const bool isRepeatable =
      requestInfo.kind == fleet::RouteKind::repeatable || requestInfo.resumable;
    const bool canBeRepeated =
      isRepeatable && requestInfo.maxAttempts > static_cast<int>(excluded.size()) + 1;
    for (const auto handle : endpoints_.handlesOf(requestInfo.service)) {
      auto& endpoint = *endpoints_.find(handle);
      if (!endpoint.breaker.isTrialDue(now) ||
          !isEligible(now, endpoint, requestInfo, service, excluded)) {
        continue;
      }
      const bool isSafeTrial = canBeRepeated || endpoint.breaker.isOpenAfterLostConnection();
      if (isSafeTrial || now >= endpoint.breaker.nextTrialAt() + detail::kTrialWait) {
        return makeCandidate(now, endpoint);
      }
    }
    return std::nullopt;
  }

  /** Returns what distributes the load of a service evenly; null if its engines are too few. */
  [[nodiscard]] LoadBalancer* balancerFor(const ServiceName& service)
  {
    const bool isUsed =
      settings_.evenLoad && endpoints_.handlesOf(service).size() >= LoadBalancer::kMinEngines;
    return isUsed ? &balancer_ : nullptr;
  }

  [[nodiscard]] EngineContext engineContext(Time now,
                                            const RequestInfo& requestInfo,
                                            ServiceState& service)
  {
    return { now,
             service.settings.engine->kvCapacity,
             service.serviceTime,
             service.updateTrafficShare(endpoints_, entryProcesses_),
             balancerFor(requestInfo.service) };
  }

  tl::expected<ChosenEndpoint, Refusal> chooseEngine(Time now,
                                                     const RequestInfo& requestInfo,
                                                     ServiceState& service,
                                                     std::span<const EndpointId> excluded)
  {
    const auto keys = prefixKeys(requestInfo);
    if (auto trial = findTrial(now, requestInfo, service, excluded)) {
      EngineSelector::predict(engineContext(now, requestInfo, service), requestInfo, keys, *trial);
      return recordSend(now, requestInfo, service, keys, *trial);
    }
    const auto choice = findEngine(now, requestInfo, service, excluded);
    if (!choice) {
      return tl::unexpected(choice.error());
    }
    return recordSend(now, requestInfo, service, keys, *choice);
  }

  /** Chooses one of the engines with a closed breaker. */
  tl::expected<Candidate, Refusal> findEngine(Time now,
                                              const RequestInfo& requestInfo,
                                              ServiceState& service,
                                              std::span<const EndpointId> excluded)
  {
    const auto keys = prefixKeys(requestInfo);
    const auto context = engineContext(now, requestInfo, service);
    auto candidates = findCandidates(now, requestInfo, service, excluded);
    if (candidates.empty()) {
      return tl::unexpected(
        availability_.refusalWithoutCandidate(now, requestInfo, service.serviceTime));
    }
    if (context.balancer != nullptr) {
      context.balancer->estimate(now, service.serviceTime, candidates);
    }
    const auto admission = admissionFor(requestInfo);
    auto retryAfter = kMaxRetryAfter;
    bool allEnginesFull = true;
    for (auto& candidate : candidates) {
      const auto slots = candidate.endpoint->slots;
      const auto limit = admission.maxEngineLoad(slots);
      if (candidate.load < limit) {
        allEnginesFull = false;
      }
      retryAfter =
        std::min(retryAfter,
                 Admission::timeUntilCapacity(candidate.load, limit, slots, service.serviceTime));
      EngineSelector::predict(context, requestInfo, keys, candidate);
    }
    if (allEnginesFull) {
      return tl::unexpected(
        makeRefusal(now, requestInfo, ErrorKind::overloaded, retryAfter, "all engines are full"));
    }
    return pickEngine(context, requestInfo, service, keys, candidates);
  }

  /** Chooses one of the engines: the best one without a rate limit, or a limited one. */
  Candidate pickEngine(const EngineContext& context,
                       const RequestInfo& requestInfo,
                       ServiceState& service,
                       std::span<const Fingerprint> keys,
                       std::span<Candidate> candidates)
  {
    service.limitedEngines.addRequest(context.now, requestInfo.promptTokens);
    const auto firstLimited =
      std::stable_partition(candidates.begin(), candidates.end(), [](const Candidate& candidate) {
        return !candidate.isLimited;
      });
    const std::span unlimited(candidates.begin(), firstLimited);
    const std::span limited(firstLimited, candidates.end());
    if (unlimited.empty()) {
      return limited[engineChoice_.pick(context, requestInfo, keys, limited)];
    }
    const auto& choice = unlimited[engineChoice_.pick(context, requestInfo, keys, unlimited)];
    if (limited.empty()) {
      return choice;
    }
    const auto allowance = allowanceOf(context.now, requestInfo.service);
    const auto* limitedChoice =
      service.limitedEngines.pick(context.now, requestInfo, allowance, limited, choice);
    return limitedChoice != nullptr ? *limitedChoice : choice;
  }

  /** Returns what the rate limits of a service's endpoints allow this process. */
  LimitedEngineSelector::Allowance allowanceOf(Time now, const ServiceName& service)
  {
    LimitedEngineSelector::Allowance allowance;
    for (const auto handle : endpoints_.handlesOf(service)) {
      const auto rate = limits_.allowedRate(now, rateLimitKeyOf(*endpoints_.find(handle)));
      allowance.requestsPerSecond += rate.value_or(0);
      allowance.engines += rate.value_or(0) > 0 ? 1 : 0;
    }
    return allowance;
  }

  tl::expected<ChosenEndpoint, Refusal> choosePlain(Time now,
                                                    const RequestInfo& requestInfo,
                                                    ServiceState& service,
                                                    std::span<const EndpointId> excluded)
  {
    const std::vector<Fingerprint> keys;
    if (const auto trial = findTrial(now, requestInfo, service, excluded)) {
      return recordSend(now, requestInfo, service, keys, *trial);
    }
    const auto choice = findPlain(now, requestInfo, service, excluded);
    if (!choice) {
      return tl::unexpected(choice.error());
    }
    return recordSend(now, requestInfo, service, keys, *choice);
  }

  /** Chooses one of the endpoints of a plain service with a closed breaker. */
  tl::expected<Candidate, Refusal> findPlain(Time now,
                                             const RequestInfo& requestInfo,
                                             const ServiceState& service,
                                             std::span<const EndpointId> excluded)
  {
    auto candidates = findCandidates(now, requestInfo, service, excluded);
    if (candidates.empty()) {
      return tl::unexpected(
        availability_.refusalWithoutCandidate(now, requestInfo, service.serviceTime));
    }
    discountStaleLoads(now, service.serviceTime, candidates);
    return candidates[pickPlainEndpoint(now, candidates)];
  }

  std::vector<EndpointExplanation> explainEndpoints(Time now,
                                                    const RequestInfo& requestInfo,
                                                    const ServiceState& service)
  {
    std::vector<EndpointExplanation> explanations;
    for (const auto handle : endpoints_.handlesOf(requestInfo.service)) {
      const auto& endpoint = *endpoints_.find(handle);
      EndpointExplanation explanation;
      explanation.endpoint = endpoint.record.id;
      explanation.zone = endpoint.record.zone;
      explanation.obstacle = obstacleOf(now, endpoint, requestInfo, service);
      if (explanation.obstacle == Obstacle::none && endpoint.breaker.isOpen()) {
        explanation.obstacle = Obstacle::breakerOpen;
      }
      explanation.load = endpoint.load.current();
      explanation.ownRequests = endpoint.load.ownRequests();
      if (endpoint.lastReportAt.micros > 0) {
        explanation.reportAge = now - endpoint.lastReportAt;
      }
      explanations.push_back(std::move(explanation));
    }
    return explanations;
  }

  /** Adds what the choice among the engines of a model service is based on. */
  void addPredictions(Time now,
                      const RequestInfo& requestInfo,
                      ServiceState& service,
                      std::span<EndpointExplanation> explanations)
  {
    auto candidates = findCandidates(now, requestInfo, service, {});
    if (!service.settings.engine || candidates.empty()) {
      return;
    }
    const auto keys = prefixKeys(requestInfo);
    const auto context = engineContext(now, requestInfo, service);
    if (context.balancer != nullptr) {
      context.balancer->estimate(now, service.serviceTime, candidates);
    }
    for (auto& candidate : candidates) {
      EngineSelector::predict(context, requestInfo, keys, candidate);
      const auto explanation = std::find_if(
        explanations.begin(), explanations.end(), [&candidate](const EndpointExplanation& other) {
          return other.endpoint == candidate.endpoint->record.id;
        });
      explanation->load = candidate.load;
      explanation->predictedTtft = candidate.predictedTtft;
      explanation->penalty = candidate.penalty;
      explanation->uncachedTokens = candidate.uncachedTokens;
      explanation->speed = candidate.speed;
    }
  }

  ChosenEndpoint recordSend(Time now,
                            const RequestInfo& requestInfo,
                            ServiceState& service,
                            std::span<const Fingerprint> keys,
                            const Candidate& candidate)
  {
    auto& endpoint = *candidate.endpoint;
    auto& request = requests_.findOrCreate(requestInfo);
    if (request.sends > 0 || requestInfo.isRepeat) {
      service.repeats.countRepeat(now);
      totalRepeats_.countRepeat(now);
    }
    Send newSend;
    newSend.handle = endpoint.handle;
    newSend.incarnation = endpoint.incarnation;
    newSend.sentAt = now;
    newSend.lastByteAt = now;
    newSend.trial = endpoint.breaker.isOpen();
    newSend.prefill = candidate.prefill;
    newSend.baseTtft = candidate.baseTtft;
    newSend.predictedTtft = candidate.predictedTtft;
    requests_.beginSend(request, newSend);
    if (newSend.trial) {
      endpoint.breaker.beginTrial();
    }
    limits_.recordSend(now, rateLimitKeyOf(endpoint));
    ++endpoint.unansweredSends;
    endpoint.load.adjustOwnRequests(now, 1);
    endpoint.outstandingPromptTokens += requestInfo.promptTokens;
    endpoint.ttftModel.addPendingPrefill(requestInfo.priority, newSend.prefill);
    endpoint.cache.recordPrompt(now, keys, candidate.uncachedTokens);
    return ChosenEndpoint{ endpoint.record.id,
                           endpoint.record.address,
                           connectionsPerProcess(service),
                           endpoint.record.softwareVersion };
  }

  void recordEnd(Time now,
                 const RequestState& request,
                 const Send& send,
                 Endpoint& endpoint,
                 Outcome outcome)
  {
    const auto serviceEntry = services_.find(request.service);
    if (serviceEntry == services_.end()) {
      return;
    }
    auto& service = serviceEntry->second;
    const bool isBackingOff = restrictions_.backoffEnd(now, endpoint.incarnation).has_value();
    const bool isExpected = isBackingOff || conditions_.brittle().isBrittle(endpoint);
    const bool refusedBecauseFull =
      outcome == Outcome::notExecuted && (isExpected || service.isLikelyFull(endpoint));
    if (refusedBecauseFull) {
      endpoint.fullUntil = now + service.serviceTime / std::max(endpoint.slots, 1);
    }
    if (outcome == Outcome::answered) {
      endpoint.lastByteAt = now;
      service.addServiceTime(now - send.sentAt);
    }
    health_.recordEnd(now, request, send, endpoint, outcome, refusedBecauseFull);
  }

  DispatcherSettings settings_;
  LoadBalancer balancer_{ settings_.seed };
  EngineSelector engineChoice_;
  Time now_;
  std::size_t entryProcesses_ = 1;
  std::map<ServiceName, ServiceState> services_;
  EndpointTable endpoints_;
  RequestTable requests_;
  RepeatBudget totalRepeats_;
  RateLimitShares limits_;
  EndpointConditions conditions_{ endpoints_, services_, limits_ };
  EndpointRestrictions restrictions_;
  EndpointAvailability availability_{ endpoints_, limits_, restrictions_, conditions_ };
  EndpointHealth health_{ endpoints_, availability_ };
  std::vector<EndpointRestricted> newRestrictions_;
  routing::DecayedSum newRequests_{ detail::kRequestRateWindow };
  std::vector<RateLimitChange> limitChanges_;
  std::vector<std::uint64_t> stalled_;
};

} // namespace figchute::dispatch
