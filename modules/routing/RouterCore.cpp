#include "routing/RouterCore.h"

#include "core/Invariant.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace figchute::routing {
namespace {

constexpr double kBytesPerToken = 4;

/** Reading a prompt costs an engine about this part of generating the same number of tokens. */
constexpr double kPromptCost = 0.02;

constexpr double kSmoothing = 0.1;

/** First tokens vary around their mean; work starts this factor of the mean before its deadline. */
constexpr double kFirstTokenMargin = 1.1;

constexpr Duration kEvaluationInterval = std::chrono::milliseconds(500);
constexpr Duration kExchangeInterval = std::chrono::seconds(1);

/** No dispatch later than this after a leave; the invariant of section 2. */
constexpr Duration kLeaveGrace = std::chrono::seconds(2);

/** Plain calls are short, so an endpoint may have some of them waiting. */
constexpr double kPlainPerSlot = 2;

/** Above this factor of its limit an endpoint gets no work, even within the part of this VM. */
constexpr double kOverload = 1.25;

/** Beyond its part a VM leaves this part of an endpoint free, because its reports are up to two
    seconds old and other VMs may do the same. */
constexpr double kBorrowDistance = 0.25;

/** Batch work keeps this multiple of its floor. At its floor itself, it would be given places and
    lose them again in turn. */
constexpr double kPreemptionFloor = 1.5;

/** Urgent work without a first token after this part of its target gets a place freed for it. */
constexpr int kHelpDivisor = 3;

std::size_t indexOf(Rank rank)
{
  return static_cast<std::size_t>(rank);
}

Refusal makeRefusal(ErrorKind kind, std::string detail)
{
  Refusal refusal;
  refusal.kind = kind;
  refusal.detail = std::move(detail);
  refusal.retryAfter = errorTraits(kind).retryAfter;
  return refusal;
}

double promptCharge(const Work& work)
{
  return static_cast<double>(work.promptBytes) / kBytesPerToken * kPromptCost;
}

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

void smooth(double& mean, double sample)
{
  mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

} // namespace

Router::Core::Core(RouterOptions options)
  : options_(std::move(options))
  , chooser_(options_.seed)
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

Router::Core::ModelLine& Router::Core::lineOf(const ModelName& model)
{
  const auto found = lines_.find(model);
  if (found != lines_.end()) {
    return found->second;
  }
  return lines_.emplace(model, ModelLine{ RankQueue(policy_, totals_) }).first->second;
}

Router::Core::Job& Router::Core::find(const RequestId& id)
{
  const auto found = jobs_.find(id);
  invariant(found != jobs_.end(), "every named request is in progress");
  return found->second;
}

RankCounters& Router::Core::countersOf(const Job& job)
{
  return counters_[indexOf(job.work.rank)];
}

std::span<const std::uint32_t> Router::Core::placesFor(const Work& work) const
{
  return work.kind == WorkKind::model ? registry_.serving(work.model)
                                      : registry_.serving(work.service);
}

Router::Core::EndpointState& Router::Core::stateAt(std::uint32_t place)
{
  if (states_.size() <= place) {
    states_.resize(place + 1);
  }
  const auto& endpoint = registry_.at(place);
  auto& state = states_[place];
  if (state.generation != endpoint.generation) {
    state = EndpointState{};
    state.generation = endpoint.generation;
  }
  state.limit.setSlots(endpoint.latest.slots);
  state.load.report(endpoint.latest.announced, endpoint.latest.running + endpoint.latest.waiting);
  return state;
}

tl::expected<Accepted, Refusal> Router::Core::submit(Time now, Work work)
{
  if (jobs_.contains(work.id)) {
    return tl::unexpected<Refusal>(
      makeRefusal(ErrorKind::inProgress, "request " + work.id.value + " is in progress"));
  }
  if (work.kind == WorkKind::plain) {
    ++plainSubmitted_;
    auto result = submitPlain(now, std::move(work));
    plainRefused_ += result ? 0 : 1;
    return result;
  }
  auto& counters = counters_[indexOf(work.rank)];
  ++counters.submitted;
  auto result = submitModel(now, std::move(work));
  counters.refused += result ? 0 : 1;
  return result;
}

tl::expected<Accepted, Refusal> Router::Core::submitModel(Time now, Work work)
{
  const auto places = registry_.serving(work.model);
  const bool anyOpen = std::any_of(places.begin(), places.end(), [&](std::uint32_t place) {
    return !registry_.at(place).latest.leaving;
  });
  if (!anyOpen) {
    const bool known = registry_.knows(work.model);
    return tl::unexpected<Refusal>(
      makeRefusal(known ? ErrorKind::noEndpoint : ErrorKind::unknownModel,
                  "no live endpoint serves model " + work.model.value));
  }
  if (auto admitted = modelLimiter_.admit(now, work.workspace, work.caller); !admitted) {
    return tl::unexpected<Refusal>(admitted.error());
  }
  if (work.deadline == Time{}) {
    work.deadline = work.arrival + policy_.ranks[indexOf(work.rank)].target;
  }
  const ModelName model = work.model;
  auto& line = lineOf(model);
  const auto item = makeItem(now, work);
  const auto wait = line.queue.push(now, item);
  if (!wait) {
    modelLimiter_.release(work.workspace, work.caller);
    return tl::unexpected<Refusal>(wait.error());
  }
  Job job;
  job.work = std::move(work);
  job.item = item;
  jobs_.emplace(item.id, std::move(job));
  dispatchModel(now, model);
  return Accepted{ *wait };
}

QueuedWork Router::Core::makeItem(Time /*now*/, const Work& work)
{
  const auto& line = lineOf(work.model);
  const auto rank = indexOf(work.rank);
  const double half = static_cast<double>(policy_.ranks[rank].target.count()) / 2;
  const double lead = std::min(line.firstTokenMicros[rank] * kFirstTokenMargin, half);
  QueuedWork item;
  item.id = work.id;
  item.workspace = work.workspace;
  item.caller = work.caller;
  item.rank = work.rank;
  item.cost = promptCharge(work) + static_cast<double>(work.maxTokens.count) * line.usedPart[rank];
  item.latestStart = work.deadline - Duration(static_cast<std::int64_t>(lead));
  return item;
}

tl::expected<Accepted, Refusal> Router::Core::submitPlain(Time now, Work work)
{
  if (placesFor(work).empty()) {
    const bool known = registry_.knows(work.service);
    return tl::unexpected<Refusal>(
      makeRefusal(known ? ErrorKind::noEndpoint : ErrorKind::unknownService,
                  "no live endpoint offers service " + work.service.value));
  }
  if (auto admitted = plainLimiter_.admit(now, work.workspace, work.caller); !admitted) {
    return tl::unexpected<Refusal>(admitted.error());
  }
  Job job;
  job.work = std::move(work);
  const auto place = findPlace(now, job, 0);
  if (!place) {
    plainLimiter_.release(job.work.workspace, job.work.caller);
    return tl::unexpected<Refusal>(makeRefusal(
      ErrorKind::overloaded, "all endpoints of service " + job.work.service.value + " are full"));
  }
  const RequestId id = job.work.id;
  auto& stored = jobs_.emplace(id, std::move(job)).first->second;
  retries_.recordRequest();
  actions_.emplace_back(start(now, stored, *place));
  return Accepted{};
}

void Router::Core::tick(Time now)
{
  registry_.tick(now);
  refuseOverdue(now);
  if (now >= nextEvaluation_) {
    nextEvaluation_ = now + kEvaluationInterval;
    evaluateOutliers(now);
  }
  for (auto& [model, line] : lines_) {
    dispatchModel(now, model);
  }
  helpWaitingUrgent(now);
  if (now >= nextExchange_) {
    nextExchange_ = now + kExchangeInterval;
    exchangeUsage(now);
  }
}

void Router::Core::refuseOverdue(Time now)
{
  for (auto& [model, line] : lines_) {
    for (const auto& item : line.queue.takeOverdue(now)) {
      auto& job = find(item.id);
      ++countersOf(job).refused;
      actions_.emplace_back(Refused{ item.id, line.queue.refusal(now, item.rank, Duration(0)) });
      modelLimiter_.release(job.work.workspace, job.work.caller);
      jobs_.erase(item.id);
    }
  }
}

void Router::Core::evaluateOutliers(Time now)
{
  registry_.forEachGroup([&](std::span<const std::uint32_t> places) {
    std::vector<EndpointId> ids;
    ids.reserve(places.size());
    for (const auto place : places) {
      ids.push_back(registry_.at(place).latest.id);
    }
    outliers_.evaluate(now, ids);
  });
}

void Router::Core::exchangeUsage(Time /*now*/)
{
  const auto send = [&](const ProcessId& link, UsageDelta delta) {
    delta.demands = modelLimiter_.take(link);
    const auto plain = plainLimiter_.take(link);
    delta.demands.insert(delta.demands.end(), plain.begin(), plain.end());
    if (!delta.served.empty() || !delta.demands.empty()) {
      outgoing_.push_back({ link, std::move(delta) });
    }
  };
  for (const auto& neighbour : peers_.neighbours) {
    send(neighbour, UsageDelta{ totals_.take(neighbour), {} });
  }
  for (const auto& relay : peers_.relays) {
    send(relay, UsageDelta{});
  }
}

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
  const auto& latest = registry_.at(place).latest;
  const bool tried = std::find(job.tried.begin(), job.tried.end(), latest.id) != job.tried.end();
  return !latest.leaving && !tried && !outliers_.isEjected(now, latest.id);
}

