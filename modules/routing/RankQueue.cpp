#include "routing/RankQueue.h"

#include "core/Invariant.h"

#include <algorithm>
#include <functional>
#include <string>

namespace figchute::routing {
namespace {

/** Time constant for the shares of ranks, of the order of a few batch requests of typical length
    (30 s). */
constexpr Duration kShareTimeConstant = std::chrono::seconds(30);
constexpr Duration kCallerTimeConstant = std::chrono::seconds(20);

/** Bounds of the time constant of dispatch rates, which otherwise is the target of the rank. */
constexpr Duration kMinRateTimeConstant = std::chrono::seconds(2);
constexpr Duration kMaxRateTimeConstant = std::chrono::seconds(30);

/** Longest queue in which a request is accepted before a dispatch rate is known. */
constexpr double kMaxPositionWithoutRate = 4;

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

Duration rateTimeConstant(const RankPolicy& policy)
{
  return std::clamp(policy.target, kMinRateTimeConstant, kMaxRateTimeConstant);
}

} // namespace

RankQueue::RankQueue(const Policy& policy, FairShareTotals& totals)
  : policy_(policy)
  , totals_(totals)
  , ranks_{ RankState{ 0,
                       DecayedSum(kShareTimeConstant),
                       DecayedSum(rateTimeConstant(policy.ranks[0])),
                       {} },
            RankState{ 0,
                       DecayedSum(kShareTimeConstant),
                       DecayedSum(rateTimeConstant(policy.ranks[1])),
                       {} },
            RankState{ 0,
                       DecayedSum(kShareTimeConstant),
                       DecayedSum(rateTimeConstant(policy.ranks[2])),
                       {} } }
{
}

double RankQueue::weightOf(const WorkspaceId& workspace) const
{
  const auto entry = policy_.workspaces.find(workspace);
  return entry == policy_.workspaces.end() ? 1 : entry->second.weight;
}

RankQueue::CallerQueue& RankQueue::callerQueue(const QueuedRequest& request)
{
  auto& workspace = stateOf(request.rank).workspaces[request.workspace];
  workspace.totalsIndex = totals_.indexOf(request.workspace);
  const auto insertion = workspace.callers.try_emplace(
    request.caller, CallerQueue{ {}, DecayedSum(kCallerTimeConstant) });
  return insertion.first->second;
}

void RankQueue::adjustQueued(const QueuedRequest& request, std::ptrdiff_t change)
{
  auto& state = stateOf(request.rank);
  state.queued += static_cast<std::size_t>(change);
  state.workspaces[request.workspace].queued += static_cast<std::size_t>(change);
}

Duration RankQueue::drainTime(Time now, const RankState& state, double position) const
{
  const double rate = state.dispatched.perSecond(now);
  const double seconds = position / std::max(rate, 1e-3);
  return Duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e6));
}

/** Counts the requests that are scheduled first: earlier ones of the same workspace and those of
    workspaces that were served less. Requests of other workspaces cause no delay, so that those of
    a small workspace are not refused because of the queue of a large one. A request that is
    scheduled first may be dispatched immediately. It is therefore accepted, and refused later if it
    becomes overdue. */
Duration RankQueue::expectedWait(Time now, const QueuedRequest& request) const
{
  const auto& state = stateOf(request.rank);
  if (state.queued == 0) {
    return Duration(0);
  }
  const auto index = totals_.indexOf(request.workspace);
  const double ownKey = totals_.orderKey(index, request.rank) / weightOf(request.workspace);
  double position = 1;
  for (const auto& [id, workspace] : state.workspaces) {
    const double key = totals_.orderKey(workspace.totalsIndex, request.rank) / weightOf(id);
    if (workspace.queued > 0 && (id == request.workspace || key < ownKey)) {
      position += static_cast<double>(workspace.queued);
    }
  }
  if (position == 1) {
    return Duration(0);
  }
  const bool hasRate = state.dispatched.at(now) >= 1;
  if (!hasRate && position <= kMaxPositionWithoutRate) {
    return Duration(0);
  }
  return drainTime(now, state, position);
}

bool RankQueue::isUnderserved(const QueuedRequest& request) const
{
  double weights = 0;
  for (const auto& [id, workspace] : stateOf(request.rank).workspaces) {
    weights += weightOf(id);
  }
  const double ownKey = totals_.orderKey(totals_.indexOf(request.workspace), request.rank);
  const double fairShare =
    totals_.orderKeySum(request.rank) * weightOf(request.workspace) / weights;
  return ownKey < fairShare / 2;
}

Refusal RankQueue::makeRefusal(Time now, Rank rank, Duration slack) const
{
  const auto& state = stateOf(rank);
  const Duration wait = drainTime(now, state, static_cast<double>(state.queued) + 1);
  Refusal refusal;
  refusal.kind = ErrorKind::deadlineUnmeetable;
  refusal.detail = "expected wait of rank " + std::string(toString(rank)) + " is " +
                   std::to_string(wait.count() / 1000) + " ms";
  refusal.retryAfter = std::clamp(wait - slack, kMinRetryAfter, kMaxRetryAfter);
  return refusal;
}

tl::expected<Duration, Refusal> RankQueue::push(Time now, const QueuedRequest& request)
{
  const Duration wait = expectedWait(now, request);
  const Duration slack = request.latestStart - now;
  if (wait > slack || slack < Duration(0)) {
    return tl::unexpected<Refusal>(makeRefusal(now, request.rank, slack));
  }
  callerQueue(request).requests.push_back(request);
  adjustQueued(request, 1);
  return wait;
}

