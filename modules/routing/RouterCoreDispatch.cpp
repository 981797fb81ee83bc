#include "core/Invariant.h"
#include "routing/RouterCore.h"
#include "routing/RouterCost.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

/** The part of Router::Core that gives queued work a place at an endpoint. */
namespace figchute::routing {
namespace {

using detail::indexOf;
using detail::promptCharge;

/** No dispatch later than this after a leave; the invariant of section 2. */
constexpr Duration kLeaveGrace = std::chrono::seconds(2);

/** Plain calls are short, so an endpoint may have some of them waiting. */
constexpr double kPlainPerSlot = 2;

/** Above this factor of its limit an endpoint gets no work, even within the part of this VM. */
constexpr double kOverload = 1.25;

/** Beyond its part a VM leaves this part of an endpoint free, because its reports are up to two
    seconds old and other VMs may do the same. */
constexpr double kBorrowDistance = 0.25;

/** Of the spare slots in a report each VM takes this many equal shares, and at least one slot. With
    all of them, the VMs of all zones met at an endpoint whose report showed it idle. */
constexpr double kBorrowShares = 2;

/** Batch work keeps this multiple of its floor. At its floor itself, it would be given places and
    lose them again in turn. */
constexpr double kPreemptionFloor = 1.5;

/** Urgent work without a first token after this part of its target gets a place freed for it. */
constexpr int kHelpDivisor = 3;

/** Part of the capacity held back from work, so that urgent work finds a free place, and urgent
    work of small workspaces finds one in a flood of urgent work of large ones. */
double heldBackFrom(const RankTurn& turn, bool small)
{
  constexpr double kFromMost = 0.03;
  constexpr double kFromBatch = 0.06;
  if (turn.rank == Rank::urgent && small) {
    return 0;
  }
  return turn.rank == Rank::batch && !turn.belowFloor ? kFromBatch : kFromMost;
}

} // namespace

void Router::Core::dispatchModel(Time now, const ModelName& model)
{
  auto& line = lineOf(model);
  while (dispatchNext(now, model, line)) {
  }
}

bool Router::Core::dispatchNext(Time now, const ModelName& model, ModelLine& line)
{
  for (const auto& turn : line.queue.order(now)) {
    auto& job = find(line.queue.peek(now, turn.rank)->id);
    auto place = findPlace(now, job, heldBackFrom(turn, line.queue.isSmall(job.item)));
    if (!place && turn.rank == Rank::urgent && policy_.preempt) {
      place = preempt(now, model, line);
    }
    if (!place) {
      continue;
    }
    line.queue.pop(now, turn.rank);
    job.charged += job.item.cost;
    if (job.attempts == 0) {
      ++countersOf(job).dispatched;
      retries_.recordRequest();
    }
    actions_.emplace_back(start(now, job, *place));
    return true;
  }
  return false;
}

bool Router::Core::usable(Time now, std::uint32_t place, const Job& job) const
{
  const auto& latest = registry_.at(place).announcement;
  const bool tried = std::find(job.tried.begin(), job.tried.end(), latest.id) != job.tried.end();
  return !latest.leaving && !tried && !outliers_.isEjected(now, latest.id);
}

Router::Core::Pool Router::Core::poolFor(Time now, const Job& job)
{
  Pool pool;
  for (const auto place : placesFor(job.work)) {
    if (usable(now, place, job) && registry_.at(place).announcement.zone == options_.zone) {
      const auto& state = stateAt(place);
      pool.part += state.limit.value() / peers_.zoneVms;
      pool.own += state.load.own();
    }
  }
  return pool;
}

/** Divides the slots of an endpoint so that the parts of all VMs of the zone sum to its limit.
   Which VMs get one slot more differs between endpoints. A part below one slot counts as one, and
   the pool bounds the sum. */
double Router::Core::partOf(const EndpointState& state, std::uint64_t hash) const
{
  const auto limit = static_cast<std::uint64_t>(state.limit.value());
  const std::uint64_t vms = peers_.zoneVms;
  const std::uint64_t turn = (peers_.zoneIndex + hash % vms) % vms;
  const std::uint64_t part = limit / vms + (turn < limit % vms ? 1 : 0);
  return static_cast<double>(std::max<std::uint64_t>(part, 1));
}

/** The VMs of a zone divide its endpoints: within its part a VM relies on its own count, which does
    not lag. Beyond it, and in other zones, it relies on reports and keeps a distance. */
bool Router::Core::isOpen(const Work& work,
                          const EndpointState& state,
                          const Endpoint& endpoint,
                          bool poolOpen) const
{
  const double limit = state.limit.value();
  const double load = state.load.current();
  if (work.kind == WorkKind::plain) {
    return load + 1 <= limit * kPlainPerSlot;
  }
  const bool withinPart = endpoint.announcement.zone == options_.zone && poolOpen &&
                          state.load.own() + 1 <= partOf(state, endpoint.hash);
  if (withinPart && load < limit * kOverload) {
    return true;
  }
  const double seen = load - state.load.addedSinceReport();
  const double spare = limit * (1 - kBorrowDistance) - seen;
  const double mayAdd = std::max(spare * kBorrowShares / peers_.liveVms, 1.0);
  return load + 1 <= limit * (1 - kBorrowDistance) && state.load.addedSinceReport() + 1 <= mayAdd;
}

std::optional<std::uint32_t> Router::Core::findPlace(Time now, const Job& job, double heldBack)
{
  const auto pool = poolFor(now, job);
  const double kept = std::min(std::ceil(pool.part * heldBack), std::max(pool.part - 1, 0.0));
  const bool poolOpen = pool.own + 1 <= pool.part - kept;
  std::vector<EndpointCandidate> candidates;
  for (const auto place : placesFor(job.work)) {
    if (!usable(now, place, job)) {
      continue;
    }
    const auto& state = stateAt(place);
    const auto& endpoint = registry_.at(place);
    const bool ownZone = endpoint.announcement.zone == options_.zone;
    candidates.push_back({ place,
                           ownZone,
                           state.load.current(),
                           state.limit.value(),
                           isOpen(job.work, state, endpoint, poolOpen),
                           endpoint.hash });
  }
  const auto chosen = chooser_.choose(policy_.choice, job.work.prefixChain, candidates);
  if (!chosen) {
    return std::nullopt;
  }
  return candidates[*chosen].endpointIndex;
}

/** A retry does not wait in the queue: its caller has waited once already. When every endpoint is
    full, the least loaded one takes it. */
std::optional<std::uint32_t> Router::Core::findAnyPlace(Time now, const Job& job)
{
  if (const auto place = findPlace(now, job, 0)) {
    return place;
  }
  std::optional<std::uint32_t> best;
  double bestLoad = 0;
  for (const auto place : placesFor(job.work)) {
    if (!usable(now, place, job)) {
      continue;
    }
    const auto& state = stateAt(place);
    const double load = state.load.current() / state.limit.value();
    if (!best || load < bestLoad) {
      best = place;
      bestLoad = load;
    }
  }
  return best;
}

std::optional<std::uint32_t> Router::Core::preempt(Time now,
                                                   const ModelName& model,
                                                   const ModelLine& line)
{
  if (line.queue.isBelowFloor(now, Rank::batch, kPreemptionFloor)) {
    return std::nullopt;
  }
  std::vector<Job*> running;
  for (const auto place : registry_.endpointsServing(model)) {
    const auto& endpoint = registry_.at(place).announcement;
    const auto& state = stateAt(place);
    if (!endpoint.leaving && !outliers_.isEjected(now, endpoint.id)) {
      running.insert(running.end(), state.running.begin(), state.running.end());
    }
  }
  std::uint32_t place = 0;
  if (!cancelCheapest(now, running, place)) {
    return std::nullopt;
  }
  return place;
}

bool Router::Core::cancelCheapest(Time now, std::span<Job* const> jobs, std::uint32_t& place)
{
  std::vector<Job*> batch;
  std::vector<PreemptionCandidate> candidates;
  for (auto* job : jobs) {
    if (job->work.rank != Rank::batch || !job->work.repeatable || !job->streams) {
      continue;
    }
    batch.push_back(job);
    candidates.push_back(
      { job->work.promptBytes, job->generated, job->work.maxTokens, job->preemptions });
  }
  const auto chosen = PreemptionPolicy::choose(policy_, candidates);
  if (!chosen) {
    return false;
  }
  auto& job = *batch[*chosen];
  place = job.endpointIndex;
  ++job.preemptions;
  ++countersOf(job).preempted;
  actions_.emplace_back(CancelStream{ job.work.id, job.endpoint });
  detach(now, job);
  job.state = JobState::cancelling;
  return true;
}

/** Reports lag, so urgent work can reach an endpoint that other VMs filled in the meantime. One
    batch stream of this VM at that endpoint is cancelled for it then. */
void Router::Core::helpWaitingUrgent(Time now)
{
  if (!policy_.preempt) {
    return;
  }
  const Duration patience = policy_.ranks[indexOf(Rank::urgent)].target / kHelpDivisor;
  for (auto& [id, job] : awaitingUrgent_) {
    const bool current = states_[job->endpointIndex].generation == job->generation;
    if (job->helped || !current || now - job->dispatchedAt < patience) {
      continue;
    }
    job->helped = true;
    std::uint32_t place = 0;
    const auto running = states_[job->endpointIndex].running;
    cancelCheapest(now, running, place);
  }
}

Dispatch Router::Core::start(Time now, Job& job, std::uint32_t place)
{
  const auto& endpoint = registry_.at(place);
  invariant(job.state == JobState::queued, "only queued work is dispatched");
  invariant(job.work.repeatable || !job.mayHaveRun,
            "non-repeatable work that may have run is not dispatched again");
  invariant(endpoint.leavingSince == Time{} || now - endpoint.leavingSince <= kLeaveGrace,
            "no dispatch to an endpoint two seconds after its leave");
  auto& state = stateAt(place);
  state.load.adjustOwnRequests(now, 1);
  state.running.push_back(&job);
  job.state = JobState::running;
  job.endpointIndex = place;
  job.generation = endpoint.generation;
  job.endpoint = endpoint.announcement.id;
  job.mayHaveRun = true;
  job.streams = false;
  job.helped = false;
  job.dispatchedAt = now;
  ++job.attempts;
  if (job.work.kind == WorkKind::model && job.work.rank == Rank::urgent) {
    awaitingUrgent_[job.work.id] = &job;
  }
  return { job.work.id,
           endpoint.announcement.id,
           endpoint.announcement.address,
           job.work.rank,
           job.attempts,
           job.generated,
           endpoint.announcement.checksFencing };
}

void Router::Core::detach(Time now, Job& job)
{
  if (job.state != JobState::running) {
    return;
  }
  awaitingUrgent_.erase(job.work.id);
  auto& state = states_[job.endpointIndex];
  if (state.generation == job.generation) {
    state.load.adjustOwnRequests(now, -1);
    std::erase(state.running, &job);
  }
}

void Router::Core::correctCharge(Time now, Job& job)
{
  const double actual = promptCharge(job.work) + static_cast<double>(job.generated.count);
  lineOf(job.work.model).queue.correct(now, job.item, actual - job.charged);
  job.charged = actual;
}

} // namespace figchute::routing
