#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"
#include "routing/FairShareTotals.h"
#include "routing/Policy.h"
#include "routing/Work.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace figchute::routing {

/** One request in a RankQueue. */
struct QueuedWork
{
  RequestId id;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  /** Expected tokens, charged when the work leaves the queue. */
  double cost = 0;
  /** Latest time at which dispatching the work still meets its target. */
  Time latestStart;
  /** Work that already has its first token is never refused. */
  bool resumed = false;
};

/** A rank with queued work, in the order of service. */
struct RankTurn
{
  Rank rank = Rank::prompt;
  bool belowFloor = false;
};

/** The work for one model that waits for a free place at an endpoint.

    Ranks: a rank below its floor of the tokens served goes first; then urgent work; then the other
    ranks in proportion to their worth. Within a rank the workspace with the least decayed tokens
    per weight goes first, and within a workspace the caller with the least. Work is refused when
    the expected wait, from the rate at which its rank left the queue of late, exceeds its target.
    Thread safety: use one instance from one thread at a time. */
class RankQueue
{
public:
  /** Creates an empty queue.
      @param policy  ranks and weights; must outlive the queue
      @param totals  tokens served per workspace; must outlive the queue */
  RankQueue(const Policy& policy, FairShareTotals& totals);

  /** Adds work, unless its expected wait exceeds its target.
      @param now   the current time
      @param work  the work
      @returns the expected wait, or deadline_unmeetable with a delay to retry */
  tl::expected<Duration, Refusal> push(Time now, QueuedWork work);

  /** Returns cancelled work to the front of its caller's line, without a check. */
  void pushFront(QueuedWork work);

  /** Returns the ranks that have work, the one to serve first in front.
      @param now  the current time */
  [[nodiscard]] std::vector<RankTurn> order(Time now) const;

  /** Returns whether a rank got less than its floor, times @p factor, of the tokens served of
      late. */
  [[nodiscard]] bool isBelowFloor(Time now, Rank rank, double factor = 1) const;

  /** Returns whether the workspace of queued work got less than half of its share of the tokens of
      the rank of late, by weight among the workspaces with work of that rank. */
  [[nodiscard]] bool isSmall(const QueuedWork& work) const;

  /** Returns the work of a rank that goes next, or nullptr. The pointer stays valid until the next
      call that changes the queue. */
  [[nodiscard]] const QueuedWork* peek(Time now, Rank rank) const;

  /** Removes and charges the work that peek() returns.
      Precondition: the rank has work. */
  QueuedWork pop(Time now, Rank rank);

  /** Corrects the charge of work after its end.
      @param tokens  actual minus charged tokens */
  void correct(Time now, const QueuedWork& work, double tokens);

  /** Removes work whose caller went away.
      @returns whether it was queued */
  bool remove(const QueuedWork& work);

  /** Removes and returns all work that can no longer meet its target. */
  std::vector<QueuedWork> takeOverdue(Time now);

  /** Returns the refusal for work of a rank that has to wait too long.
      @param now    the current time
      @param slack  the time that the work could have waited */
  [[nodiscard]] Refusal refusal(Time now, Rank rank, Duration slack) const;

  /** Returns the number of queued requests of a rank. */
  [[nodiscard]] std::size_t size(Rank rank) const;

  /** Adds the queued requests of each workspace to @p counts. */
  void countQueued(std::map<WorkspaceId, std::uint32_t>& counts) const;

private:
  struct CallerLine
  {
    std::deque<QueuedWork> works;
    DecayedSum served;
  };
  struct WorkspaceLine
  {
    std::uint32_t index = 0;
    std::size_t queued = 0;
    std::map<CallerId, CallerLine> callers;
  };
  struct RankLine
  {
    std::size_t queued = 0;
    /** Tokens charged, for floors and worth. */
    DecayedSum tokens;
    /** Requests that left the queue for an endpoint, for the expected wait. */
    DecayedSum left;
    std::map<WorkspaceId, WorkspaceLine> workspaces;
  };

  [[nodiscard]] Duration expectedWait(Time now, const QueuedWork& work) const;
  [[nodiscard]] Duration drainTime(Time now, const RankLine& line, double position) const;
  [[nodiscard]] const WorkspaceLine* next(Rank rank) const;
  [[nodiscard]] const CallerLine* nextCaller(Time now, const WorkspaceLine& line) const;
  [[nodiscard]] double weight(const WorkspaceId& workspace) const;
  RankLine& lineOf(Rank rank) { return ranks_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] const RankLine& lineOf(Rank rank) const
  {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  CallerLine& callerLine(const QueuedWork& work);
  void changeCount(const QueuedWork& work, std::ptrdiff_t change);

  const Policy& policy_;
  FairShareTotals& totals_;
  std::array<RankLine, kRankCount> ranks_;
};

} // namespace figchute::routing