Router::Core::Pool Router::Core::poolFor(Time now, const Job& job)
{
  Pool pool;
  for (const auto place : placesFor(job.work)) {
    if (usable(now, place, job) && registry_.at(place).latest.zone == options_.zone) {
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
  const bool withinPart = endpoint.latest.zone == options_.zone && poolOpen &&
                          state.load.own() + 1 <= partOf(state, endpoint.hash);
  if (withinPart && load < limit * kOverload) {
    return true;
  }
  return load + 1 <= limit * (1 - kBorrowDistance);
}

std::optional<std::uint32_t> Router::Core::findPlace(Time now, const Job& job, double heldBack)
{
  const auto pool = poolFor(now, job);
  const double kept = std::min(std::ceil(pool.part * heldBack), std::max(pool.part - 1, 0.0));
  const bool poolOpen = pool.own + 1 <= pool.part - kept;
  std::vector<ChoiceCandidate> candidates;
  for (const auto place : placesFor(job.work)) {
    if (!usable(now, place, job)) {
      continue;
    }
    const auto& state = stateAt(place);
    const auto& endpoint = registry_.at(place);
    const bool ownZone = endpoint.latest.zone == options_.zone;
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
  return candidates[*chosen].place;
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
  for (const auto place : registry_.serving(model)) {
    const auto& endpoint = registry_.at(place).latest;
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
  place = job.place;
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
    const bool current = states_[job->place].generation == job->generation;
    if (job->helped || !current || now - job->dispatchedAt < patience) {
      continue;
    }
    job->helped = true;
    std::uint32_t place = 0;
    const auto running = states_[job->place].running;
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
  state.load.change(now, 1);
  state.running.push_back(&job);
  job.state = JobState::running;
  job.place = place;
  job.generation = endpoint.generation;
  job.endpoint = endpoint.latest.id;
  job.mayHaveRun = true;
  job.streams = false;
  job.helped = false;
  job.dispatchedAt = now;
  ++job.attempts;
  if (job.work.kind == WorkKind::model && job.work.rank == Rank::urgent) {
    awaitingUrgent_[job.work.id] = &job;
  }
  return { job.work.id,  endpoint.latest.id, endpoint.latest.address,      job.work.rank,
           job.attempts, job.generated,      endpoint.latest.checksFencing };
}

void Router::Core::detach(Time now, Job& job)
{
  if (job.state != JobState::running) {
    return;
  }
  awaitingUrgent_.erase(job.work.id);
  auto& state = states_[job.place];
  if (state.generation == job.generation) {
    state.load.change(now, -1);
    std::erase(state.running, &job);
  }
}

void Router::Core::correctCharge(Time now, Job& job)
{
  const double actual = promptCharge(job.work) + static_cast<double>(job.generated.count);
  lineOf(job.work.model).queue.correct(now, job.item, actual - job.charged);
  job.charged = actual;
}

std::vector<Action> Router::Core::takeDispatches()
{
  return std::exchange(actions_, {});
}

void Router::Core::firstToken(Time now, const RequestId& id)
{
  auto& job = find(id);
  if (job.state != JobState::running || job.streams) {
    return;
  }
  job.streams = true;
  awaitingUrgent_.erase(id);
  const Duration latency = now - job.dispatchedAt;
  auto& state = states_[job.place];
  if (state.generation == job.generation) {
    state.limit.record(now, job.work.rank, latency);
    if (job.work.rank != Rank::batch) {
      outliers_.recordSuccess(job.endpoint, latency);
    }
  }
  if (job.work.kind == WorkKind::plain || job.hasFirstToken) {
    return;
  }
  job.hasFirstToken = true;
  smooth(lineOf(job.work.model).firstTokenMicros[indexOf(job.work.rank)],
         static_cast<double>(latency.count()));
  auto& counters = countersOf(job);
  ++(now <= job.work.deadline ? counters.onTime : counters.late);
}

void Router::Core::progress(Time /*now*/, const RequestId& id, Tokens tokens)
{
  auto& job = find(id);
  job.generated = std::max(job.generated, tokens);
}

void Router::Core::close(Time now, Job& job)
{
  if (job.state == JobState::queued && job.work.kind == WorkKind::model && job.attempts == 0) {
    lineOf(job.work.model).queue.remove(job.item);
  } else if (job.work.kind == WorkKind::model) {
    lineOf(job.work.model).queue.remove(job.item);
    correctCharge(now, job);
  }
  detach(now, job);
  auto& limiter = job.work.kind == WorkKind::plain ? plainLimiter_ : modelLimiter_;
  limiter.release(job.work.workspace, job.work.caller);
  const Work work = std::move(job.work);
  jobs_.erase(work.id);
  if (work.kind == WorkKind::model) {
    dispatchModel(now, work.model);
  }
}

void Router::Core::finished(Time now, const RequestId& id, Outcome outcome)
{
  auto& job = find(id);
  invariant(outcome == Outcome::abandoned || job.state != JobState::queued,
            "only dispatched work completes or fails");
  if (outcome == Outcome::failed && job.state == JobState::running) {
    outliers_.recordFailure(job.endpoint);
  }
  if (job.work.kind == WorkKind::model) {
    auto& counters = countersOf(job);
    counters.completed += outcome == Outcome::completed ? 1 : 0;
    counters.failed += outcome == Outcome::failed ? 1 : 0;
    counters.abandoned += outcome == Outcome::abandoned ? 1 : 0;
    counters.tokens += static_cast<std::uint64_t>(job.generated.count);
    if (outcome == Outcome::completed && job.work.maxTokens.count > 0) {
      smooth(lineOf(job.work.model).usedPart[indexOf(job.work.rank)],
             static_cast<double>(job.generated.count) /
               static_cast<double>(job.work.maxTokens.count));
    }
  }
  close(now, job);
}

void Router::Core::cancelled(Time now, const RequestId& id)
{
  auto& job = find(id);
  invariant(job.state == JobState::cancelling, "only work with a CancelStream is cancelled");
  correctCharge(now, job);
  job.state = JobState::queued;
  job.item.resumed = true;
  const auto& line = lineOf(job.work.model);
  const double whole =
    static_cast<double>(job.work.maxTokens.count) * line.usedPart[indexOf(job.work.rank)];
  job.item.cost = std::max(whole - static_cast<double>(job.generated.count), 1.0);
  lineOf(job.work.model).queue.pushFront(job.item);
  dispatchModel(now, job.work.model);
}

Expected<Dispatch> Router::Core::retry(Time now, const RequestId& id, AttemptFailure failure)
{
  auto& job = find(id);
  invariant(job.state != JobState::queued, "only dispatched work is retried");
  const auto known = registry_.find(job.endpoint);
  const bool leaving = known && registry_.at(*known).latest.leaving;
  if (!(failure == AttemptFailure::notRun && leaving)) {
    outliers_.recordFailure(job.endpoint);
  }
  job.tried.push_back(job.endpoint);
  detach(now, job);
  ++job.failedAttempts;
  if (failure == AttemptFailure::notRun) {
    job.mayHaveRun = false;
  }
  auto end = retries_.ask(job.work.repeatable, failure, job.failedAttempts);
  job.state = JobState::queued;
  std::optional<std::uint32_t> place;
  if (!end) {
    place = findAnyPlace(now, job);
    end = place ? end : std::optional(ErrorKind::noEndpoint);
  }
  if (end) {
    std::string detail = "attempt " + std::to_string(job.attempts) + " at " + job.endpoint.value +
                         " failed and no retry is possible";
    if (job.work.kind == WorkKind::model) {
      ++countersOf(job).failed;
      countersOf(job).tokens += static_cast<std::uint64_t>(job.generated.count);
    }
    close(now, job);
    return fail(*end, std::move(detail));
  }
  if (job.work.kind == WorkKind::model) {
    ++countersOf(job).retries;
  }
  return start(now, job, *place);
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

std::vector<Outgoing> Router::Core::takeOutgoing()
{
  auto result = registry_.takeOutgoing();
  result.insert(result.end(),
                std::make_move_iterator(outgoing_.begin()),
                std::make_move_iterator(outgoing_.end()));
  outgoing_.clear();
  return result;
}

std::optional<EndpointId> Router::Core::endpointOf(const RequestId& id) const
{
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.state != JobState::running) {
    return std::nullopt;
  }
  return found->second.endpoint;
}

EndpointView Router::Core::viewOf(Time now, std::uint32_t place) const
{
  const auto& endpoint = registry_.at(place);
  const auto& latest = endpoint.latest;
  EndpointView view;
  view.id = latest.id;
  view.address = latest.address;
  view.zone = latest.zone;
  view.kind = latest.kind;
  view.models = latest.models;
  view.service = latest.service;
  view.slots = latest.slots;
  view.running = latest.running;
  view.waiting = latest.waiting;
  view.limit = latest.slots;
  view.age = now - latest.announced;
  view.leaving = latest.leaving;
  view.ejected = outliers_.isEjected(now, latest.id);
  view.checksFencing = latest.checksFencing;
  if (place < states_.size() && states_[place].generation == endpoint.generation) {
    view.ownInFlight = states_[place].load.own();
    view.limit = states_[place].limit.value();
  }
  return view;
}

std::vector<WorkspaceView> Router::Core::workspaceViews(Time now) const
{
  std::map<WorkspaceId, std::uint32_t> queued;
  for (const auto& [model, line] : lines_) {
    line.queue.countQueued(queued);
  }
  std::map<WorkspaceId, std::uint32_t> running;
  for (const auto& [id, job] : jobs_) {
    queued.try_emplace(job.work.workspace, 0);
    running[job.work.workspace] += job.state == JobState::queued ? 0 : 1;
  }
  std::vector<WorkspaceView> views;
  views.reserve(queued.size());
  for (const auto& [id, count] : queued) {
    views.push_back({ id, count, running[id], totals_.total(now, id) });
  }
  return views;
}

RouterDump Router::Core::dump(Time now) const
{
  RouterDump dump;
  dump.ranks = counters_;
  for (const auto& [model, line] : lines_) {
    for (std::size_t i = 0; i < kRankCount; ++i) {
      dump.queued[i] += static_cast<std::uint32_t>(line.queue.size(static_cast<Rank>(i)));
    }
  }
  for (std::uint32_t place = 0; place < registry_.size(); ++place) {
    if (registry_.at(place).live) {
      dump.endpoints.push_back(viewOf(now, place));
    }
  }
  dump.workspaces = workspaceViews(now);
  dump.plainSubmitted = plainSubmitted_;
  dump.plainRefused = plainRefused_;
  return dump;
}

} // namespace figchute::routing
