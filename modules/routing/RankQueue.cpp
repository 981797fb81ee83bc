#include "routing/RankQueue.h"

#include "core/Invariant.h"

#include <algorithm>
#include <functional>
#include <string>

namespace figchute::routing {
namespace {

/** The shares of the ranks are measured over a few reports of typical length (30 s). */
constexpr Duration kShareMemory = std::chrono::seconds(30);
constexpr Duration kCallerMemory = std::chrono::seconds(20);

/** Rates of departure are measured over the time that work of the rank may wait. */
constexpr Duration kShortestRateMemory = std::chrono::seconds(2);
constexpr Duration kLongestRateMemory = std::chrono::seconds(30);

/** A queue this short is accepted even when nothing has left it yet. */
constexpr double kUnmeasuredPosition = 4;

constexpr Duration kShortestRetry = std::chrono::milliseconds(100);
constexpr Duration kLongestRetry = std::chrono::seconds(60);

Duration rateMemory(const RankPolicy& policy)
{
  return std::clamp(policy.target, kShortestRateMemory, kLongestRateMemory);
}

} // namespace

RankQueue::RankQueue(const Policy& policy, FairShareTotals& totals)
  : policy_(policy)
  , totals_(totals)
  , ranks_{ RankLine{ 0, DecayedSum(kShareMemory), DecayedSum(rateMemory(policy.ranks[0])), {} },
            RankLine{ 0, DecayedSum(kShareMemory), DecayedSum(rateMemory(policy.ranks[1])), {} },
            RankLine{ 0, DecayedSum(kShareMemory), DecayedSum(rateMemory(policy.ranks[2])), {} } }
{
}

double RankQueue::weight(const WorkspaceId& workspace) const
{
  const auto found = policy_.workspaces.find(workspace);
  return found == policy_.workspaces.end() ? 1 : found->second.weight;
}

RankQueue::CallerLine& RankQueue::callerLine(const QueuedWork& work)
{
  auto& workspace = lineOf(work.rank).workspaces[work.workspace];
  workspace.index = totals_.indexOf(work.workspace);
  const auto added =
    workspace.callers.try_emplace(work.caller, CallerLine{ {}, DecayedSum(kCallerMemory) });
  return added.first->second;
}

void RankQueue::changeCount(const QueuedWork& work, std::ptrdiff_t change)
{
  auto& line = lineOf(work.rank);
  line.queued += static_cast<std::size_t>(change);
  line.workspaces[work.workspace].queued += static_cast<std::size_t>(change);
}

Duration RankQueue::drainTime(Time now, const RankLine& line, double position) const
{
  const double rate = line.left.perSecond(now);
  const double seconds = position / std::max(rate, 1e-3);
  return Duration(static_cast<std::int64_t>(std::min(seconds, 3600.0) * 1e6));
}

/** Work of workspaces that got less goes first, and so does earlier work of the same workspace. Work
    of the others does not delay it, so a small workspace is not refused for the work of a large
    one. Work that goes first may find a place at once, so it is accepted and refused only when its
    time has run out. */
Duration RankQueue::expectedWait(Time now, const QueuedWork& work) const
{
  const auto& line = lineOf(work.rank);
  if (line.queued == 0) {
    return Duration(0);
  }
  const auto index = totals_.indexOf(work.workspace);
  const double ownKey = totals_.orderKey(index, work.rank) / weight(work.workspace);
  double position = 1;
  for (const auto& [id, workspace] : line.workspaces) {
    const double key = totals_.orderKey(workspace.index, work.rank) / weight(id);
    if (workspace.queued > 0 && (id == work.workspace || key < ownKey)) {
      position += static_cast<double>(workspace.queued);
    }
  }
  if (position == 1) {
    return Duration(0);
  }
  const bool measured = line.left.at(now) >= 1;
  if (!measured && position <= kUnmeasuredPosition) {
    return Duration(0);
  }
  return drainTime(now, line, position);
}

bool RankQueue::isSmall(const QueuedWork& work) const
{
  double weights = 0;
  for (const auto& [id, workspace] : lineOf(work.rank).workspaces) {
    weights += weight(id);
  }
  const double own = totals_.orderKey(totals_.indexOf(work.workspace), work.rank);
  const double share = totals_.orderKeySum(work.rank) * weight(work.workspace) / weights;
  return own < share / 2;
}

Refusal RankQueue::refusal(Time now, Rank rank, Duration slack) const
{
  const auto& line = lineOf(rank);
  const Duration wait = drainTime(now, line, static_cast<double>(line.queued) + 1);
  Refusal refusal;
  refusal.kind = ErrorKind::deadlineUnmeetable;
  refusal.detail = "expected wait of rank " + std::string(toString(rank)) + " is " +
                   std::to_string(wait.count() / 1000) + " ms";
  refusal.retryAfter = std::clamp(wait - slack, kShortestRetry, kLongestRetry);
  return refusal;
}

tl::expected<Duration, Refusal> RankQueue::push(Time now, QueuedWork work)
{
  const Duration wait = expectedWait(now, work);
  const Duration slack = work.latestStart - now;
  if (wait > slack || slack < Duration(0)) {
    return tl::unexpected<Refusal>(refusal(now, work.rank, slack));
  }
  callerLine(work).works.push_back(work);
  changeCount(work, 1);
  return wait;
}

void RankQueue::pushFront(QueuedWork work)
{
  callerLine(work).works.push_front(work);
  changeCount(work, 1);
}

bool RankQueue::isBelowFloor(Time now, Rank rank, double factor) const
{
  double served = 0;
  for (const auto& line : ranks_) {
    served += line.tokens.at(now);
  }
  const double floor = policy_.ranks[static_cast<std::size_t>(rank)].floor;
  return lineOf(rank).tokens.at(now) < factor * floor * served;
}

std::vector<RankTurn> RankQueue::order(Time now) const
{
  struct Candidate
  {
    RankTurn turn;
    double perWorth;
  };
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const auto rank = static_cast<Rank>(i);
    if (ranks_[i].queued == 0) {
      continue;
    }
    const double worth = std::max(policy_.ranks[i].worth, 1e-6);
    const double perWorth = rank == Rank::urgent ? -1 : ranks_[i].tokens.at(now) / worth;
    candidates.push_back({ { rank, isBelowFloor(now, rank) }, perWorth });
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.turn.belowFloor != b.turn.belowFloor ? a.turn.belowFloor : a.perWorth < b.perWorth;
  });
  std::vector<RankTurn> turns;
  turns.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    turns.push_back(candidate.turn);
  }
  return turns;
}

