#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"
#include "routing/FairShareTotals.h"
#include "routing/Policy.h"
#include "routing/RequestInfo.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace figchute::routing {

/** A request in a RankQueue. */
struct QueuedRequest
{
  RequestId id;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  /** Expected number of tokens, charged when the request is dispatched. */
  double cost = 0;
  /** Latest dispatch time at which the request is expected to meet its deadline. */
  Time latestStart;
  /** Whether the request was cancelled while streaming. Such a request is never refused. */
  bool resumed = false;
};

/** A rank with queued requests. */
struct ScheduledRank
{
  Rank rank = Rank::prompt;
  bool belowMinShare = false;
};

/** The queue of requests for one model that wait for a free slot at an endpoint.

    Ranks that received less than their minimum share of the served tokens are scheduled first, then
    the urgent rank, then the other ranks in proportion to their worth. Within a rank, the workspace
    with the fewest decayed tokens per weight is first, and within a workspace the caller with the
    fewest. A request is refused if its expected wait, estimated from the recent dispatch rate of
    its rank, is longer than it can wait without missing its target.
    Thread safety: use one instance from one thread at a time. */
class RankQueue
{
public:
  /** Creates an empty queue.
      @param policy  settings of ranks, workspaces and callers; must outlive the queue
      @param totals  tokens served per workspace; must outlive the queue */
  RankQueue(const Policy& policy, FairShareTotals& totals);

  /** Adds a request unless it is not expected to meet its target.
      @param now      the current time
      @param request  the request
      @returns the expected wait, or deadline_unmeetable with a retry delay */
  tl::expected<Duration, Refusal> push(Time now, const QueuedRequest& request);

  /** Puts a cancelled request back at the front of its caller's queue without checking its
      target. */
  void pushFront(const QueuedRequest& request);

  /** Returns the ranks with queued requests in scheduling order.
      @param now  the current time */
  [[nodiscard]] std::vector<ScheduledRank> ranksInOrder(Time now) const;

  /** Returns whether a rank received less than @p factor times its minimum share of the recently
      served tokens. */
  [[nodiscard]] bool isBelowMinShare(Time now, Rank rank, double factor = 1) const;

  /** Returns whether the workspace of a request recently received less than half of its share of
      the tokens of the rank. The share follows from the weights of all workspaces that had requests
      of the rank in this queue. */
  [[nodiscard]] bool isUnderserved(const QueuedRequest& request) const;

  /** Returns the next request of a rank, or nullptr if there is none. The pointer is valid until
      the next call that changes the queue. */
  [[nodiscard]] const QueuedRequest* peek(Time now, Rank rank) const;

  /** Removes and charges the request that peek() returns.
      Precondition: the rank has a queued request. */
  QueuedRequest pop(Time now, Rank rank);

  /** Corrects the charge of a dispatched request.
      @param tokens  actual minus charged tokens */
  void correctCharge(Time now, const QueuedRequest& request, double tokens);

  /** Removes a request, if it is queued.
      @returns whether the request was queued */
  bool remove(const QueuedRequest& request);

  /** Removes and returns all requests that can no longer meet their targets. */
  std::vector<QueuedRequest> removeOverdue(Time now);

  /** Creates the refusal of a request whose wait would be too long.
      @param now    the current time
      @param slack  longest wait with which the request would have met its target */
  [[nodiscard]] Refusal makeRefusal(Time now, Rank rank, Duration slack) const;

  /** Returns the number of queued requests of a rank. */
  [[nodiscard]] std::size_t size(Rank rank) const;

  /** Adds the queued requests of each workspace to @p counts. */
  void countQueued(std::map<WorkspaceId, std::uint32_t>& counts) const;

private:
  struct CallerQueue
  {
    std::deque<QueuedRequest> requests;
    DecayedSum servedTokens;
  };
  struct WorkspaceQueue
  {
    /** Index of the workspace in the FairShareTotals. */
    std::uint32_t totalsIndex = 0;
    std::size_t queued = 0;
    std::map<CallerId, CallerQueue> callers;
  };
  struct RankState
  {
    std::size_t queued = 0;
    /** Recently charged tokens, used for minimum shares and proportions by worth. */
    DecayedSum servedTokens;
    /** Recently dispatched requests, used for the expected wait. */
    DecayedSum dispatched;
    std::map<WorkspaceId, WorkspaceQueue> workspaces;
  };

  [[nodiscard]] Duration expectedWait(Time now, const QueuedRequest& request) const;
  [[nodiscard]] Duration drainTime(Time now, const RankState& state, double position) const;
  [[nodiscard]] const WorkspaceQueue* nextWorkspace(Rank rank) const;
  [[nodiscard]] const CallerQueue* nextCaller(Time now, const WorkspaceQueue& workspace) const;
  [[nodiscard]] double weightOf(const WorkspaceId& workspace) const;
  RankState& stateOf(Rank rank) { return ranks_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] const RankState& stateOf(Rank rank) const
  {
    return ranks_[static_cast<std::size_t>(rank)];
  }
  CallerQueue& callerQueue(const QueuedRequest& request);
  void adjustQueued(const QueuedRequest& request, std::ptrdiff_t change);

  const Policy& policy_;
  FairShareTotals& totals_;
  std::array<RankState, kRankCount> ranks_;
};

} // namespace figchute::routing