void RankQueue::pushFront(const QueuedRequest& request)
{
  callerQueue(request).requests.push_front(request);
  adjustQueued(request, 1);
}

bool RankQueue::isBelowMinShare(Time now, Rank rank, double factor) const
{
  double servedTokens = 0;
  for (const auto& state : ranks_) {
    servedTokens += state.servedTokens.at(now);
  }
  const double minShare = policy_.ranks[static_cast<std::size_t>(rank)].minShare;
  return stateOf(rank).servedTokens.at(now) < factor * minShare * servedTokens;
}

std::vector<ScheduledRank> RankQueue::ranksInOrder(Time now) const
{
  struct Candidate
  {
    ScheduledRank scheduled;
    double tokensPerWorth;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const auto rank = static_cast<Rank>(i);
    if (ranks_[i].queued == 0) {
      continue;
    }
    const double worth = std::max(policy_.ranks[i].worth, 1e-6);
    const double tokensPerWorth =
      rank == Rank::urgent ? -1 : ranks_[i].servedTokens.at(now) / worth;
    candidates.push_back({ { rank, isBelowMinShare(now, rank) }, tokensPerWorth });
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.scheduled.belowMinShare != b.scheduled.belowMinShare
             ? a.scheduled.belowMinShare
             : a.tokensPerWorth < b.tokensPerWorth;
  });
  std::vector<ScheduledRank> result;
  result.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    result.push_back(candidate.scheduled);
  }
  return result;
}

const RankQueue::WorkspaceQueue* RankQueue::nextWorkspace(Rank rank) const
{
  const WorkspaceQueue* best = nullptr;
  double bestKey = 0;
  for (const auto& [id, workspace] : stateOf(rank).workspaces) {
    if (workspace.queued == 0) {
      continue;
    }
    const double key = totals_.orderKey(workspace.totalsIndex, rank) / weightOf(id);
    if (best == nullptr || key < bestKey) {
      best = &workspace;
      bestKey = key;
    }
  }
  return best;
}

const RankQueue::CallerQueue* RankQueue::nextCaller(Time now, const WorkspaceQueue& workspace) const
{
  const CallerQueue* best = nullptr;
  double bestKey = 0;
  for (const auto& [id, caller] : workspace.callers) {
    if (caller.requests.empty()) {
      continue;
    }
    const auto policyEntry = policy_.callers.find(id);
    const double weight = policyEntry == policy_.callers.end() ? 1 : policyEntry->second.weight;
    const double key = caller.servedTokens.at(now) / weight;
    if (best == nullptr || key < bestKey) {
      best = &caller;
      bestKey = key;
    }
  }
  return best;
}

const QueuedRequest* RankQueue::peek(Time now, Rank rank) const
{
  const auto* workspace = nextWorkspace(rank);
  if (workspace == nullptr) {
    return nullptr;
  }
  return &nextCaller(now, *workspace)->requests.front();
}

QueuedRequest RankQueue::pop(Time now, Rank rank)
{
  const auto* front = peek(now, rank);
  invariant(front != nullptr, "only a rank with queued requests is served");
  auto& caller = callerQueue(*front);
  QueuedRequest request = std::move(caller.requests.front());
  caller.requests.pop_front();
  adjustQueued(request, -1);
  auto& state = stateOf(rank);
  state.dispatched.add(now, 1);
  correctCharge(now, request, request.cost);
  return request;
}

void RankQueue::correctCharge(Time now, const QueuedRequest& request, double tokens)
{
  auto& state = stateOf(request.rank);
  state.servedTokens.add(now, tokens);
  totals_.add(now, totals_.indexOf(request.workspace), request.rank, tokens);
  callerQueue(request).servedTokens.add(now, tokens);
}

bool RankQueue::remove(const QueuedRequest& request)
{
  auto& requests = callerQueue(request).requests;
  const auto position =
    std::find_if(requests.begin(), requests.end(), [&](const QueuedRequest& other) {
      return other.id == request.id;
    });
  if (position == requests.end()) {
    return false;
  }
  requests.erase(position);
  adjustQueued(request, -1);
  return true;
}

std::vector<QueuedRequest> RankQueue::removeOverdue(Time now)
{
  std::vector<QueuedRequest> overdueRequests;
  for (auto& state : ranks_) {
    if (state.queued == 0) {
      continue;
    }
    for (auto& [id, workspace] : state.workspaces) {
      for (auto& [callerId, caller] : workspace.callers) {
        const auto isOverdue = [now](const QueuedRequest& request) {
          return !request.resumed && request.latestStart < now;
        };
        const auto firstOverdue = std::stable_partition(
          caller.requests.begin(), caller.requests.end(), std::not_fn(isOverdue));
        const auto count = static_cast<std::size_t>(caller.requests.end() - firstOverdue);
        overdueRequests.insert(overdueRequests.end(), firstOverdue, caller.requests.end());
        caller.requests.erase(firstOverdue, caller.requests.end());
        workspace.queued -= count;
        state.queued -= count;
      }
    }
  }
  return overdueRequests;
}

std::size_t RankQueue::size(Rank rank) const
{
  return stateOf(rank).queued;
}

void RankQueue::countQueued(std::map<WorkspaceId, std::uint32_t>& counts) const
{
  for (const auto& state : ranks_) {
    for (const auto& [id, workspace] : state.workspaces) {
      counts[id] += static_cast<std::uint32_t>(workspace.queued);
    }
  }
}

} // namespace figchute::routing
