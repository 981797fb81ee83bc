#include "routing/RouterCore.h"

#include "core/Invariant.h"
#include "routing/RouterCost.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace figchute::routing {
namespace {

using detail::indexOf;
using detail::promptCost;

constexpr double kSmoothingFactor = 0.1;

/** Dispatch allows this multiple of the mean time to first token before the deadline, because the
    time varies around its mean. */
constexpr double kFirstTokenMargin = 1.1;

constexpr Duration kOutlierInterval = std::chrono::milliseconds(500);
constexpr Duration kUsageExchangeInterval = std::chrono::seconds(1);

Refusal makeRefusal(ErrorKind kind, std::string detail)
{
  Refusal refusal;
  refusal.kind = kind;
  refusal.detail = std::move(detail);
  refusal.retryAfter = errorTraits(kind).retryAfter;
  return refusal;
}

void updateMean(double& mean, double sample)
{
  mean = mean == 0 ? sample : mean + kSmoothingFactor * (sample - mean);
}

} // namespace

Router::Core::Core(RouterOptions options)
  : options_(std::move(options))
  , registry_(options_.zone)
  , endpointSelector_(options_.seed)
{
}

void Router::Core::setPolicy(Policy policy)
{
  policy_ = std::move(policy);
  retries_.setRatio(policy_.retryRatio);
  modelLimiter_.setPolicy(policy_);
  plainLimiter_.setPolicy(policy_);
}

void Router::Core::setPeers(Peers peers)
{
  peers_ = std::move(peers);
  registry_.setPeers(peers_);
  totals_.setLinks(peers_.neighbours);
  modelLimiter_.setPeers(peers_);
  plainLimiter_.setPeers(peers_);
}

Router::Core::ModelState& Router::Core::stateOf(const ModelName& model)
{
  const auto entry = modelStates_.find(model);
  if (entry != modelStates_.end()) {
    return entry->second;
  }
  return modelStates_.emplace(model, ModelState{ RankQueue(policy_, totals_) }).first->second;
}

Router::Core::Job& Router::Core::findJob(const RequestId& id)
{
  const auto entry = jobs_.find(id);
  invariant(entry != jobs_.end(), "every request named in a call is in progress");
  return entry->second;
}

RankCounters& Router::Core::countersOf(const Job& job)
{
  return counters_[indexOf(job.requestInfo.rank)];
}

std::span<const std::uint32_t> Router::Core::endpointsFor(const RequestInfo& requestInfo) const
{
  return requestInfo.kind == EndpointKind::model ? registry_.endpointsServing(requestInfo.model)
                                                 : registry_.endpointsServing(requestInfo.service);
}

Router::Core::EndpointState& Router::Core::stateAt(std::uint32_t endpointIndex)
{
  if (endpointStates_.size() <= endpointIndex) {
    endpointStates_.resize(endpointIndex + 1);
  }
  const auto& endpoint = registry_.at(endpointIndex);
  auto& state = endpointStates_[endpointIndex];
  if (state.generation != endpoint.generation) {
    state = EndpointState{};
    state.generation = endpoint.generation;
  }
  state.limit.setSlots(endpoint.announcement.slots);
  state.load.report(endpoint.announcement.announcedAt,
                    endpoint.announcement.running + endpoint.announcement.waiting);
  return state;
}

tl::expected<Accepted, Refusal> Router::Core::submit(Time now, RequestInfo requestInfo)
{
  if (jobs_.contains(requestInfo.id)) {
    return tl::unexpected<Refusal>(
      makeRefusal(ErrorKind::inProgress, "request " + requestInfo.id.value + " is in progress"));
  }
  if (requestInfo.kind == EndpointKind::plain) {
    ++plainSubmitted_;
    auto result = submitPlain(now, std::move(requestInfo));
    plainRefused_ += result ? 0 : 1;
    return result;
  }
  auto& counters = counters_[indexOf(requestInfo.rank)];
  ++counters.submitted;
  auto result = submitModel(now, std::move(requestInfo));
  counters.refused += result ? 0 : 1;
  return result;
}

