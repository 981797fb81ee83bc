#include "core/Invariant.h"
#include "routing/RouterCore.h"
#include "routing/RouterCost.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

/** The part of Router::Core that dispatches queued requests to endpoints. */
namespace figchute::routing {
namespace {

using detail::indexOf;
using detail::promptCost;

/** Longest time for which an endpoint that is known to be leaving may still receive requests. This
    is the invariant of section 2. */
constexpr Duration kLeaveGrace = std::chrono::seconds(2);

/** Plain calls are short, so some may queue at an endpoint. */
constexpr double kPlainRequestsPerSlot = 2;

/** Load, as a multiple of its limit, at which an endpoint receives no requests even within the
    share of this VM. */
constexpr double kMaxOverload = 1.25;

/** Fraction of an endpoint that a VM leaves free when it exceeds its own share, because its reports
    are up to two seconds old and other VMs may exceed theirs at the same time. */
constexpr double kBorrowHeadroom = 0.25;

/** Number of equal shares of the spare slots in a report that each VM may use, with a minimum of
    one slot. When each VM could use all of them, the VMs of all zones overloaded an endpoint that
    had been reported idle. */
constexpr double kBorrowShares = 2;

/** No batch request is cancelled while the batch rank is below this multiple of its minimum share.
    With a factor of 1, batch requests would alternately be dispatched and cancelled. */
constexpr double kPreemptionShareFactor = 1.5;

/** If an urgent request has no first token after its target divided by this number, a batch request
    at the same endpoint is cancelled. */
constexpr int kUrgentWaitDivisor = 3;

/** Returns the fraction of the capacity that must stay free when a request is dispatched. The
    reserve keeps slots free for urgent requests and, while large workspaces send many of these, for
    the urgent requests of underserved workspaces. */
double reservedFractionFor(const ScheduledRank& scheduled, bool underserved)
{
  constexpr double kDefaultReserve = 0.03;
  constexpr double kBatchReserve = 0.06;
  if (scheduled.rank == Rank::urgent && underserved) {
    return 0;
  }
  return scheduled.rank == Rank::batch && !scheduled.belowMinShare ? kBatchReserve
                                                                   : kDefaultReserve;
}

} // namespace

void Router::Core::dispatchModel(Time now, const ModelName& model)
{
  auto& modelState = stateOf(model);
  while (dispatchNext(now, model, modelState)) {
  }
}

bool Router::Core::dispatchNext(Time now, const ModelName& model, ModelState& modelState)
{
  for (const auto& scheduled : modelState.queue.ranksInOrder(now)) {
    auto& job = findJob(modelState.queue.peek(now, scheduled.rank)->id);
    auto endpointIndex = selectEndpoint(
      now, job, reservedFractionFor(scheduled, modelState.queue.isUnderserved(job.queueEntry)));
    if (!endpointIndex && scheduled.rank == Rank::urgent && policy_.preempt) {
      endpointIndex = preempt(now, model, modelState);
    }
    if (!endpointIndex) {
      continue;
    }
    modelState.queue.pop(now, scheduled.rank);
    job.charged += job.queueEntry.cost;
    if (job.attempts == 0) {
      ++countersOf(job).dispatched;
      retries_.recordRequest();
    }
    actions_.emplace_back(startAttempt(now, job, *endpointIndex));
    return true;
  }
  return false;
}

bool Router::Core::isUsable(Time now, std::uint32_t endpointIndex, const Job& job) const
{
  const auto& announcement = registry_.at(endpointIndex).announcement;
  const bool alreadyTried =
    std::find(job.triedEndpoints.begin(), job.triedEndpoints.end(), announcement.id) !=
    job.triedEndpoints.end();
  return !announcement.leaving && !alreadyTried && !outliers_.isEjected(now, announcement.id);
}

Router::Core::ZoneShare Router::Core::zoneShareFor(Time now, const Job& job)
{
  ZoneShare zoneShare;
  for (const auto endpointIndex : endpointsFor(job.requestInfo)) {
    if (isUsable(now, endpointIndex, job) &&
        registry_.at(endpointIndex).announcement.zone == options_.zone) {
      const auto& state = stateAt(endpointIndex);
      zoneShare.limit += state.limit.value() / peers_.zoneVms;
      zoneShare.inFlight += state.load.ownRequests();
    }
  }
  return zoneShare;
}

/** Divides the slots of an endpoint among the VMs of the zone so that their shares add up to its
    limit. The VMs that receive one slot more differ between endpoints. A share below one slot
    counts as one; ZoneShare limits the sum over all endpoints. */
double Router::Core::vmShareOf(const EndpointState& state, std::uint64_t hash) const
{
  const auto limit = static_cast<std::uint64_t>(state.limit.value());
  const std::uint64_t vms = peers_.zoneVms;
  const std::uint64_t position = (peers_.zoneIndex + hash % vms) % vms;
  const std::uint64_t share = limit / vms + (position < limit % vms ? 1 : 0);
  return static_cast<double>(std::max<std::uint64_t>(share, 1));
}

/** The VMs of a zone share its endpoints. Within the share of this VM, its own count of
    requests is used, which is always current. Beyond the share, and in other zones, only delayed
    reports are available, so some capacity is left free. */
bool Router::Core::canAccept(const RequestInfo& requestInfo,
                             const EndpointState& state,
                             const Endpoint& endpoint,
                             bool zoneShareFree) const
{
  const double limit = state.limit.value();
  const double load = state.load.current();
  if (requestInfo.kind == EndpointKind::plain) {
    return load + 1 <= limit * kPlainRequestsPerSlot;
  }
  const bool withinShare = endpoint.announcement.zone == options_.zone && zoneShareFree &&
                           state.load.ownRequests() + 1 <= vmShareOf(state, endpoint.hash);
  if (withinShare && load < limit * kMaxOverload) {
    return true;
  }
  const double reportedLoad = load - state.load.addedSinceReport();
  const double spareSlots = limit * (1 - kBorrowHeadroom) - reportedLoad;
  const double maxAdded = std::max(spareSlots * kBorrowShares / peers_.liveVms, 1.0);
  return load + 1 <= limit * (1 - kBorrowHeadroom) && state.load.addedSinceReport() + 1 <= maxAdded;
}

std::optional<std::uint32_t> Router::Core::selectEndpoint(Time now,
                                                          const Job& job,
                                                          double reservedFraction)
{
  const auto zoneShare = zoneShareFor(now, job);
  const double reservedSlots =
    std::min(std::ceil(zoneShare.limit * reservedFraction), std::max(zoneShare.limit - 1, 0.0));
  const bool zoneShareFree = zoneShare.inFlight + 1 <= zoneShare.limit - reservedSlots;
  std::vector<EndpointCandidate> candidates;
  for (const auto endpointIndex : endpointsFor(job.requestInfo)) {
    if (!isUsable(now, endpointIndex, job)) {
      continue;
    }
    const auto& state = stateAt(endpointIndex);
    const auto& endpoint = registry_.at(endpointIndex);
    const bool ownZone = endpoint.announcement.zone == options_.zone;
    candidates.push_back({ endpointIndex,
                           ownZone,
                           state.load.current(),
                           state.limit.value(),
                           canAccept(job.requestInfo, state, endpoint, zoneShareFree),
                           endpoint.hash });
  }
  const auto chosenIndex =
    endpointSelector_.choose(policy_.choice, job.requestInfo.prefixChain, candidates);
  if (!chosenIndex) {
    return std::nullopt;
  }
  return candidates[*chosenIndex].endpointIndex;
}

/** A retry is not queued, because its caller has already waited once. If all endpoints are full,
    the least loaded one is used. */
std::optional<std::uint32_t> Router::Core::selectRetryEndpoint(Time now, const Job& job)
{
  if (const auto endpointIndex = selectEndpoint(now, job, 0)) {
    return endpointIndex;
  }
  std::optional<std::uint32_t> best;
  double bestLoad = 0;
  for (const auto endpointIndex : endpointsFor(job.requestInfo)) {
    if (!isUsable(now, endpointIndex, job)) {
      continue;
    }
    const auto& state = stateAt(endpointIndex);
    const double load = state.load.current() / state.limit.value();
    if (!best || load < bestLoad) {
      best = endpointIndex;
      bestLoad = load;
    }
  }
  return best;
}

std::optional<std::uint32_t> Router::Core::preempt(Time now,
                                                   const ModelName& model,
                                                   const ModelState& modelState)
{
  if (modelState.queue.isBelowMinShare(now, Rank::batch, kPreemptionShareFactor)) {
    return std::nullopt;
  }
  std::vector<Job*> runningJobs;
  for (const auto endpointIndex : registry_.endpointsServing(model)) {
    const auto& announcement = registry_.at(endpointIndex).announcement;
    const auto& state = stateAt(endpointIndex);
    if (!announcement.leaving && !outliers_.isEjected(now, announcement.id)) {
      runningJobs.insert(runningJobs.end(), state.running.begin(), state.running.end());
    }
  }
  std::uint32_t endpointIndex = 0;
  if (!cancelCheapestBatchJob(now, runningJobs, endpointIndex)) {
    return std::nullopt;
  }
  return endpointIndex;
}

bool Router::Core::cancelCheapestBatchJob(Time now,
                                          std::span<Job* const> jobs,
                                          std::uint32_t& endpointIndex)
{
  std::vector<Job*> batchJobs;
  std::vector<PreemptionCandidate> candidates;
  for (auto* job : jobs) {
    if (job->requestInfo.rank != Rank::batch || !job->requestInfo.repeatable || !job->streaming) {
      continue;
    }
    batchJobs.push_back(job);
    candidates.push_back({ job->requestInfo.promptBytes,
                           job->generated,
                           job->requestInfo.maxTokens,
                           job->preemptions });
  }
  const auto chosenIndex = PreemptionPolicy::choose(policy_, candidates);
  if (!chosenIndex) {
    return false;
  }
  auto& job = *batchJobs[*chosenIndex];
  endpointIndex = job.endpointIndex;
  ++job.preemptions;
  ++countersOf(job).preempted;
  actions_.emplace_back(CancelStream{ job.requestInfo.id, job.endpoint });
  releaseEndpoint(now, job);
  job.state = JobState::cancelling;
  return true;
}

/** Because load reports are delayed, an urgent request can be sent to an endpoint that other VMs
    have filled in the meantime. One batch stream of this VM at that endpoint is then cancelled. */
void Router::Core::preemptForWaitingUrgent(Time now)
{
  if (!policy_.preempt) {
    return;
  }
  const Duration maxWait = policy_.ranks[indexOf(Rank::urgent)].target / kUrgentWaitDivisor;
  for (auto& [id, job] : urgentWithoutFirstToken_) {
    const bool endpointUnchanged =
      endpointStates_[job->endpointIndex].generation == job->generation;
    if (job->preemptionTried || !endpointUnchanged || now - job->dispatchedAt < maxWait) {
      continue;
    }
    job->preemptionTried = true;
    std::uint32_t endpointIndex = 0;
    const auto runningJobs = endpointStates_[job->endpointIndex].running;
    cancelCheapestBatchJob(now, runningJobs, endpointIndex);
  }
}

Dispatch Router::Core::startAttempt(Time now, Job& job, std::uint32_t endpointIndex)
{
  const auto& endpoint = registry_.at(endpointIndex);
  invariant(job.state == JobState::queued, "only queued requests are dispatched");
  invariant(job.requestInfo.repeatable || !job.mayHaveRun,
            "a non-repeatable request that may have been executed is not dispatched again");
  invariant(
    endpoint.leavingSince == Time{} || now - endpoint.leavingSince <= kLeaveGrace,
    "no dispatch to an endpoint more than two seconds after it announced that it is leaving");
  auto& state = stateAt(endpointIndex);
  state.load.adjustOwnRequests(now, 1);
  state.running.push_back(&job);
  job.state = JobState::running;
  job.endpointIndex = endpointIndex;
  job.generation = endpoint.generation;
  job.endpoint = endpoint.announcement.id;
  job.mayHaveRun = true;
  job.streaming = false;
  job.preemptionTried = false;
  job.dispatchedAt = now;
  ++job.attempts;
  if (job.requestInfo.kind == EndpointKind::model && job.requestInfo.rank == Rank::urgent) {
    urgentWithoutFirstToken_[job.requestInfo.id] = &job;
  }
  return { job.requestInfo.id,
           endpoint.announcement.id,
           endpoint.announcement.address,
           job.requestInfo.rank,
           job.attempts,
           job.generated,
           endpoint.announcement.checksFencing };
}

void Router::Core::releaseEndpoint(Time now, Job& job)
{
  if (job.state != JobState::running) {
    return;
  }
  urgentWithoutFirstToken_.erase(job.requestInfo.id);
  auto& state = endpointStates_[job.endpointIndex];
  if (state.generation == job.generation) {
    state.load.adjustOwnRequests(now, -1);
    std::erase(state.running, &job);
  }
}

void Router::Core::correctCharge(Time now, Job& job)
{
  const double actual = promptCost(job.requestInfo) + static_cast<double>(job.generated.count);
  stateOf(job.requestInfo.model).queue.correctCharge(now, job.queueEntry, actual - job.charged);
  job.charged = actual;
}

} // namespace figchute::routing
