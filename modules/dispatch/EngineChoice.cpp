#include "dispatch/EngineChoice.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** A subject leaves an engine when the prediction is above this part of the target. */
constexpr double kStayPart = 0.6;
/** It also leaves an engine with a longer queue of prompts: half a second of reading without a
   break makes a pause of half a second in all streams there. */
constexpr Duration kLongestQueue = std::chrono::milliseconds(100);
/** The first engine of a subject goes before the others by this much. */
constexpr Duration kFirstHome = std::chrono::milliseconds(100);
/** When no engine at home has room, a subject may use this many engines; more of them would read
   its shared parts without need. */
constexpr std::size_t kFallbacks = 8;
/** Reading shared parts on one more engine takes its time from all requests there, and more of it
    later, because it evicts other parts. */
constexpr int kRereadFactor = 2;
/** Another zone must be faster by this much. */
constexpr Duration kOwnZone = std::chrono::milliseconds(60);
/** A process that gets more than its zone's share of the requests must not fill the engines there:
   with 60% of the requests at one process and 22% of the engines in its zone, 6% of the chats
   paused. Requests that keep the engines of the zone busy for less than this part of the time are
   no burden. */
constexpr double kQuietPart = 0.1;
constexpr double kLeastReading = 1e-3;
/** Wait that a failure costs: the request has to be repeated or is lost. */
constexpr double kFailureMicros = 3e6;

Duration cost(const Candidate& candidate)
{
  return candidate.predicted + candidate.penalty + (candidate.ownZone ? Duration(0) : kOwnZone);
}

bool hasRoom(const Work& work, const Candidate& candidate)
{
  const auto stay = kStayPart * static_cast<double>(work.target.count());
  const auto wait = candidate.predicted + candidate.penalty;
  return static_cast<double>(wait.count()) <= stay && wait - candidate.reading <= kLongestQueue;
}

} // namespace

void EngineChoice::predict(const EngineContext& context,
                           const Work& work,
                           std::span<const Fingerprint> keys,
                           Candidate& candidate)
{
  const auto now = context.now;
  const auto& endpoint = *candidate.endpoint;
  const auto held = endpoint.heldTokens * static_cast<std::int64_t>(context.processes);
  const auto free = std::max<std::int64_t>(context.kvCapacity - held, 0);
  const auto retention =
    endpoint.cache.retention(now, static_cast<double>(free), context.processes);
  const auto cached = endpoint.cache.cachedTokens(now, work.parts, keys, retention);
  candidate.newTokens = std::max<std::int64_t>(work.promptTokens - cached, 1);
  TimeToFirstTokenModel::Input input;
  input.newTokens = candidate.newTokens;
  input.promptTokens = work.promptTokens;
  input.priority = work.priority;
  input.load = candidate.load;
  input.slots = endpoint.slots;
  input.serviceTime = context.serviceTime;
  candidate.reading = prefillTime(input.newTokens, input.promptTokens);
  candidate.expected = endpoint.firstToken.base(input);
  candidate.predicted =
    candidate.expected + endpoint.firstToken.excess(now) + endpoint.pace.backlog(now);
  const double failures = endpoint.breaker.failureShare(now) * kFailureMicros;
  candidate.penalty = Duration(static_cast<std::int64_t>(failures));
  if (now < endpoint.warmUntil) {
    candidate.penalty += work.target / 2;
  }
}

std::size_t EngineChoice::pick(const EngineContext& context,
                               const Work& work,
                               std::span<const Fingerprint> keys,
                               std::span<Candidate> candidates)
{
  const bool isLong = LongPromptEngines::isLong(work, keys);
  longPrompts_.mark(context.now, isLong, candidates);
  readings_.add(context.now, static_cast<double>(candidates.front().reading.count()) * 1e-6);
  if (isLong) {
    if (const auto chosen = pickForLong(work, candidates)) {
      return *chosen;
    }
  }
  if (const auto subject = subjectOf(work, keys)) {
    if (const auto chosen = pickForSubject(context, work, *subject, candidates)) {
      return *chosen;
    }
  }
  const auto best =
    std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return cost(a) < cost(b);
    });
  return static_cast<std::size_t>(best - candidates.begin());
}

std::optional<std::size_t> EngineChoice::pickForLong(const Work& work,
                                                     std::span<const Candidate> candidates)
{
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].forLong && (!best || cost(candidates[i]) < cost(candidates[*best]))) {
      best = i;
    }
  }
  if (best && candidates[*best].predicted + candidates[*best].penalty > work.target) {
    return std::nullopt;
  }
  return best;
}

double EngineChoice::ownZonePart(const EngineContext& context,
                                 std::span<const Candidate> candidates) const
{
  double all = 0;
  double own = 0;
  double ownEngines = 0;
  for (const auto& candidate : candidates) {
    const double slots = candidate.endpoint->slots;
    all += slots;
    own += candidate.ownZone ? slots : 0;
    ownEngines += candidate.ownZone ? 1 : 0;
  }
  const double fair = own / all / context.share;
  const double quiet =
    kQuietPart * ownEngines / std::max(readings_.perSecond(context.now), kLeastReading);
  return std::max(fair, quiet);
}

std::optional<std::size_t> EngineChoice::pickForSubject(const EngineContext& context,
                                                        const Work& work,
                                                        const Subject& subject,
                                                        std::span<const Candidate> candidates)
{
  const auto own = std::max<std::int64_t>(work.promptTokens - subject.tokens, 1);
  rates_.add(context.now, subject.key, prefillTime(own, work.promptTokens));
  std::vector<Endpoint*> endpoints;
  for (const auto& candidate : candidates) {
    endpoints.push_back(candidate.endpoint);
  }
  const auto order = placementOrder(subject, endpoints, zone_, ownZonePart(context, candidates));
  const auto homes =
    std::min(rates_.homes(context.now, subject.key, context.processes), order.size());
  std::optional<std::size_t> best;
  Duration bestCost{};
  for (std::size_t i = 0; i < homes; ++i) {
    const auto& candidate = candidates[order[i]];
    const auto total = cost(candidate) + (i == 0 ? Duration(0) : kFirstHome);
    if (hasRoom(work, candidate) && (!best || total < bestCost)) {
      best = order[i];
      bestCost = total;
    }
  }
  return best ? best : fallBack(work, subject, candidates, order, homes);
}

std::optional<std::size_t> EngineChoice::fallBack(const Work& work,
                                                  const Subject& subject,
                                                  std::span<const Candidate> candidates,
                                                  std::span<const std::size_t> order,
                                                  std::size_t homes)
{
  const auto reread = kRereadFactor * prefillTime(subject.tokens, subject.tokens);
  std::optional<std::size_t> best;
  Duration bestCost{};
  for (std::size_t i = 0; i < std::min(order.size(), std::max(homes, kFallbacks)); ++i) {
    const auto& candidate = candidates[order[i]];
    const auto total = cost(candidate) + (i < homes ? Duration(0) : reread);
    if (!best || total < bestCost) {
      best = order[i];
      bestCost = total;
    }
  }
  if (best && candidates[*best].predicted > work.target) {
    return std::nullopt;
  }
  return best;
}

} // namespace figchute::dispatch