tl::expected<Accepted, Refusal> Router::Core::submitModel(Time now, RequestInfo requestInfo)
{
  const auto endpointIndexes = registry_.endpointsServing(requestInfo.model);
  const bool anyAvailable =
    std::any_of(endpointIndexes.begin(), endpointIndexes.end(), [&](std::uint32_t endpointIndex) {
      return !registry_.at(endpointIndex).announcement.leaving;
    });
  if (!anyAvailable) {
    const bool servedBefore = registry_.hasServed(requestInfo.model);
    return tl::unexpected<Refusal>(
      makeRefusal(servedBefore ? ErrorKind::noEndpoint : ErrorKind::unknownModel,
                  "no live endpoint serves model " + requestInfo.model.value));
  }
  if (auto admission = modelLimiter_.admit(now, requestInfo.workspace, requestInfo.caller);
      !admission) {
    return tl::unexpected<Refusal>(admission.error());
  }
  if (requestInfo.deadline == Time{}) {
    requestInfo.deadline = requestInfo.arrival + policy_.ranks[indexOf(requestInfo.rank)].target;
  }
  const ModelName model = requestInfo.model;
  auto& modelState = stateOf(model);
  const auto queueEntry = makeQueueEntry(now, requestInfo);
  const auto expectedWait = modelState.queue.push(now, queueEntry);
  if (!expectedWait) {
    modelLimiter_.release(requestInfo.workspace, requestInfo.caller);
    return tl::unexpected<Refusal>(expectedWait.error());
  }
  Job job;
  job.requestInfo = std::move(requestInfo);
  job.queueEntry = queueEntry;
  jobs_.emplace(queueEntry.id, std::move(job));
  dispatchModel(now, model);
  return Accepted{ *expectedWait };
}

QueuedRequest Router::Core::makeQueueEntry(Time /*now*/, const RequestInfo& requestInfo)
{
  const auto& modelState = stateOf(requestInfo.model);
  const auto rank = indexOf(requestInfo.rank);
  const double maxExpectedFirstToken = static_cast<double>(policy_.ranks[rank].target.count()) / 2;
  const double expectedFirstToken =
    std::min(modelState.firstTokenMicros[rank] * kFirstTokenMargin, maxExpectedFirstToken);
  QueuedRequest queueEntry;
  queueEntry.id = requestInfo.id;
  queueEntry.workspace = requestInfo.workspace;
  queueEntry.caller = requestInfo.caller;
  queueEntry.rank = requestInfo.rank;
  queueEntry.cost = promptCost(requestInfo) + static_cast<double>(requestInfo.maxTokens.count) *
                                                modelState.usedFraction[rank];
  queueEntry.latestStart =
    requestInfo.deadline - Duration(static_cast<std::int64_t>(expectedFirstToken));
  return queueEntry;
}

tl::expected<Accepted, Refusal> Router::Core::submitPlain(Time now, RequestInfo requestInfo)
{
  if (endpointsFor(requestInfo).empty()) {
    const bool servedBefore = registry_.hasServed(requestInfo.service);
    return tl::unexpected<Refusal>(
      makeRefusal(servedBefore ? ErrorKind::noEndpoint : ErrorKind::unknownService,
                  "no live endpoint offers service " + requestInfo.service.value));
  }
  if (auto admission = plainLimiter_.admit(now, requestInfo.workspace, requestInfo.caller);
      !admission) {
    return tl::unexpected<Refusal>(admission.error());
  }
  Job job;
  job.requestInfo = std::move(requestInfo);
  const auto endpointIndex = selectEndpoint(now, job, 0);
  if (!endpointIndex) {
    plainLimiter_.release(job.requestInfo.workspace, job.requestInfo.caller);
    return tl::unexpected<Refusal>(
      makeRefusal(ErrorKind::overloaded,
                  "all endpoints of service " + job.requestInfo.service.value + " are full"));
  }
  const RequestId id = job.requestInfo.id;
  auto& storedJob = jobs_.emplace(id, std::move(job)).first->second;
  retries_.recordRequest();
  actions_.emplace_back(startAttempt(now, storedJob, *endpointIndex));
  return Accepted{};
}

void Router::Core::tick(Time now)
{
  registry_.tick(now);
  refuseOverdue(now);
  if (now >= nextOutlierEjection_) {
    nextOutlierEjection_ = now + kOutlierInterval;
    ejectOutliers(now);
  }
  for (auto& [model, modelState] : modelStates_) {
    dispatchModel(now, model);
  }
  preemptForWaitingUrgent(now);
  if (now >= nextUsageExchange_) {
    nextUsageExchange_ = now + kUsageExchangeInterval;
    exchangeUsage(now);
  }
}