const RankQueue::WorkspaceLine* RankQueue::next(Rank rank) const
{
  const WorkspaceLine* best = nullptr;
  double bestKey = 0;
  for (const auto& [id, line] : lineOf(rank).workspaces) {
    if (line.queued == 0) {
      continue;
    }
    const double key = totals_.orderKey(line.index, rank) / weight(id);
    if (best == nullptr || key < bestKey) {
      best = &line;
      bestKey = key;
    }
  }
  return best;
}

const RankQueue::CallerLine* RankQueue::nextCaller(Time now, const WorkspaceLine& line) const
{
  const CallerLine* best = nullptr;
  double bestKey = 0;
  for (const auto& [id, caller] : line.callers) {
    if (caller.works.empty()) {
      continue;
    }
    const auto found = policy_.callers.find(id);
    const double weight = found == policy_.callers.end() ? 1 : found->second.weight;
    const double key = caller.served.at(now) / weight;
    if (best == nullptr || key < bestKey) {
      best = &caller;
      bestKey = key;
    }
  }
  return best;
}

const QueuedWork* RankQueue::peek(Time now, Rank rank) const
{
  const auto* workspace = next(rank);
  if (workspace == nullptr) {
    return nullptr;
  }
  return &nextCaller(now, *workspace)->works.front();
}

QueuedWork RankQueue::pop(Time now, Rank rank)
{
  const auto* front = peek(now, rank);
  invariant(front != nullptr, "a rank without queued work is not served");
  auto& caller = callerLine(*front);
  QueuedWork work = std::move(caller.works.front());
  caller.works.pop_front();
  changeCount(work, -1);
  auto& line = lineOf(rank);
  line.left.add(now, 1);
  correct(now, work, work.cost);
  return work;
}

void RankQueue::correct(Time now, const QueuedWork& work, double tokens)
{
  auto& line = lineOf(work.rank);
  line.tokens.add(now, tokens);
  totals_.add(now, totals_.indexOf(work.workspace), work.rank, tokens);
  callerLine(work).served.add(now, tokens);
}

bool RankQueue::remove(const QueuedWork& work)
{
  auto& works = callerLine(work).works;
  const auto found = std::find_if(
    works.begin(), works.end(), [&](const QueuedWork& other) { return other.id == work.id; });
  if (found == works.end()) {
    return false;
  }
  works.erase(found);
  changeCount(work, -1);
  return true;
}

std::vector<QueuedWork> RankQueue::takeOverdue(Time now)
{
  std::vector<QueuedWork> overdue;
  for (auto& line : ranks_) {
    if (line.queued == 0) {
      continue;
    }
    for (auto& [id, workspace] : line.workspaces) {
      for (auto& [callerId, caller] : workspace.callers) {
        const auto isOverdue = [now](const QueuedWork& work) {
          return !work.resumed && work.latestStart < now;
        };
        const auto first =
          std::stable_partition(caller.works.begin(), caller.works.end(), std::not_fn(isOverdue));
        const auto count = static_cast<std::size_t>(caller.works.end() - first);
        overdue.insert(overdue.end(), first, caller.works.end());
        caller.works.erase(first, caller.works.end());
        workspace.queued -= count;
        line.queued -= count;
      }
    }
  }
  return overdue;
}

std::size_t RankQueue::size(Rank rank) const
{
  return lineOf(rank).queued;
}

void RankQueue::countQueued(std::map<WorkspaceId, std::uint32_t>& counts) const
{
  for (const auto& line : ranks_) {
    for (const auto& [id, workspace] : line.workspaces) {
      counts[id] += static_cast<std::uint32_t>(workspace.queued);
    }
  }
}

} // namespace figchute::routing