void Router::Core::refuseOverdue(Time now)
{
  for (auto& [model, modelState] : modelStates_) {
    for (const auto& queueEntry : modelState.queue.removeOverdue(now)) {
      auto& job = findJob(queueEntry.id);
      ++countersOf(job).refused;
      actions_.emplace_back(
        Refused{ queueEntry.id, modelState.queue.makeRefusal(now, queueEntry.rank, Duration(0)) });
      modelLimiter_.release(job.requestInfo.workspace, job.requestInfo.caller);
      jobs_.erase(queueEntry.id);
    }
  }
}

void Router::Core::ejectOutliers(Time now)
{
  registry_.forEachServiceGroup([&](std::span<const std::uint32_t> endpointIndexes) {
    std::vector<EndpointId> ids;
    ids.reserve(endpointIndexes.size());
    for (const auto endpointIndex : endpointIndexes) {
      ids.push_back(registry_.at(endpointIndex).announcement.id);
    }
    outliers_.ejectOutliers(now, ids);
  });
}

void Router::Core::exchangeUsage(Time /*now*/)
{
  const auto sendUsage = [&](const ProcessId& link, UsageDelta delta) {
    delta.demands = modelLimiter_.takeIncrements(link);
    const auto plainDemands = plainLimiter_.takeIncrements(link);
    delta.demands.insert(delta.demands.end(), plainDemands.begin(), plainDemands.end());
    if (!delta.served.empty() || !delta.demands.empty()) {
      outgoing_.push_back({ link, std::move(delta) });
    }
  };
  for (const auto& neighbour : peers_.neighbours) {
    sendUsage(neighbour, UsageDelta{ totals_.takeIncrements(neighbour), {} });
  }
  for (const auto& relay : peers_.relays) {
    sendUsage(relay, UsageDelta{});
  }
}

std::vector<Action> Router::Core::takeActions()
{
  return std::exchange(actions_, {});
}

void Router::Core::firstToken(Time now, const RequestId& id)
{
  auto& job = findJob(id);
  if (job.state != JobState::running || job.streaming) {
    return;
  }
  job.streaming = true;
  urgentWithoutFirstToken_.erase(id);
  const Duration latency = now - job.dispatchedAt;
  auto& state = endpointStates_[job.endpointIndex];
  if (state.generation == job.generation) {
    state.limit.record(now, job.requestInfo.rank, latency);
    if (job.requestInfo.rank != Rank::batch) {
      outliers_.recordSuccess(job.endpoint, latency);
    }
  }
  if (job.requestInfo.kind == EndpointKind::plain || job.hasFirstToken) {
    return;
  }
  job.hasFirstToken = true;
  updateMean(stateOf(job.requestInfo.model).firstTokenMicros[indexOf(job.requestInfo.rank)],
             static_cast<double>(latency.count()));
  auto& counters = countersOf(job);
  ++(now <= job.requestInfo.deadline ? counters.onTime : counters.late);
}

void Router::Core::progress(Time /*now*/, const RequestId& id, Tokens tokens)
{
  auto& job = findJob(id);
  job.generated = std::max(job.generated, tokens);
}

void Router::Core::endJob(Time now, Job& job)
{
  if (job.state == JobState::queued && job.requestInfo.kind == EndpointKind::model &&
      job.attempts == 0) {
    stateOf(job.requestInfo.model).queue.remove(job.queueEntry);
  } else if (job.requestInfo.kind == EndpointKind::model) {
    stateOf(job.requestInfo.model).queue.remove(job.queueEntry);
    correctCharge(now, job);
  }
  releaseEndpoint(now, job);
  auto& limiter = job.requestInfo.kind == EndpointKind::plain ? plainLimiter_ : modelLimiter_;
  limiter.release(job.requestInfo.workspace, job.requestInfo.caller);
  const RequestInfo requestInfo = std::move(job.requestInfo);
  jobs_.erase(requestInfo.id);
  if (requestInfo.kind == EndpointKind::model) {
    dispatchModel(now, requestInfo.model);
  }
}

void Router::Core::finished(Time now, const RequestId& id, Outcome outcome)
{
  auto& job = findJob(id);
  invariant(outcome == Outcome::abandoned || job.state != JobState::queued,
            "only dispatched requests complete or fail");
  if (outcome == Outcome::failed && job.state == JobState::running) {
    outliers_.recordFailure(job.endpoint);
  }
  if (job.requestInfo.kind == EndpointKind::model) {
    auto& counters = countersOf(job);
    counters.completed += outcome == Outcome::completed ? 1 : 0;
    counters.failed += outcome == Outcome::failed ? 1 : 0;
    counters.abandoned += outcome == Outcome::abandoned ? 1 : 0;
    counters.tokens += static_cast<std::uint64_t>(job.generated.count);
    if (outcome == Outcome::completed && job.requestInfo.maxTokens.count > 0) {
      updateMean(stateOf(job.requestInfo.model).usedFraction[indexOf(job.requestInfo.rank)],
                 static_cast<double>(job.generated.count) /
                   static_cast<double>(job.requestInfo.maxTokens.count));
    }
  }
  endJob(now, job);
}

void Router::Core::cancelled(Time now, const RequestId& id)
{
  auto& job = findJob(id);
  invariant(job.state == JobState::cancelling, "only requests with a CancelStream are cancelled");
  correctCharge(now, job);
  job.state = JobState::queued;
  job.queueEntry.resumed = true;
  const auto& modelState = stateOf(job.requestInfo.model);
  const double expectedTokens = static_cast<double>(job.requestInfo.maxTokens.count) *
                                modelState.usedFraction[indexOf(job.requestInfo.rank)];
  job.queueEntry.cost = std::max(expectedTokens - static_cast<double>(job.generated.count), 1.0);
  stateOf(job.requestInfo.model).queue.pushFront(job.queueEntry);
  dispatchModel(now, job.requestInfo.model);
}

Expected<Dispatch> Router::Core::retry(Time now, const RequestId& id, AttemptFailure failure)
{
  auto& job = findJob(id);
  invariant(job.state != JobState::queued, "only dispatched requests are retried");
  const auto failedEndpointIndex = registry_.find(job.endpoint);
  const bool isLeaving =
    failedEndpointIndex && registry_.at(*failedEndpointIndex).announcement.leaving;
  if (!(failure == AttemptFailure::notRun && isLeaving)) {
    outliers_.recordFailure(job.endpoint);
  }
  job.triedEndpoints.push_back(job.endpoint);
  releaseEndpoint(now, job);
  ++job.failedAttempts;
  if (failure == AttemptFailure::notRun) {
    job.mayHaveRun = false;
  }
  auto finalError = retries_.requestRetry(job.requestInfo.repeatable, failure, job.failedAttempts);
  job.state = JobState::queued;
  std::optional<std::uint32_t> endpointIndex;
  if (!finalError) {
    endpointIndex = selectRetryEndpoint(now, job);
    finalError = endpointIndex ? finalError : std::optional(ErrorKind::noEndpoint);
  }
  if (finalError) {
    std::string detail = "attempt " + std::to_string(job.attempts) + " at " + job.endpoint.value +
                         " failed and cannot be retried";
    if (job.requestInfo.kind == EndpointKind::model) {
      ++countersOf(job).failed;
      countersOf(job).tokens += static_cast<std::uint64_t>(job.generated.count);
    }
    endJob(now, job);
    return fail(*finalError, std::move(detail));
  }
  if (job.requestInfo.kind == EndpointKind::model) {
    ++countersOf(job).retries;
  }
  return startAttempt(now, job, *endpointIndex);
}

void Router::Core::announce(Time now, Announcement announcement)
{
  registry_.announce(now, std::move(announcement));
}

void Router::Core::receive(Time now, const ProcessId& from, const Message& message)
{
  if (const auto* usage = std::get_if<UsageDelta>(&message)) {
    totals_.receive(now, from, usage->served);
    modelLimiter_.receive(now, from, usage->demands);
    plainLimiter_.receive(now, from, usage->demands);
  } else if (const auto* delta = std::get_if<RegistryDelta>(&message)) {
    registry_.receive(now, from, *delta);
  } else {
    registry_.receive(now, from, std::get<RegistryRequest>(message));
  }
}

std::vector<OutgoingMessage> Router::Core::takeOutgoing()
{
  auto result = registry_.takeOutgoing();
  result.insert(result.end(),
                std::make_move_iterator(outgoing_.begin()),
                std::make_move_iterator(outgoing_.end()));
  outgoing_.clear();
  return result;
}

} // namespace figchute::routing
